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
};
inline void to_json(nlohmann::json& json, const PlacementQuestion& question) {
  json = nlohmann::json::array(
      {question.node, question.zone, question.number, question.service, question.prompt_tokens, question.excluded});
  if (question.zones) json.push_back(*question.zones);
}
inline void from_json(const nlohmann::json& json, PlacementQuestion& question) {
  json.at(0).get_to(question.node);
  json.at(1).get_to(question.zone);
  json.at(2).get_to(question.number);
  json.at(3).get_to(question.service);
  json.at(4).get_to(question.prompt_tokens);
  json.at(5).get_to(question.excluded);
  question.zones.reset();
  if (json.size() > 6) question.zones = json.at(6).get<std::set<ZoneId>>();
}

/// The engine, whose slot now counts as taken; empty if there is none.
struct PlacementAnswer {
  static constexpr std::string_view kKind = "pa";
  std::uint64_t number = 0;
  EngineId engine;
  /// How long the request is expected to wait there for a slot and its prompt, in milliseconds.
  double expected_first_ms = 0;
  /// Requests at the engine before this one, as far as is known.
  double running = 0;
};
inline void to_json(nlohmann::json& json, const PlacementAnswer& answer) {
  json = nlohmann::json::array({answer.number, answer.engine, answer.expected_first_ms, answer.running});
}
inline void from_json(const nlohmann::json& json, PlacementAnswer& answer) {
  json.at(0).get_to(answer.number);
  json.at(1).get_to(answer.engine);
  json.at(2).get_to(answer.expected_first_ms);
  json.at(3).get_to(answer.running);
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
};
inline void to_json(nlohmann::json& json, const EndedRequest& request) {
  json = nlohmann::json::array({request.number, static_cast<unsigned>(request.verdict)});
}
inline void from_json(const nlohmann::json& json, EndedRequest& request) {
  json.at(0).get_to(request.number);
  request.verdict = static_cast<request::EngineVerdict>(json.at(1).get<unsigned>());
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

  bool isEmpty() const { return !is_whole && present.empty() && answering.empty() && ended.empty(); }
};
inline void to_json(nlohmann::json& json, const PlacementNotes& notes) {
  json = nlohmann::json::array({notes.node, notes.is_whole, notes.present, notes.answering, notes.ended});
}
inline void from_json(const nlohmann::json& json, PlacementNotes& notes) {
  json.at(0).get_to(notes.node);
  json.at(1).get_to(notes.is_whole);
  json.at(2).get_to(notes.present);
  json.at(3).get_to(notes.answering);
  json.at(4).get_to(notes.ended);
}

}  // namespace hatchfork::fleet
