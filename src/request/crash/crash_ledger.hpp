#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/crash/crash_subjects.hpp"
#include "request/crash/request_fingerprint.hpp"

namespace hatchfork::request {

/// Record of an engine that crashed while a request was in flight there, for one subject of the request.
struct CrashRecord {
  RequestFingerprint content;
  EngineId engine;
  /// Time since the crash, in milliseconds. An age, because the clocks of processes differ.
  std::int64_t age_ms = 0;
  /// Time that the request had been at the engine when the engine crashed, in milliseconds.
  std::int64_t ran_ms = 0;
};

/// Record of a subject that did not crash an engine: a content that got a complete answer, or a prompt part on which an
/// answer began.
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
  /// Number of engines from which on a prompt part runs at one engine at a time, whether or not its runs overlapped.
  std::size_t serial_part_threshold = 2;
  /// Number of engines from which on a prompt part is refused once a run that overlapped no other crashed another one.
  std::size_t many_engines_threshold = 5;
  /// Number of crashes from which on the records of a request are worth keeping beyond the life of all processes. One
  /// crash is no evidence: each crash is recorded for all requests that were in flight.
  std::size_t kept_threshold = 2;
  /// Largest number of requests whose records are kept beyond the life of all processes, those with the most and newest
  /// crashes. Less than the store group holds, so that it evicts none of them.
  std::size_t max_kept_requests = 500;
  /// Number of crashes from which on contents are refused that were in flight at exactly the same engines and cannot be
  /// distinguished. Prompt parts that cannot be distinguished are refused only together, and tried one by one.
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
  /// True if the request was or is quarantined, or its content has as many crashes as that takes when none is explained
  /// by others. It then runs only where no other run of it is possible.
  bool requires_lease = false;
  /// The subject of the request with the most crashes, by whose name leases are requested.
  RequestFingerprint decisive;

  bool isSuspect() const { return crashes > 0; }
  bool isRefused(Instant now) const { return now < refused_until; }
};

/// Distinguishes what crashes engines, a content or a prompt part, from what was merely in flight there.
///
/// A crash is recorded for the contents of all requests that were in flight at the engine, and for the prompt parts of
/// those whose answer had not begun: an engine reads the prompt before it begins the answer. A complete answer clears a
/// content of all earlier crashes, and the begin of an answer clears the parts of its prompt. The subject with the most
/// crashes is taken as their cause, and these crashes then count for no other subject. Crashes during overlapping runs
/// of one subject count once: what many callers send is in flight at many engines at the same time, so several of them
/// crashing is no stronger evidence than one.
///
/// Subjects with exactly the same crashes cannot be distinguished. A request that has all of them is refused, since it
/// has the one that is the cause; a request with some of them runs under a lease, which tells them apart.
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
  /// Returns the verdict on a request, from those on its subjects. The first call after a change re-evaluates all
  /// subjects.
  CrashVerdict judge(const CrashSubjects& subjects);
  /// True if there are no records, so that callers can skip the lookup.
  bool isEmpty() const { return entries_.empty(); }
  /// True if there are crashes for which the subject may be the cause.
  bool hasCrashes(const RequestFingerprint& subject) const;
  /// Number of requests with records.
  std::size_t requests() const { return entries_.size(); }
  std::size_t refusedRequests(Instant now);
  /// Begin of the latest run with this subject that crashed its engine; `Instant::min()` if there is none.
  Instant lastCrashedRunBegan(const RequestFingerprint& subject) const;
  /// Removes records whose retention has ended.
  void expire(Instant now);

  /// Returns at most `most` crash records: first those of subjects with several crashes, each sort newest first.
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
  struct SubjectVerdict {
    std::size_t crashes = 0;
    /// Ends of the quarantine of all requests with this subject, and of those with all subjects of its group.
    Instant refused_until = Instant::min();
    Instant group_refused_until = Instant::min();
    /// Subjects that cannot be distinguished have the same group number; zero if the subject is in no group.
    std::size_t group = 0;
    std::size_t group_size = 0;
    bool requires_lease = false;

    /// True if requests with this subject are refused, at least those with all subjects of its group.
    bool isRefused(Instant now) const { return now < refused_until || now < group_refused_until; }
  };
  struct Entry {
    Crashes crashes;
    Instant last_crash = Instant::min();
    /// Time of the last complete answer; crashes up to this time do not count.
    Instant cleared_at = Instant::min();
    SubjectVerdict verdict;
  };
  using Entries = std::map<RequestFingerprint, Entry>;

  /// Number of crashes at engines other than `explained`; crashes during overlapping runs count once.
  static std::size_t countUnexplained(const Crashes& crashes, const std::set<EngineId>& explained);
  /// Number of crashes that count against a subject.
  std::size_t weigh(const RequestFingerprint& subject, const Crashes& crashes,
                    const std::set<EngineId>& explained) const;
  static std::set<EngineId> unexplainedEngines(const Crashes& crashes, const std::set<EngineId>& explained);
  /// True if the last complete answer is later than a crash at this time.
  static bool clears(const Entry& entry, Instant crashed_at);
  static CrashRecord makeRecord(Instant now, const RequestFingerprint& content, const Crashes::value_type& crash);
  void updateVerdicts();
  /// Sets the verdicts of subjects with exactly the same unexplained crashes.
  void judgeGroup(const std::vector<Entries::value_type*>& members, std::size_t crashes, std::size_t group) const;
  Instant expiresAt(const Entry& entry) const;
  Duration quarantineOf(std::size_t crashes) const;
  void evictExcess();

  CrashLedgerLimits limits_;
  Entries entries_;
  /// True if the stored verdicts are up to date with all records.
  bool is_up_to_date_ = true;
};

}  // namespace hatchfork::request
