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

struct RunTableLimits {
  /// While there are fewer runs than this in all, the leader keeps them to itself: one process is woken, not many.
  std::size_t local_runs = 40;
  /// A store in the engine's zone is preferred while it has no more than this many times the mean, and these more.
  double most_above_mean = 1.5;
  std::size_t slack_above_mean = 4;
  /// Most runs of one store.
  std::size_t most_runs = 400;
  /// Reports come several times in this time; a store that is silent for longer has lost its runs.
  Duration silence = fromMillis(1000);
  /// An order that the store does not report as running after this long was lost.
  Duration order_lost_after = fromMillis(700);
  /// A store that fell silent gets no orders for this long.
  Duration avoided_for = fromMillis(3000);
  /// Interval of the signs of life to stores that run items.
  Duration lease_interval = fromMillis(250);
  /// A new leader tells all stores of itself for this long, so that they offer it what they run, and this often.
  Duration announced_for = fromMillis(1500);
  Duration announce_interval = fromMillis(50);
  /// Later it does so more seldom, for a store that was out of reach and has answers to tell.
  Duration reminder_interval = fromMillis(1000);
};

/// What a report says, checked against what was ordered.
struct CheckedReport {
  std::vector<fleet::RunNews> news;
  /// News of runs that this table does not hold any more, or that follow on a lost report.
  std::vector<fleet::RunNews> ignored;
  /// Orders that the store does not know, and runs of which a report was lost.
  std::vector<std::uint64_t> lost;
};

/// What a lease tells a store.
struct LeaseContent {
  std::vector<std::uint64_t> stopped;
  std::vector<std::uint64_t> kept_answers;
};

/// The leader's table of the runs that it has ordered: at which store each is in flight, and which are lost. No I/O, no
/// clock. Belongs to one thread.
///
/// Invariant: news of a run are passed on in their order without a gap, or the run counts as lost.
class RunTable {
 public:
  RunTable(ReplicaId self, RunTableLimits limits) : self_(std::move(self)), limits_(limits) {}

  /// A leadership begins: nothing is in flight as far as it knows. Numbers of runs differ from all earlier ones.
  void startTerm(Instant now, std::uint64_t term);
  /// Stores that may run items, this one included or not.
  void setRunners(std::map<ReplicaId, ZoneId> runners);
  const std::map<ReplicaId, ZoneId>& runners() const { return runners_; }
  /// Where the next run goes, whose engine is in `zone`: here while few are in flight in all; else to the store with
  /// the fewest, one in that zone before others, so that its stream crosses zones once and not twice. Nothing if all
  /// are full.
  std::optional<ReplicaId> chooseRunner(Instant now, const ZoneId& zone) const;
  /// Notes an order; returns its number.
  std::uint64_t begin(Instant now, const ReplicaId& runner);
  /// Takes up a run that an earlier leader ordered; its news go on after `sequence`.
  void adopt(Instant now, const ReplicaId& runner, std::uint64_t number, std::uint64_t sequence);
  /// Has the store break off a run that is not in this table.
  void refuse(const ReplicaId& runner, std::uint64_t number) { next_[runner].stopped.push_back(number); }
  /// Tells the store that the group keeps the answer of that run.
  void acknowledgeAnswer(const ReplicaId& runner, std::uint64_t number) {
    next_[runner].kept_answers.push_back(number);
  }
  /// The store can't be reached.
  void avoid(Instant now, const ReplicaId& runner);
  CheckedReport check(Instant now, const fleet::RunReport& report);
  /// Runs at stores that have fallen silent; they are forgotten here.
  std::vector<std::uint64_t> takeLost(Instant now);
  /// Nobody waits for this run any more; its store is told with the next lease.
  void stop(std::uint64_t number);
  /// A sign of life for each store that runs items or is to be told something; empty before the interval is over,
  /// unless there is something to tell.
  std::map<ReplicaId, LeaseContent> takeLeases(Instant now);
  /// The leadership is over: the stores go on for the next leader.
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
    /// When it last reported, or got its first order after it had none.
    Instant heard_at{};
  };

  void forget(std::uint64_t number);
  bool isAvoided(Instant now, const ReplicaId& runner) const;
  /// The store with the fewest runs, and fewer than `limit`; of one zone or, without one, of all.
  std::optional<ReplicaId> fewestRuns(Instant now, const ZoneId* zone, std::size_t limit) const;

  ReplicaId self_;
  RunTableLimits limits_;
  std::map<ReplicaId, ZoneId> runners_;
  std::map<std::uint64_t, Run> runs_;
  std::map<ReplicaId, Runner> at_;
  std::map<ReplicaId, Instant> avoided_until_;
  /// What the next leases say.
  std::map<ReplicaId, LeaseContent> next_;
  std::uint64_t last_number_ = 0;
  Instant next_lease_{};
  Instant announced_until_{};
  Instant next_reminder_ = Instant::max();
};

}  // namespace hatchfork::store
