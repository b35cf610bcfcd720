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

/// Record of an engine that crashed while a request was in flight there.
struct CrashRecord {
  RequestFingerprint content;
  EngineId engine;
  /// Time since the crash, in milliseconds. An age, because the clocks of processes differ.
  std::int64_t age_ms = 0;
  /// Time that the request had been at the engine when the engine crashed, in milliseconds.
  std::int64_t ran_ms = 0;
};

/// Record of a request that got a complete answer and thus did not crash its engine.
struct CompleteAnswerRecord {
  RequestFingerprint content;
  /// Time since the answer, in milliseconds.
  std::int64_t age_ms = 0;
};

/// Thresholds, quarantine times and memory bounds of `CrashLedger`.
struct CrashLedgerLimits {
  /// Number of crashes, not explained by another request, from which on a request is refused. A lower number would
  /// refuse requests that merely shared an engine with a crashing request twice.
  std::size_t quarantine_threshold = 3;
  /// Number of crashes from which on the records of a request are worth keeping beyond the life of all processes. One
  /// crash is no evidence: each crash is recorded for all requests that were in flight.
  std::size_t kept_threshold = 2;
  /// Largest number of requests whose records are kept beyond the life of all processes, those with the most and newest
  /// crashes. Less than the store group holds, so that it evicts none of them.
  std::size_t max_kept_requests = 500;
  /// Number of crashes from which on requests are refused that were in flight at exactly the same engines and cannot be
  /// distinguished.
  std::size_t ambiguous_threshold = 5;
  /// Quarantine after the last crash of a request that has reached the threshold.
  Duration first_quarantine = std::chrono::seconds(20);
  /// Factor by which the quarantine grows with each further crash, up to `longest_quarantine`.
  int quarantine_growth = 10;
  Duration longest_quarantine = std::chrono::hours(6);
  /// Retention of the records of a request after its last crash. Refused requests are kept for twice their quarantine
  /// if that is longer.
  Duration retention = std::chrono::minutes(10);
  /// Largest number of requests with records, of about 200 bytes each. Those with the fewest and oldest crashes are
  /// evicted.
  std::size_t max_requests = 4000;
};

/// Assessment of whether a request crashes the engines it runs on.
struct CrashVerdict {
  /// Number of crashes during the request that no other request explains; zero for ordinary requests.
  std::size_t crashes = 0;
  /// End of the quarantine; `Instant::min()` if the request is not refused.
  Instant refused_until = Instant::min();
  /// True if the request was or is quarantined, or has as many crashes as that takes when none is explained by others.
  /// It then runs only where no other run of it is possible.
  bool requires_lease = false;

  bool isSuspect() const { return crashes > 0; }
  bool isRefused(Instant now) const { return now < refused_until; }
};

/// Distinguishes requests that crash the engines they run on from those that were merely in flight there.
///
/// A crash is recorded for all requests that were in flight at the engine. A complete answer clears a request of all
/// earlier crashes. The request with the most crashes is taken as their cause, and these crashes then count for no
/// other request. Crashes during overlapping runs of one content count once: a content that many callers send is in
/// flight at many engines at the same time, so several of them crashing is no stronger evidence than one.
///
/// Verdicts depend only on the set of records and not on their order, so processes that exchange their records agree.
/// Does no I/O; callers pass the current time. Not thread-safe.
class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerLimits limits = {}) : limits_(limits) {}

  /// Records a crash. `ran`: time that the request had been at the engine. Returns true if the record is new and
  /// counts.
  bool noteCrash(Instant at, Duration ran, const RequestFingerprint& content, const EngineId& engine);
  /// Records a complete answer. Returns true if the request has records and this answer is newer than earlier ones.
  bool noteCompleteAnswer(Instant at, const RequestFingerprint& content);
  /// Returns the verdict on a request. The first call after a change re-evaluates all requests.
  CrashVerdict judge(const RequestFingerprint& content);
  /// True if there are no records, so that callers can skip the lookup.
  bool isEmpty() const { return entries_.empty(); }
  bool knows(const RequestFingerprint& content) const { return entries_.contains(content); }
  /// Number of requests with records.
  std::size_t requests() const { return entries_.size(); }
  std::size_t refusedRequests(Instant now);
  /// Removes records whose retention has ended.
  void expire(Instant now);

  /// Returns the newest crash records, at most `most`, the newest first.
  std::vector<CrashRecord> crashes(Instant now, std::size_t most) const;
  /// Returns the crash records that must survive a simultaneous exit of all processes: those of requests with
  /// `kept_threshold` crashes or more, at most `max_kept_requests`, the requests with the most crashes first.
  std::vector<CrashRecord> crashesToKeep(Instant now);
  /// True if the request got a complete answer after this crash.
  bool isCleared(Instant crashed_at, const RequestFingerprint& content) const;
  /// Returns the requests with a complete answer, at most `most`.
  std::vector<CompleteAnswerRecord> innocents(Instant now, std::size_t most) const;
  /// Hash of all crash records; equal for ledgers with the same crashes.
  std::uint64_t digest() const;

 private:
  /// A run that was in flight when its engine crashed.
  struct Crash {
    Instant began_at{};
    Instant ended_at{};
  };
  using Crashes = std::map<EngineId, Crash>;
  struct Entry {
    Crashes crashes;
    Instant last_crash = Instant::min();
    /// Time of the last complete answer; crashes up to this time do not count.
    Instant cleared_at = Instant::min();
    CrashVerdict verdict;
  };
  using Entries = std::map<RequestFingerprint, Entry>;

  /// Number of crashes at engines other than `explained`; crashes during overlapping runs count once.
  static std::size_t countUnexplained(const Crashes& crashes, const std::set<EngineId>& explained);
  static std::set<EngineId> unexplainedEngines(const Crashes& crashes, const std::set<EngineId>& explained);
  /// True if the last complete answer is later than a crash at this time.
  static bool clears(const Entry& entry, Instant crashed_at);
  static CrashRecord makeRecord(Instant now, const RequestFingerprint& content, const Crashes::value_type& crash);
  void updateVerdicts();
  Instant expiresAt(const Entry& entry) const;
  Duration quarantineOf(std::size_t crashes) const;
  void evictExcess();

  CrashLedgerLimits limits_;
  Entries entries_;
  /// True if the stored verdicts are up to date with all records.
  bool is_up_to_date_ = true;
};

}  // namespace hatchfork::request
