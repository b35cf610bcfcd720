#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "request/crash/request_fingerprint.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/prompt_shape.hpp"
#include "version/batch_submission.hpp"
#include "version/dialect.hpp"

/// Frames between the leader of the store group, which decides where batch items run, and the stores that run them.
///
/// An order is bound to the term of its leader: a store takes no order of an older term than it has seen. Its runs do
/// not end with the term: it offers them to the next leader, which takes them up or stops them. A store breaks off what
/// it runs once no leader has been heard for the time of the lease, and begins no run of an order that may be older.
///
/// What an engine answered to an item outlives runs, leaders and lost frames: the store that heard it tells it with
/// each report until a leader says that the group keeps it.
namespace hatchfork::fleet {

/// Names the content of an item, which is the same as that of a like item of another job.
request::RequestFingerprint contentOf(const TenantId& tenant, const std::string& host, const OpaqueItem& item);
/// The prompt that an item's headers describe.
request::PromptShape promptOf(const HeaderNames& names, const OpaqueItem& item);
/// A hash by which two processes compare texts of one item; the same in all releases.
std::uint64_t textHashOf(std::string_view text);

/// How a run of an item ended.
enum class RunEnd : std::uint8_t {
  /// The answer is whole.
  kWhole,
  /// The engine ran it and failed.
  kFailed,
  /// The engine says that it can never be done.
  kImpossible,
  /// The engine did not run it.
  kDeclined,
  /// Cut off; what has come is kept.
  kBroken,
  /// Broken off to make room for online requests.
  kYielded,
  /// Broken off since nobody wants it any more.
  kStopped,
  /// The engine closed an answer without a length; another run tells whether that was the end of the text.
  kClosed,
};
NLOHMANN_JSON_SERIALIZE_ENUM(RunEnd, {{RunEnd::kBroken, 4},
                                      {RunEnd::kWhole, 0},
                                      {RunEnd::kFailed, 1},
                                      {RunEnd::kImpossible, 2},
                                      {RunEnd::kDeclined, 3},
                                      {RunEnd::kYielded, 5},
                                      {RunEnd::kStopped, 6},
                                      {RunEnd::kClosed, 7}})

/// Of an order by a leader that knows no stamps.
inline constexpr std::int64_t kUnstamped = -1;

/// Run this item at this engine.
struct RunOrder {
  static constexpr std::string_view kKind = "ro";
  ReplicaId from;
  std::uint64_t term = 0;
  /// Unique among the orders of one term.
  std::uint64_t number = 0;
  JobId job;
  OpaqueItem item;
  /// Host of the job's route.
  std::string host;
  /// Whose job it is; empty where there are no tenants.
  TenantId tenant;
  /// The service of the engine; empty in orders of older leaders.
  ServiceId service;
  EngineId engine;
  WallMillis engine_born = 0;
  EngineBuild engine_build;
  std::string engine_address;
  /// The engine is asked to go on after this event; zero for a run from the start.
  std::uint64_t last_event = 0;
  /// The run before ended there by a close that proves nothing.
  bool after_close = false;
  /// There is text already, so that what comes next follows on a line feed; and that text, for an offer.
  bool has_text = false;
  std::string text;
  /// Chain of runs that this one continues.
  std::uint64_t chain = 0;
  /// The stored progress that the text begins with; zero if it begins with none. Leaders of older releases also name
  /// progress that the text does not begin with.
  std::uint64_t saved_event = 0;
  std::uint64_t saved_chain = 0;
  /// See `RunLease::reads_summaries`.
  bool reads_summaries = false;
  /// Stamp of the newest report that the leader had from the store when it ordered this, zero for none in its term. By
  /// it the store sees, by its own clock alone, for how long at most the order has been under way.
  std::int64_t report_stamp = kUnstamped;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunOrder, from, term, number, job, item, host, tenant, engine,
                                                engine_address, last_event, has_text, text, chain, saved_event,
                                                saved_chain, after_close, engine_born, engine_build, service,
                                                reads_summaries, report_stamp)

/// A leader's request for the text of a run that a store has summarised.
struct TextRequest {
  std::uint64_t number = 0;
  /// Bytes of the text that the leader has already, which may or may not be the start of the run's text.
  std::uint64_t offset = 0;
  /// Hash of these bytes. If the run's text begins with other bytes, the store sends the whole text. Absent from
  /// leaders of older releases, which get the text from `offset` on.
  std::optional<std::uint64_t> start_hash;
};
inline void to_json(nlohmann::json& json, const TextRequest& request) {
  json = nlohmann::json::array({request.number, request.offset});
  if (request.start_hash) json.push_back(*request.start_hash);
}
inline void from_json(const nlohmann::json& json, TextRequest& request) {
  json.at(0).get_to(request.number);
  json.at(1).get_to(request.offset);
  request.start_hash.reset();
  if (json.size() > 2) request.start_hash = json.at(2).get<std::uint64_t>();
}

/// The leader's heartbeat to the stores that run items for it, with what it asks of their runs.
struct RunLease {
  static constexpr std::string_view kKind = "rl";
  ReplicaId from;
  std::uint64_t term = 0;
  /// Runs that the store has to abort.
  std::vector<std::uint64_t> stopped;
  /// Runs whose answers the group keeps, so that they need not be told again.
  std::vector<std::uint64_t> kept_answers;
  /// The leader takes `RunSummaries` instead of a `RunOffer`, and asks for the texts; false from older releases.
  bool reads_summaries = false;
  std::vector<TextRequest> wanted_texts;
  /// Ended runs whose results the group has listed, so that they need not be offered to another leader.
  std::vector<std::uint64_t> listed;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunLease, from, term, stopped, kept_answers, reads_summaries,
                                                wanted_texts, listed)

/// What has come of one run since the last report.
struct RunNews {
  std::uint64_t number = 0;
  /// Counts the news of this run from one, so that a lost report is noticed.
  std::uint64_t sequence = 0;
  /// Text to be added, and the event that it reaches up to; zero where events have no identifiers.
  std::string text;
  std::uint64_t last_event = 0;
  /// Events that the text holds.
  std::uint64_t events = 0;
  bool ended = false;
  RunEnd end = RunEnd::kBroken;
  request::EngineVerdict verdict = request::EngineVerdict::kNeutral;
  std::string cause;
  /// Requests running and waiting and slots, as the engine told them with its answer; no slots where it did not.
  std::uint32_t engine_running = 0;
  std::uint32_t engine_waiting = 0;
  std::uint32_t engine_slots = 0;
};
inline void to_json(nlohmann::json& json, const RunNews& news) {
  json = nlohmann::json::array({news.number, news.sequence, news.text, news.last_event, news.ended, news.end,
                                static_cast<unsigned>(news.verdict), news.cause, news.engine_running,
                                news.engine_waiting, news.engine_slots, news.events});
}
inline void from_json(const nlohmann::json& json, RunNews& news) {
  json.at(0).get_to(news.number);
  json.at(1).get_to(news.sequence);
  json.at(2).get_to(news.text);
  json.at(3).get_to(news.last_event);
  json.at(4).get_to(news.ended);
  json.at(5).get_to(news.end);
  news.verdict = static_cast<request::EngineVerdict>(json.at(6).get<unsigned>());
  json.at(7).get_to(news.cause);
  json.at(8).get_to(news.engine_running);
  json.at(9).get_to(news.engine_waiting);
  json.at(10).get_to(news.engine_slots);
  json.at(11).get_to(news.events);
}

/// An engine's answer that counts against an item: a failure, or that it can never be done.
struct ItemAnswer {
  /// The run that brought it; unique over all leaders.
  std::uint64_t number = 0;
  JobId job;
  std::string item;
  RunEnd end = RunEnd::kFailed;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ItemAnswer, number, job, item, end)

/// What a store has to tell of the runs that it was ordered.
struct RunReport {
  static constexpr std::string_view kKind = "rr";
  ReplicaId from;
  /// Term of the orders.
  std::uint64_t term = 0;
  std::vector<RunNews> news;
  /// All runs in flight; an order that is neither here nor ended was lost.
  std::vector<std::uint64_t> running;
  /// Answers of which no leader has said yet that they are kept.
  std::vector<ItemAnswer> answers;
  /// When the store sent it, in milliseconds of a clock of the store's own; zero from older releases.
  std::int64_t stamp = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunReport, from, term, news, running, answers, stamp)

/// A run that was ordered by an earlier leader, as far as it has got.
struct OfferedRun {
  std::uint64_t number = 0;
  /// Of the last news; the next ones go on from it.
  std::uint64_t sequence = 0;
  JobId job;
  std::string item;
  EngineId engine;
  std::uint64_t chain = 0;
  std::uint64_t saved_event = 0;
  std::uint64_t saved_chain = 0;
  /// The item's whole text so far, the text of earlier runs of the chain included.
  std::string text;
  bool has_text = false;
  std::uint64_t last_event = 0;
  bool ended = false;
  RunEnd end = RunEnd::kBroken;
  request::EngineVerdict verdict = request::EngineVerdict::kNeutral;
  std::string cause;
  /// Build that wrote the text; empty if it is not known.
  EngineBuild build;
};
/// Older releases tell no build.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OfferedRun, number, sequence, job, item, engine, chain, saved_event,
                                                saved_chain, text, has_text, last_event, ended, end, verdict, cause,
                                                build)

/// What a store runs, or has run to its end lately, for earlier leaders; to a new one.
struct RunOffer {
  static constexpr std::string_view kKind = "rf";
  ReplicaId from;
  /// Term of the leader that it is offered to.
  std::uint64_t term = 0;
  std::vector<OfferedRun> runs;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunOffer, from, term, runs)

/// A run that was ordered by an earlier leader, without its text.
struct RunSummary {
  std::uint64_t number = 0;
  /// Of the last news; the next ones go on from it.
  std::uint64_t sequence = 0;
  JobId job;
  std::string item;
  EngineId engine;
  /// Build that wrote the text; empty if it is not known.
  EngineBuild build;
  std::uint64_t chain = 0;
  /// See `RunOrder`; for leaders of older releases, which ask for the text after that progress.
  std::uint64_t saved_event = 0;
  std::uint64_t saved_chain = 0;
  /// Bytes and last event of the item's whole text so far; zero events where it can't be resumed.
  std::uint64_t text_bytes = 0;
  std::uint64_t last_event = 0;
  bool ended = false;
};
inline void to_json(nlohmann::json& json, const RunSummary& run) {
  json = nlohmann::json::array({run.number, run.sequence, run.job, run.item, run.engine, run.build, run.chain,
                                run.saved_event, run.saved_chain, run.text_bytes, run.last_event, run.ended});
}
inline void from_json(const nlohmann::json& json, RunSummary& run) {
  json.at(0).get_to(run.number);
  json.at(1).get_to(run.sequence);
  json.at(2).get_to(run.job);
  json.at(3).get_to(run.item);
  json.at(4).get_to(run.engine);
  json.at(5).get_to(run.build);
  json.at(6).get_to(run.chain);
  json.at(7).get_to(run.saved_event);
  json.at(8).get_to(run.saved_chain);
  json.at(9).get_to(run.text_bytes);
  json.at(10).get_to(run.last_event);
  json.at(11).get_to(run.ended);
}

/// What a store runs, or has run to its end lately, for earlier leaders; to a new one that reads summaries. The store
/// reports no news of these runs before the leader has asked for their texts.
struct RunSummaries {
  static constexpr std::string_view kKind = "rs";
  ReplicaId from;
  /// Term of the leader that it is sent to.
  std::uint64_t term = 0;
  std::vector<RunSummary> runs;
  /// The store compares the start of a text with the hash of a request; false from older releases.
  bool compares_texts = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunSummaries, from, term, runs, compares_texts)

/// The text of a run that a leader asked for, and the run's state. Later news go on from it.
struct RunText {
  std::uint64_t number = 0;
  std::uint64_t sequence = 0;
  /// Bytes of the item's text that are left out at its start.
  std::uint64_t offset = 0;
  std::string text;
  bool has_text = false;
  /// Last event that the text contains; zero where it can't be resumed.
  std::uint64_t last_event = 0;
  bool ended = false;
  RunEnd end = RunEnd::kBroken;
  request::EngineVerdict verdict = request::EngineVerdict::kNeutral;
  std::string cause;
};
inline void to_json(nlohmann::json& json, const RunText& text) {
  json = nlohmann::json::array({text.number, text.sequence, text.offset, text.text, text.has_text, text.last_event,
                                text.ended, text.end, static_cast<unsigned>(text.verdict), text.cause});
}
inline void from_json(const nlohmann::json& json, RunText& text) {
  json.at(0).get_to(text.number);
  json.at(1).get_to(text.sequence);
  json.at(2).get_to(text.offset);
  json.at(3).get_to(text.text);
  json.at(4).get_to(text.has_text);
  json.at(5).get_to(text.last_event);
  json.at(6).get_to(text.ended);
  json.at(7).get_to(text.end);
  text.verdict = static_cast<request::EngineVerdict>(json.at(8).get<unsigned>());
  json.at(9).get_to(text.cause);
}

/// The answer to `RunLease::wanted_texts`.
struct RunTexts {
  static constexpr std::string_view kKind = "rt";
  ReplicaId from;
  std::uint64_t term = 0;
  std::vector<RunText> texts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunTexts, from, term, texts)

}  // namespace hatchfork::fleet
