#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "request/exchange/engine_selector.hpp"

/// Frames between gateways and the store that places the online requests of their zone. Arrays without field names:
/// there are some for each request.
namespace hatchfork::fleet {

/// What a request that may wait for a place tells of itself.
struct PlacementTerms {
  TenantId tenant;
  /// Rank of its route; lower ones are more urgent.
  std::uint32_t priority = 0;
  /// How long it may wait before its first byte, to be in time or nearly so.
  std::int64_t left_ms = 0;
  /// It was refused before and has come back.
  bool has_returned = false;
  /// False for one whose caller has a part of its answer, or whose engine failed.
  bool may_be_refused = true;
};
inline void to_json(nlohmann::json& json, const PlacementTerms& terms) {
  json = nlohmann::json::array({terms.tenant, terms.priority, terms.left_ms, terms.has_returned, terms.may_be_refused});
}
inline void from_json(const nlohmann::json& json, PlacementTerms& terms) {
  json.at(0).get_to(terms.tenant);
  json.at(1).get_to(terms.priority);
  json.at(2).get_to(terms.left_ms);
  json.at(3).get_to(terms.has_returned);
  json.at(4).get_to(terms.may_be_refused);
}

/// At which engine should this request run?
struct PlacementQuestion {
  static constexpr std::string_view kKind = "pq";
  std::string node;
  ZoneId zone;
  /// Names the request among those of the node, in this question and in all notes.
  std::uint64_t number = 0;
  ServiceId service;
  std::uint64_t prompt_tokens = 0;
  /// Engines that were tried for it, or that this gateway can't reach.
  std::vector<EngineId> excluded;
  /// Zones whose engines may run it; nothing for all.
  std::optional<std::set<ZoneId>> zones;
  /// With these it may be answered that the request stands in line. Only for stores whose answers name a position:
  /// those of older releases refuse a question with terms and without zones.
  std::optional<PlacementTerms> terms;
};
inline void to_json(nlohmann::json& json, const PlacementQuestion& question) {
  json = nlohmann::json::array(
      {question.node, question.zone, question.number, question.service, question.prompt_tokens, question.excluded});
  if (question.zones) json.push_back(*question.zones);
  if (!question.terms) return;
  if (!question.zones) json.push_back(nullptr);
  json.push_back(*question.terms);
}
inline void from_json(const nlohmann::json& json, PlacementQuestion& question) {
  json.at(0).get_to(question.node);
  json.at(1).get_to(question.zone);
  json.at(2).get_to(question.number);
  json.at(3).get_to(question.service);
  json.at(4).get_to(question.prompt_tokens);
  json.at(5).get_to(question.excluded);
  question.zones.reset();
  if (json.size() > 6 && !json.at(6).is_null()) question.zones = json.at(6).get<std::set<ZoneId>>();
  question.terms.reset();
  if (json.size() > 7) question.terms = json.at(7).get<PlacementTerms>();
}

/// The engine, whose slot now counts as taken; empty if there is none, or none yet.
struct PlacementAnswer {
  static constexpr std::string_view kKind = "pa";
  std::uint64_t number = 0;
  EngineId engine;
  /// How long the request is expected to wait there for a slot and its prompt, in milliseconds.
  double expected_first_ms = 0;
  /// Requests at the engine before this one, as far as is known.
  double running = 0;
  /// How long work is expected to take there against the mean engine of the service, and the age of what the engine
  /// told of that; negative where it told nothing. Stores of older releases tell neither.
  double slowness = 1;
  std::int64_t pace_age_ms = -1;
  /// Requests that get a place before this one, which stands in line; negative for one that does not.
  std::int64_t position = -1;
  /// Set for a request that can't be in time: after how long those who stand in line now have had their places.
  std::int64_t refused_for_ms = -1;
  /// False from a store of an older release, which knows no line.
  bool knows_line = true;

  bool stands() const { return engine.empty() && position >= 0; }
  bool isRefused() const { return engine.empty() && refused_for_ms >= 0; }
};
inline void to_json(nlohmann::json& json, const PlacementAnswer& answer) {
  json = nlohmann::json::array({answer.number, answer.engine, answer.expected_first_ms, answer.running, answer.slowness,
                                answer.pace_age_ms, answer.position, answer.refused_for_ms});
}
inline void from_json(const nlohmann::json& json, PlacementAnswer& answer) {
  json.at(0).get_to(answer.number);
  json.at(1).get_to(answer.engine);
  json.at(2).get_to(answer.expected_first_ms);
  json.at(3).get_to(answer.running);
  answer.slowness = json.size() > 4 ? json.at(4).get<double>() : 1;
  answer.pace_age_ms = json.size() > 5 ? json.at(5).get<std::int64_t>() : -1;
  answer.knows_line = json.size() > 7;
  answer.position = answer.knows_line ? json.at(6).get<std::int64_t>() : -1;
  answer.refused_for_ms = answer.knows_line ? json.at(7).get<std::int64_t>() : -1;
}

/// A request that a gateway has at an engine.
struct PlacedRequest {
  std::uint64_t number = 0;
  EngineId engine;
  std::uint64_t prompt_tokens = 0;
  bool is_answering = false;
};
inline void to_json(nlohmann::json& json, const PlacedRequest& request) {
  json = nlohmann::json::array({request.number, request.engine, request.prompt_tokens, request.is_answering});
}
inline void from_json(const nlohmann::json& json, PlacedRequest& request) {
  json.at(0).get_to(request.number);
  json.at(1).get_to(request.engine);
  json.at(2).get_to(request.prompt_tokens);
  json.at(3).get_to(request.is_answering);
}

/// A request that has ended, and what that says of its engine.
struct EndedRequest {
  std::uint64_t number = 0;
  request::EngineVerdict verdict = request::EngineVerdict::kNeutral;
  /// How long the engine took, where it answered; gateways of older releases don't tell.
  std::optional<request::AnswerTiming> timing;
};
inline void to_json(nlohmann::json& json, const EndedRequest& request) {
  json = nlohmann::json::array({request.number, static_cast<unsigned>(request.verdict)});
  if (!request.timing) return;
  json.push_back(static_cast<std::uint32_t>(request.timing->first_ms));
  json.push_back(static_cast<std::uint32_t>(request.timing->held_ms));
  json.push_back(request.timing->events);
}
inline void from_json(const nlohmann::json& json, EndedRequest& request) {
  json.at(0).get_to(request.number);
  request.verdict = static_cast<request::EngineVerdict>(json.at(1).get<unsigned>());
  request.timing.reset();
  if (json.size() < 5) return;
  request.timing =
      request::AnswerTiming{json.at(2).get<double>(), json.at(3).get<double>(), json.at(4).get<std::uint32_t>()};
}

/// What the engine of a request told of its pace.
struct ToldPace {
  std::uint64_t number = 0;
  /// In hundredths of what is usual.
  std::uint32_t pace = 0;
};
inline void to_json(nlohmann::json& json, const ToldPace& told) {
  json = nlohmann::json::array({told.number, told.pace});
}
inline void from_json(const nlohmann::json& json, ToldPace& told) {
  json.at(0).get_to(told.number);
  json.at(1).get_to(told.pace);
}

/// What has become of a gateway's requests since its last notes.
struct PlacementNotes {
  static constexpr std::string_view kKind = "pn";
  std::string node;
  /// `present` are all requests that the gateway has; others that were known of it are over.
  bool is_whole = false;
  /// Placed by the gateway itself, or, with `is_whole`, all of them.
  std::vector<PlacedRequest> present;
  std::vector<std::uint64_t> answering;
  std::vector<EndedRequest> ended;
  /// Of requests that have begun to answer; gateways of older releases tell none.
  std::vector<ToldPace> paces;

  bool isEmpty() const { return !is_whole && present.empty() && answering.empty() && ended.empty(); }
};
inline void to_json(nlohmann::json& json, const PlacementNotes& notes) {
  json = nlohmann::json::array({notes.node, notes.is_whole, notes.present, notes.answering, notes.ended});
  if (!notes.paces.empty()) json.push_back(notes.paces);
}
inline void from_json(const nlohmann::json& json, PlacementNotes& notes) {
  json.at(0).get_to(notes.node);
  json.at(1).get_to(notes.is_whole);
  json.at(2).get_to(notes.present);
  json.at(3).get_to(notes.answering);
  json.at(4).get_to(notes.ended);
  notes.paces.clear();
  if (json.size() > 5) json.at(5).get_to(notes.paces);
}

}  // namespace hatchfork::fleet
