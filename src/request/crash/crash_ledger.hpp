#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/crash/request_fingerprint.hpp"

namespace hatchfork::request {

/// An engine ended while a request was in flight there.
struct CrashRecord {
  RequestFingerprint content;
  EngineId engine;
  /// How long ago, in milliseconds; clocks of processes differ.
  std::int64_t age_ms = 0;
  /// How long the request had been there, in milliseconds.
  std::int64_t ran_ms = 0;
};

/// A request got a whole answer, so that it did not end that engine.
struct CompleteAnswerRecord {
  RequestFingerprint content;
  std::int64_t age_ms = 0;
};

struct CrashLedgerLimits {
  /// Engines that must have ended under a request, and under no other one that explains it, before it is refused. Fewer
  /// would refuse requests that shared an engine with another one twice.
  std::size_t convicting_crashes = 3;
  /// Two requests that were in flight at all the same engines can't be told apart; both are refused from here on.
  std::size_t undecided_crashes = 5;
  /// A request is refused for this long after its last crash, and so many times longer after each further one.
  Duration first_quarantine = std::chrono::seconds(20);
  int quarantine_growth = 10;
  Duration longest_quarantine = std::chrono::hours(6);
  /// What is known of a request is forgotten this long after its last crash, or once its quarantine has been over for
  /// as long as it took.
  Duration kept_for = std::chrono::minutes(10);
  /// Most requests that are remembered, of about 200 bytes each; those with the fewest and oldest crashes give way.
  std::size_t most_requests = 4000;
};

/// What is known of a request's part in the ends of engines.
struct CrashVerdict {
  /// Engines that ended under it and that no other request explains; zero for all ordinary requests.
  std::size_t crashes = 0;
  /// Refused before this time; `Instant::min()` if it is not refused.
  Instant refused_until = Instant::min();

  bool isSuspect() const { return crashes > 0; }
  bool isRefused(Instant now) const { return now < refused_until; }
};

/// Tells requests that end the engines they run on from those that were only in flight beside them. An engine's end is
/// noted for all requests it ran; a whole answer clears a request of all earlier ends; the request with the most ends
/// is taken to explain them, so that they count for no other one. Ends count one after the other: a content that many
/// callers send is in flight at many engines at once, and two of those that end say no more of it than one. Verdicts
/// follow from the records alone, in whatever order these come, so that processes which exchange their records agree.
/// No I/O, no clock. Belongs to one thread.
class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerLimits limits = {}) : limits_(limits) {}

  /// `ran`: how long the request had been at the engine. True if this was not known.
  bool noteCrash(Instant at, Duration ran, const RequestFingerprint& content, const EngineId& engine);
  /// A whole answer; true if it clears the request of something.
  bool noteCompleteAnswer(Instant at, const RequestFingerprint& content);
  /// Costs more after a change: all requests are judged again, once.
  CrashVerdict judge(const RequestFingerprint& content);
  /// True while nothing is known of any request, so that none needs to be looked up.
  bool isEmpty() const { return entries_.empty(); }
  bool knows(const RequestFingerprint& content) const { return entries_.contains(content); }
  std::size_t requests() const { return entries_.size(); }
  std::size_t refusedRequests(Instant now);
  void expire(Instant now);

  /// All records, those of the newest requests first, at most so many.
  std::vector<CrashRecord> crashes(Instant now, std::size_t most) const;
  /// Those of the requests that are refused, or were.
  std::vector<CrashRecord> crashesOfQuarantined(Instant now);
  std::vector<CompleteAnswerRecord> innocents(Instant now, std::size_t most) const;
  /// Equal for ledgers that hold the same crashes.
  std::uint64_t digest() const;

 private:
  /// A run that ended with its engine.
  struct Crash {
    Instant began_at{};
    Instant ended_at{};
  };
  using Crashes = std::map<EngineId, Crash>;
  struct Entry {
    Crashes crashes;
    Instant last_crash = Instant::min();
    /// Crashes up to here do not count.
    Instant innocent_at = Instant::min();
    CrashVerdict verdict;
  };
  using Entries = std::map<RequestFingerprint, Entry>;

  /// Ends that no other request explains, counted one after the other.
  static std::size_t countUnexplained(const Crashes& crashes, const std::set<EngineId>& explained);
  static std::set<EngineId> unexplainedEngines(const Crashes& crashes, const std::set<EngineId>& explained);
  static CrashRecord recordOf(Instant now, const RequestFingerprint& content, const Crashes::value_type& crash);
  void judgeAll();
  Instant forgottenAt(const Entry& entry) const;
  Duration quarantineOf(std::size_t crashes) const;
  void makeRoom();

  CrashLedgerLimits limits_;
  Entries entries_;
  /// The verdicts follow from all records.
  bool is_judged_ = true;
};

}  // namespace hatchfork::request
