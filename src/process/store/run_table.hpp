#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/fleet/run_messages.hpp"

namespace hatchfork::store {

/// Limits and intervals of a `RunTable`.
struct RunTableLimits {
  /// While fewer runs than this are in flight in total, the leader runs them itself, so that only one process is woken.
  std::size_t local_runs = 40;
  /// A store in the engine's zone is preferred while its number of runs is at most `max_ratio_to_mean` times the mean
  /// plus `slack_above_mean`.
  double max_ratio_to_mean = 1.5;
  std::size_t slack_above_mean = 4;
  /// Maximum number of runs of one store.
  std::size_t max_runs = 400;
  /// Stores send several reports within this time; the runs of a store that is silent for longer are lost.
  Duration silence_timeout = fromMillis(1000);
  /// An order that the store does not report as running after this long counts as lost.
  Duration order_timeout = fromMillis(700);
  /// A store that fell silent or is unreachable gets no orders for this long.
  Duration avoidance_time = fromMillis(3000);
  /// Interval of the heartbeats to stores that run items.
  Duration lease_interval = fromMillis(250);
  /// A new leader announces itself to all stores for `announcement_time`, once per `announce_interval`, so that they
  /// offer it their runs.
  Duration announcement_time = fromMillis(1500);
  Duration announce_interval = fromMillis(50);
  /// Interval of later announcements, for stores that were unreachable and have answers to report.
  Duration reminder_interval = fromMillis(1000);
};

/// The contents of a report, checked against the orders of this leader.
struct CheckedReport {
  std::vector<fleet::RunNews> news;
  /// News of runs that are no longer in this table, or that follow a lost report.
  std::vector<fleet::RunNews> ignored;
  /// Orders that did not reach the store, and runs of which a report was lost.
  std::vector<std::uint64_t> lost;
};

/// Contents of a lease, by run number.
struct LeaseContent {
  /// Runs that the store has to abort.
  std::vector<std::uint64_t> stopped;
  /// Runs of which the group has stored the answer.
  std::vector<std::uint64_t> kept_answers;
  std::vector<fleet::TextRequest> wanted_texts;
  /// Ended runs of which the group has listed the result.
  std::vector<std::uint64_t> listed;
};

/// The leader's table of the runs that it has ordered: at which store each is in flight, and which are lost. No I/O, no
/// clock. Not thread-safe.
///
/// Invariant: the news of a run are returned in order and without a gap, or the run counts as lost.
class RunTable {
 public:
  RunTable(ReplicaId self, RunTableLimits limits) : self_(std::move(self)), limits_(limits) {}

  /// Starts a leadership with an empty table. The numbers of its runs differ from all earlier ones.
  void startTerm(Instant now, std::uint64_t term);
  /// Sets the stores that may run items, by zone; may or may not include this store.
  void setRunners(std::map<ReplicaId, ZoneId> runners);
  const std::map<ReplicaId, ZoneId>& runners() const { return runners_; }
  /// Chooses the store for the next run, whose engine is in `zone`: this store while few runs are in flight in total;
  /// else the store with the fewest runs, preferably in that zone, so that the stream crosses zones once and not twice.
  /// Empty if all stores are full.
  std::optional<ReplicaId> chooseRunner(Instant now, const ZoneId& zone) const;
  /// True if a store, of any zone, may run one more item.
  bool hasRunner(Instant now) const { return chooseRunner(now, ZoneId()).has_value(); }
  /// Adds a run that is ordered from `runner`; returns its number.
  std::uint64_t begin(Instant now, const ReplicaId& runner);
  /// Adds a run that an earlier leader ordered; its next news have the number `sequence` + 1.
  void adopt(Instant now, const ReplicaId& runner, std::uint64_t number, std::uint64_t sequence);
  /// Stops a run that is not in this table, with the next lease to its store.
  void refuse(const ReplicaId& runner, std::uint64_t number) { next_leases_[runner].stopped.push_back(number); }
  /// Confirms to the store, with the next lease, that the group has stored the answer of that run.
  void acknowledgeAnswer(const ReplicaId& runner, std::uint64_t number) {
    next_leases_[runner].kept_answers.push_back(number);
  }
  /// Asks the store, with the next lease, for the text of a run.
  void requestText(const ReplicaId& runner, fleet::TextRequest request) {
    next_leases_[runner].wanted_texts.push_back(request);
  }
  /// Tells the store, with the next periodic lease, that it need not retain the ended run for another leader.
  void noteListed(const ReplicaId& runner, std::uint64_t number) { listed_[runner].push_back(number); }
  /// Sets the number of the last news of a run, whose text was received apart from reports.
  void setSequence(std::uint64_t number, std::uint64_t sequence);
  /// Stamp of the newest report of the store in this term; zero without any.
  std::int64_t reportStampOf(const ReplicaId& runner) const;
  /// Removes a run that has ended.
  void remove(std::uint64_t number) { forget(number); }
  /// Excludes an unreachable store from new runs for a while.
  void avoid(Instant now, const ReplicaId& runner);
  /// Checks a report against the table, and updates the table from it.
  CheckedReport check(Instant now, const fleet::RunReport& report);
  /// Removes and returns the runs at stores that have fallen silent.
  std::vector<std::uint64_t> takeLost(Instant now);
  /// Removes a run that is no longer needed; its store receives the stop with the next lease.
  void stop(std::uint64_t number);
  /// Returns the leases that are due: heartbeats for the stores that run items, and stops and confirmations, which are
  /// due at once. Empty between intervals if there are none.
  std::map<ReplicaId, LeaseContent> takeLeases(Instant now);
  /// Ends a leadership; the runs continue at their stores for the next leader.
  void clear();

  std::size_t running() const { return runs_.size(); }
  std::size_t runningAt(const ReplicaId& runner) const;

 private:
  struct Run {
    ReplicaId runner;
    Instant ordered_at{};
    std::uint64_t sequence = 0;
  };
  struct Runner {
    std::set<std::uint64_t> runs;
    /// Time of its last report, or of its first order after it had no runs.
    Instant last_report_at{};
  };

  void forget(std::uint64_t number);
  bool isAvoided(Instant now, const ReplicaId& runner) const;
  /// Returns the store with the fewest runs if these are fewer than `limit`, of one zone or, if `zone` is null, of all.
  std::optional<ReplicaId> storeWithFewestRuns(Instant now, const ZoneId* zone, std::size_t limit) const;

  ReplicaId self_;
  RunTableLimits limits_;
  std::map<ReplicaId, ZoneId> runners_;
  std::map<std::uint64_t, Run> runs_;
  /// Runs by store; a store without runs has no entry.
  std::map<ReplicaId, Runner> stores_;
  std::map<ReplicaId, Instant> avoided_until_;
  std::map<ReplicaId, std::int64_t> report_stamps_;
  /// Contents of the next leases.
  std::map<ReplicaId, LeaseContent> next_leases_;
  /// Ended runs with listed results, for the next periodic leases.
  std::map<ReplicaId, std::vector<std::uint64_t>> listed_;
  std::uint64_t last_number_ = 0;
  Instant next_lease_{};
  Instant announced_until_{};
  Instant next_reminder_ = Instant::max();
};

}  // namespace hatchfork::store
