#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "request/crash/crash_ledger.hpp"

/// What processes tell each other of requests that may end the engines they run on. Told by whoever sees it, passed on
/// by the aggregators of all zones, and compared every second, so that what was lost comes again.
namespace hatchfork::request {

inline void to_json(nlohmann::json& json, const CrashRecord& record) {
  json = nlohmann::json::array({record.content, record.engine, record.age_ms, record.ran_ms});
}
inline void from_json(const nlohmann::json& json, CrashRecord& record) {
  json.at(0).get_to(record.content);
  json.at(1).get_to(record.engine);
  json.at(2).get_to(record.age_ms);
  json.at(3).get_to(record.ran_ms);
}

inline void to_json(nlohmann::json& json, const CompleteAnswerRecord& record) {
  json = nlohmann::json::array({record.content, record.age_ms});
}
inline void from_json(const nlohmann::json& json, CompleteAnswerRecord& record) {
  json.at(0).get_to(record.content);
  json.at(1).get_to(record.age_ms);
}

}  // namespace hatchfork::request

namespace hatchfork::fleet {

/// A request under which an engine has ended begins to run at another one, or its run there is over.
struct SuspectRun {
  std::string node;
  request::RequestFingerprint content;
  EngineId engine;
  /// Unexplained crashes when it began.
  std::uint64_t crashes = 0;
  bool has_ended = false;
  /// Rises with each run of the node, over its restarts too, so that late notes are recognised.
  std::uint64_t number = 0;
  /// How long ago it began, in milliseconds.
  std::int64_t age_ms = 0;
};
inline void to_json(nlohmann::json& json, const SuspectRun& run) {
  json = nlohmann::json::array({run.node, run.content, run.engine, run.crashes, run.has_ended, run.number, run.age_ms});
}
inline void from_json(const nlohmann::json& json, SuspectRun& run) {
  json.at(0).get_to(run.node);
  json.at(1).get_to(run.content);
  json.at(2).get_to(run.engine);
  json.at(3).get_to(run.crashes);
  json.at(4).get_to(run.has_ended);
  json.at(5).get_to(run.number);
  json.at(6).get_to(run.age_ms);
}

struct CrashNotesFrame {
  static constexpr std::string_view kKind = "cn";
  std::vector<request::CrashRecord> crashes;
  std::vector<request::CompleteAnswerRecord> innocents;
  std::vector<SuspectRun> runs;
  /// The sender wants to be told what becomes known; where its digest differs from the receiver's, all of it.
  bool is_hello = false;
  /// The sender wants all that the receiver knows, if its digest still differs after these records.
  bool wants_all = false;
  /// Passed on by an aggregator, so that it goes to no other aggregator.
  bool is_relayed = false;
  /// `request::CrashLedger::digest` of the sender.
  std::uint64_t digest = 0;

  bool hasNews() const { return !crashes.empty() || !innocents.empty() || !runs.empty(); }
  /// Adds the records of another message.
  void add(const CrashNotesFrame& other) {
    crashes.insert(crashes.end(), other.crashes.begin(), other.crashes.end());
    innocents.insert(innocents.end(), other.innocents.begin(), other.innocents.end());
    runs.insert(runs.end(), other.runs.begin(), other.runs.end());
  }
};
inline void to_json(nlohmann::json& json, const CrashNotesFrame& notes) {
  json = nlohmann::json::array(
      {notes.crashes, notes.innocents, notes.runs, notes.is_hello, notes.wants_all, notes.is_relayed, notes.digest});
}
inline void from_json(const nlohmann::json& json, CrashNotesFrame& notes) {
  json.at(0).get_to(notes.crashes);
  json.at(1).get_to(notes.innocents);
  json.at(2).get_to(notes.runs);
  json.at(3).get_to(notes.is_hello);
  json.at(4).get_to(notes.wants_all);
  json.at(5).get_to(notes.is_relayed);
  json.at(6).get_to(notes.digest);
}

}  // namespace hatchfork::fleet
