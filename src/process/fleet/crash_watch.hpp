#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/crash_messages.hpp"

namespace hatchfork::fleet {

struct CrashWatchCounters {
  /// Ends of engines that this process saw itself, once for each request in flight there.
  std::uint64_t crashes_seen = 0;
  std::uint64_t refused = 0;
};

/// What one process knows of requests that end the engines they run on: the ledger, the engines at which suspects run
/// now, and what is to be told to the others. Suspects run at engines of their own, so that the next end tells them
/// apart. A part of prompts is known to be sound while an answer on it is under way at any process. Soft state: a
/// process that starts is told by others. No I/O, no clock. Belongs to one thread.
class CrashWatch {
 public:
  /// `started_at`: when the process started, so that numbers of runs rise over restarts of the node.
  explicit CrashWatch(std::string node, WallMillis started_at = 0);

  /// Asked whether an engine is registered and not leaving: one that leaves ends as planned.
  void setServingCheck(std::function<bool(const EngineId&)> is_serving) { is_serving_ = std::move(is_serving); }
  /// Asked whether an answer on a prompt with this part is under way at this process.
  void setAnsweringCheck(std::function<bool(const request::RequestFingerprint& part)> is_answering) {
    is_answering_ = std::move(is_answering);
  }
  /// Called when there is something to tell the others.
  void setNewsHandler(std::function<void()> on_news) { on_news_ = std::move(on_news); }

  /// True while no request is suspected by anyone, so that none needs to be looked up.
  bool isQuiet() const { return ledger_.isEmpty(); }
  request::CrashVerdict judge(const request::CrashSubjects& subjects) { return ledger_.judge(subjects); }
  /// A request that was in flight at two engines that ended runs at one engine at a time.
  bool mustWait(Instant now, const request::CrashSubjects& subjects);
  /// True if the request may run only under a trial lease, at one engine of the fleet at a time: it was in flight at
  /// two engines that ended, or its quarantine has ended. What this process has heard of other runs would be too late.
  bool needsTrial(Instant now, const request::CrashSubjects& subjects);
  /// True if runs of the request are told to the others, so that no other suspect goes to its engine. Where very many
  /// are suspected, only those are kept apart that are likely to end their engine.
  bool isKeptApart(const request::CrashSubjects& subjects);
  /// Engines that the request does not go to: for a suspect those at which another one runs, for any other those at
  /// which a request runs that is likely to end them.
  std::vector<EngineId> enginesToAvoid(Instant now, const request::CrashSubjects& subjects);

  /// Name of a run for which a trial lease is requested, unique in the fleet over restarts of the process.
  std::string newTrialHolder();

  /// A suspect begins to run, or its run is over. The run is told to the others under the name of one of its subjects,
  /// which is returned.
  request::RequestFingerprint noteBegun(Instant now, const request::CrashSubjects& subjects, const EngineId& engine);
  void noteEnded(Instant now, const request::RequestFingerprint& subject, const EngineId& engine);
  /// A life of the engine ended while the request was in flight there, since `began_at`. Pass no parts if its answer
  /// had begun, since the engine had read them.
  void noteCrash(Instant now, Instant began_at, const request::CrashSubjects& subjects, const EngineId& engine,
                 WallMillis born = 0);
  /// The content got a whole answer.
  void noteAnswered(Instant now, const request::RequestFingerprint& content) { clear(now, content); }
  /// An answer on a prompt with these parts has begun.
  void noteAnswerBegun(Instant now, const std::vector<request::RequestFingerprint>& parts);
  void noteRefused(Instant now, const request::CrashSubjects& subjects, std::string_view request);

  /// Takes what another process tells; returns what of it was not known, to be passed on.
  CrashNotesFrame take(Instant now, const CrashNotesFrame& notes);
  /// What is to be told since the last call.
  CrashNotesFrame takeNews() { return std::exchange(news_, {}); }
  /// Asks to be told what becomes known.
  CrashNotesFrame hello() const;
  /// All that is known, newest first, up to a bound.
  CrashNotesFrame everything(Instant now) const;
  /// Crashes that must survive a simultaneous exit of all processes.
  std::vector<request::CrashRecord> crashesToKeep(Instant now) { return ledger_.crashesToKeep(now); }
  Instant lastCrashedRunBegan(const request::RequestFingerprint& subject) const {
    return ledger_.lastCrashedRunBegan(subject);
  }
  /// True if the request got a complete answer after this crash.
  bool isCleared(Instant crashed_at, const request::RequestFingerprint& content) const {
    return ledger_.isCleared(crashed_at, content);
  }
  std::uint64_t digest() const { return ledger_.digest(); }
  /// Call about once a second.
  void expire(Instant now);

  const CrashWatchCounters& counters() const { return counters_; }
  std::size_t requestsKnown() const { return ledger_.requests(); }
  std::size_t requestsRefused(Instant now) { return ledger_.refusedRequests(now); }

 private:
  struct RunAt {
    EngineId engine;
    std::uint64_t crashes = 0;
    std::uint64_t number = 0;
    Instant began_at{};
    /// Kept for a while, so that a late note of its begin changes nothing.
    bool has_ended = false;
  };
  using RunKey = std::pair<request::RequestFingerprint, std::string>;

  bool takeRun(Instant now, const SuspectRun& run);
  /// The subject ends no engines.
  void clear(Instant now, const request::RequestFingerprint& subject);
  bool isAnswering(const request::RequestFingerprint& subject) const;
  /// The subject by whose name runs of the request are told to the others.
  request::RequestFingerprint nameOfRun(const request::CrashSubjects& subjects);
  static bool isCurrent(Instant now, const RunAt& run);
  void tell() const {
    if (on_news_) on_news_();
  }

  std::string node_;
  std::uint64_t last_run_ = 0;
  std::function<bool(const EngineId&)> is_serving_;
  std::function<bool(const request::RequestFingerprint&)> is_answering_;
  std::function<void()> on_news_;
  request::CrashLedger ledger_;
  /// Runs of suspects, by content and the node that sent them.
  std::map<RunKey, RunAt> runs_;
  CrashNotesFrame news_;
  CrashWatchCounters counters_;
};

}  // namespace hatchfork::fleet
