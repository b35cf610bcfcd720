#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/fleet/crash_watch.hpp"
#include "process/fleet/feed_client.hpp"
#include "process/store/job_state.hpp"
#include "process/store/run_board.hpp"
#include "request/access/allowed_zones.hpp"
#include "request/admission/batch_trough.hpp"
#include "request/admission/fair_share.hpp"
#include "request/admission/load_features.hpp"
#include "request/admission/yield_choice.hpp"
#include "request/batch/due_order.hpp"
#include "request/batch/run_time_model.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/weighted_split.hpp"
#include "version/dialect.hpp"

namespace hatchfork::store {

struct JobExecutorOptions {
  ReplicaId self;
  ZoneId zone;
  request::ZoneRegions regions;
  std::uint64_t seed = 1;
  request::LoadFeatures load;
  /// Most items in flight at once at one store.
  std::size_t most_running = 400;
  /// Gateways find a new leader and tell it their load within this time; it starts no run before.
  Duration loads_known_after = fromMillis(300);
};

struct JobExecutorCounters {
  std::uint64_t attempts = 0;
  std::uint64_t completed = 0;
  std::uint64_t errored = 0;
  std::uint64_t broken = 0;
  std::uint64_t yielded = 0;
  /// Failed runs that were counted for their items.
  std::uint64_t failures_kept = 0;
};

/// Decides, while this process leads the store group, which items of the open jobs run, at which engine, and which
/// store runs them; joins the events of an item's runs to its text, and proposes results. All that it knows of items
/// in flight is soft: a new leader goes on from the progress that the group keeps. Belongs to one thread.
///
/// Invariants: an item is in flight at one engine at most, as far as reports tell; its text is each event's data
/// exactly once, a later run being asked to go on after the last event that was taken; a result is proposed only for a
/// whole text, or for an item that may be given up; an item whose last run failed is ordered again only once the group
/// keeps that failure.
class JobExecutor {
 public:
  /// Replicates a command; calls back with true once it is applied.
  using ProposeFunction = std::function<void(JobCommand command, std::function<void(bool applied)> done)>;

  /// Sends an order or a lease to a store, this one included; false if it surely did not go out.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::FleetMessage& message)>;

  JobExecutor(JobExecutorOptions options, const Dialect& dialect, ProposeFunction propose, SendFunction send,
              fleet::CrashWatch& crashes);
  ~JobExecutor();

  void setState(const JobState& state) { state_ = &state; }
  void takeView(const fleet::FleetView& view, const fleet::FleetChange& change);
  /// Starts or stops to run items, with the term of the leadership.
  void setLeading(bool leading, std::uint64_t term);
  /// A job has come, changed or ended.
  void noteChange(const JobId& job);
  /// What a store has to tell of the runs that it was ordered.
  void take(const fleet::RunReport& report);
  /// What a store runs for earlier leaders: open items go on there, anything else is stopped.
  void take(const fleet::RunOffer& offer);
  /// An online request wants the slot of a run at this engine: one gives way at once.
  void giveWay(const EngineId& engine);
  /// Drives retries, leases and retention; call several times a second.
  void tick(Instant now);

  bool isLeading() const { return leading_; }
  /// Term of the last leadership that was announced here.
  std::uint64_t term() const { return term_; }
  /// What the runs here have in flight, and what all gateways have.
  std::vector<request::EngineShare> ownShares(Instant now) { return selector_.ownShares(now); }
  void notePeerLoads(Instant now, const std::vector<request::EngineShare>& others);
  const JobExecutorCounters& counters() const { return counters_; }
  bool knowsEngine(const EngineId& engine) const { return selector_.knows(engine); }
  bool isServing(const EngineId& engine) const { return selector_.isServing(engine); }
  std::size_t running() const { return runs_.size(); }
  std::size_t waiting() const { return queue_.size() + held_.size(); }
  const request::BatchTrough& trough() const { return trough_; }
  const std::set<ServiceId>& batchServices() const { return batch_services_; }
  Duration wholeRunTime() const { return run_times_.wholeTime(); }

 private:
  static constexpr Duration kYieldInterval = fromMillis(50);
  /// How often the waiting items are put in order.
  static constexpr Duration kOrderInterval = fromMillis(100);
  /// An order to a store and a cancelled request take this long.
  static constexpr Duration kGiveWayTime = fromMillis(10);
  /// An item that is open, as far as it has got.
  struct ItemRun {
    JobId job;
    std::string item;
    std::string text;
    bool has_text = false;
    std::optional<std::uint64_t> last_event;
    /// The last run ended there by a close that proves nothing.
    bool after_close = false;
    /// How much of the text is kept by the group: up to which event, and how many bytes.
    std::uint64_t saved_event = 0;
    std::size_t saved_bytes = 0;
    Instant next_save{};
    /// The run that reported that, and the name of the run that is in flight or ended last: its text goes on from the
    /// runs before it.
    std::uint64_t saved_chain = 0;
    std::uint64_t chain = 0;
    /// The group keeps progress of another chain: this one is listed with its whole text.
    bool diverged = false;
    /// Runs that failed, as the group keeps them.
    std::uint32_t failures = 0;
    /// Failures of it that are being proposed; it is not ordered before they are kept.
    std::size_t pending_failures = 0;
    std::uint32_t attempts = 0;
    Instant not_before{};
    /// When the result is due, and what the item's order is decided by.
    Instant due = Instant::max();
    request::DueItem order{};
    TenantId tenant;
    ServiceId service;
    /// How little slack it has, or one behind it.
    double pressing = 0;
    /// Its place between tenants, where room is short, and its tenant's turn once it runs.
    double turn = 0;
    request::Turn share;
    Instant begun_at{};
    bool running = false;
    /// Earlier leaders may have run it, with answers that are not kept yet.
    bool is_inherited = false;
    /// Its outcome is being proposed.
    bool has_outcome = false;
    /// Events that all runs have brought, and when this run brought its first one and how many there were then.
    std::uint64_t events = 0;
    Instant first_event_at{};
    std::uint64_t events_before = 0;
    EngineId engine;
    /// Its content, and whether this run was told to the others since engines ended under it.
    request::RequestFingerprint content;
    bool is_suspect = false;
    bool stopped = false;
    /// Names the run in flight in reports.
    std::uint64_t number = 0;
    request::TicketId ticket = 0;
  };
  using ItemPtr = std::shared_ptr<ItemRun>;
  using RunEnd = fleet::RunEnd;
  /// Progress that is being proposed.
  struct ProposedProgress {
    ItemPtr run;
    std::uint64_t chain = 0;
    std::uint64_t last_event = 0;
  };
  /// A failed run that is being proposed, and its item.
  struct ProposedFailure {
    ItemPtr run;
    std::uint64_t number = 0;
  };
  /// A result that is being proposed, and the item it came from.
  struct ProposedResult {
    JobResult result;
    ItemPtr run;
  };

  void stopLeading();
  void enqueueOpenItems(const StoredJob& job);
  void stopItems(const JobId& job);
  void pump();
  /// Runs in flight that a new leader allows itself; grows until it is of no matter.
  std::size_t mostRunsNow(Instant now) const;
  /// False if nothing can be started now.
  bool startNext(Instant now);
  /// An engine for the item, apart from other suspects where engines ended under it. Nothing if it can't start now;
  /// then it may be held.
  std::optional<request::EngineChoice> chooseEngine(Instant now, const ItemPtr& run, const StoredJob& job,
                                                    request::EngineQuery& query);
  /// Takes an item out of the queue until it may run: engines ended under it.
  void hold(const ItemPtr& run, Instant until);
  /// Puts items back whose time has come.
  void releaseHeld(Instant now);
  request::EngineQuery queryOf(const ItemRun& run, const StoredJob& job, const Route& route);
  /// When the job's results are due.
  Instant dueTimeOf(Instant now, const StoredJob& job);
  request::DueItem dueItemOf(const ItemRun& run) const;
  double urgencyOf(Instant now, const ItemRun& run) const;
  /// Puts the waiting items in the order in which they are to run.
  void orderQueue(Instant now);
  void notePace(Instant now, const ItemRun& run);
  /// Learns how many events items have from results that the group keeps.
  void learnFromResults();
  /// What the order of items and their places is decided by is kept up to date.
  bool plansTrough() const;
  bool sharesFairly() const;
  void findBatchServices();
  void planTrough(Instant now);
  void orderByShare(Instant now);
  std::optional<request::RunInFlight> flightOf(const ItemRun& run) const;
  /// False if the item is to wait for room that lasts; else the query asks for engines of the zone that has it.
  bool fitsTrough(Instant now, const ItemRun& run, request::EngineQuery& query, request::TroughVerdict& verdict);
  void logWaiting(Instant now, const ItemRun& run, const request::EngineQuery& query,
                  const request::TroughVerdict& verdict);
  /// How many runs each crowded engine should lose now.
  std::map<EngineId, double> runsTooMany(Instant now);
  /// Which of the runs gives way; null if each of them ends in time by itself.
  ItemPtr runToYield(Instant now, const std::vector<ItemPtr>& runs, Duration needed_within);
  void startRun(Instant now, const ItemPtr& run, const StoredJob& job, const request::EngineChoice& choice,
                const request::EngineQuery& query, const request::TroughVerdict& verdict);
  /// Whether each store has told what it has run for earlier leaders, or has had the time to.
  bool hasHeardStores(Instant now) const;
  /// The item of an offered run, if it is open and nothing is in flight for it.
  ItemPtr itemWanting(const fleet::OfferedRun& offered) const;
  void adoptRun(Instant now, const ReplicaId& runner, const ItemPtr& run, const fleet::OfferedRun& offered);
  void takeNews(const ItemPtr& run, const fleet::RunNews& news);
  /// The run is over, as far as this process knows.
  void endRun(const ItemPtr& run, RunEnd end, request::EngineVerdict verdict, const std::string& cause);
  /// Runs whose store has fallen silent or lost the order.
  void breakRuns(const std::vector<std::uint64_t>& numbers);
  /// Nobody wants the run any more.
  void abandonRun(ItemRun& run);
  void sendLeases(Instant now);
  void finishRun(const ItemPtr& run, RunEnd end, const std::string& cause);
  void finishItem(const ItemPtr& run, ItemOutcome outcome);
  JobResult resultOf(const ItemRun& run, ItemOutcome outcome, bool whole_text) const;
  /// Proposes results again that were passed over, with their whole text.
  void listAgain(const std::vector<ProposedResult>& proposed);
  /// Lets the group keep how far the running items have got.
  void saveProgress(Instant now);
  /// What an engine answered in some run, this leader's or an earlier one's, ended or written off.
  void takeAnswer(const ReplicaId& runner, const fleet::ItemAnswer& answer);
  /// The item, if it may still get a result.
  ItemPtr openItem(const JobId& job, const std::string& item) const;
  /// The item can never be done: whatever runs or waits of it ends.
  void failForGood(const ItemPtr& run);
  /// Has the group count a failed run, once.
  void countFailure(const ItemPtr& run, std::uint64_t number);
  void proposeFailures();
  /// After its failure is kept: runs again, or its attempts are used.
  void settleFailure(const ProposedFailure& failure);
  void removeFromQueue(const ItemPtr& run);
  void loadSavedProgress(ItemRun& run) const;
  /// `chain` and `last_event`: what was proposed to be kept.
  void noteSavedProgress(ItemRun& run, std::uint64_t chain, std::uint64_t last_event) const;
  void yieldRun(const ItemPtr& run, const std::string& cause);
  /// Breaks off runs at engines that hold more requests than slots; they go on later after their last event.
  void yieldSlots(Instant now);
  void giveUpExpired(Instant now);
  void dropOldJobs();
  /// One proposal at a time, so that what ends meanwhile shares the next one; several where whole entries wait.
  void proposeResults();
  bool mayProposeResults() const;
  void proposeNextResults();
  /// Takes the oldest results, as many as one proposal may list.
  std::vector<ProposedResult> takeNextResults();
  void proposeRefusedResults();
  const StoredJob* openJob(const ItemRun& run) const;
  const Route* routeOf(const StoredJob& job) const;

  JobExecutorOptions options_;
  const Dialect& dialect_;
  ProposeFunction propose_;
  SendFunction send_;
  fleet::CrashWatch& crashes_;
  RunBoard board_;
  request::EngineSelector selector_;
  request::WeightedSplit split_;
  const JobState* state_ = nullptr;
  std::shared_ptr<const RouteTable> routes_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  std::map<JobId, std::map<std::string, ItemPtr>> items_;
  /// In the order of the last `orderQueue`; what came since stands at its end.
  std::deque<ItemPtr> queue_;
  /// Items under which engines ended, apart from the queue, so that they are in nobody's way.
  std::vector<ItemPtr> held_;
  Instant next_order_{};
  /// A new leader starts no run before.
  Instant starts_from_{};
  /// Stores that have reported to this leadership.
  std::set<ReplicaId> heard_stores_;
  /// Runs that it took up from earlier leaders.
  std::size_t adopted_ = 0;
  request::RunTimeModel run_times_;
  std::set<ServiceId> batch_services_;
  request::BatchTrough trough_;
  request::FairShare shares_;
  Instant trough_noted_at_{};
  Instant next_plan_{};
  Instant next_wait_log_{};
  /// Items in flight, by the number of their run.
  std::map<std::uint64_t, ItemPtr> runs_;
  /// Failures that wait to be proposed, and those that are.
  std::vector<ProposedFailure> failures_;
  std::set<std::uint64_t> pending_failures_;
  bool proposing_failures_ = false;
  std::vector<ProposedResult> results_;
  /// Those whose proposals were refused; they are proposed again from the next tick on.
  std::vector<ProposedResult> refused_results_;
  std::size_t proposals_running_ = 0;
  bool saving_ = false;
  /// The run whose progress was looked at last, to be saved.
  std::uint64_t last_saved_run_ = 0;
  std::mt19937_64 chains_;
  std::map<JobId, Instant> route_missing_since_;
  Instant next_cleanup_{};
  Instant next_yield_{};
  JobExecutorCounters counters_;
  /// Callbacks of proposals outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hatchfork::store
