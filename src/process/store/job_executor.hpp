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
#include <string_view>
#include <vector>

#include "process/fleet/crash_watch.hpp"
#include "process/fleet/feed_client.hpp"
#include "process/store/item_run.hpp"
#include "process/store/job_routes.hpp"
#include "process/store/job_state.hpp"
#include "process/store/run_table.hpp"
#include "process/store/start_pass.hpp"
#include "process/store/text_requests.hpp"
#include "process/store/waiting_queue.hpp"
#include "request/access/allowed_zones.hpp"
#include "request/admission/fair_share.hpp"
#include "request/admission/load_features.hpp"
#include "request/admission/preemption_choice.hpp"
#include "request/admission/trough_scheduler.hpp"
#include "request/batch/due_order.hpp"
#include "request/batch/restart_pacer.hpp"
#include "request/batch/run_time_model.hpp"
#include "request/crash/trial_leases.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/weighted_split.hpp"
#include "version/dialect.hpp"

namespace hatchfork::store {

/// Settings of a `JobExecutor`.
struct JobExecutorOptions {
  ReplicaId self;
  ZoneId zone;
  request::ZoneRegions regions;
  /// Seed of all random choices.
  std::uint64_t seed = 1;
  request::LoadFeatures load;
  /// Maximum number of items in flight at one store.
  std::size_t max_running = 400;
  /// A new leader starts no run before this time has passed, within which gateways find it and report their load.
  Duration start_delay = fromMillis(300);
};

/// Event counters over all leaderships of this process.
struct JobExecutorCounters {
  std::uint64_t attempts = 0;
  std::uint64_t completed = 0;
  std::uint64_t errored = 0;
  std::uint64_t broken = 0;
  /// Texts that were dropped, since no engine of the build that wrote them is left.
  std::uint64_t texts_dropped = 0;
  std::uint64_t preempted = 0;
  /// Number of failed runs that were counted against their items.
  std::uint64_t failures_stored = 0;
};

/// Schedules batch items while this process leads the store group: decides which items of the open jobs run, at which
/// engine, and which store runs them; joins the events of an item's runs to its text, and proposes results. The state
/// of items in flight is soft: a new leader resumes from the progress that the group has stored. Not thread-safe.
///
/// Invariants: an item is in flight at one engine at most, as far as reports show; its text contains each event's data
/// exactly once, since a later run resumes after the last event that was received; a result is proposed only for a
/// whole text, or for an item that may be given up; an item whose last run failed is ordered again only after the group
/// has stored that failure.
class JobExecutor {
 public:
  /// Replicates a command; calls `done` with true once it is applied, with false if it was refused.
  using ProposeFunction = std::function<void(JobCommand command, std::function<void(bool applied)> done)>;

  /// Sends an order or a lease to a store, which may be this one; false if it was certainly not sent.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::FleetMessage& message)>;

  JobExecutor(JobExecutorOptions options, const Dialect& dialect, ProposeFunction propose, SendFunction send,
              fleet::CrashWatch& crashes);
  ~JobExecutor();

  /// Sets the group's state, which must outlive its use here.
  void setState(const JobState& state) { state_ = &state; }
  /// Takes the view of the fleet; call it for each proof that the view is the newest, also where nothing has changed.
  void takeView(Instant now, const fleet::FleetView& view, const fleet::FleetChange& change);
  /// Tells that each store is of a release that keeps the ends of jobs that the group does not have.
  void noteStoresKeepEnds(bool keep) { stores_keep_ends_ = keep; }
  /// Starts or stops running items, with the term of the leadership.
  void setLeading(bool leading, std::uint64_t term);
  /// Notifies the executor that a job was submitted, changed or ended.
  void noteChange(const JobId& job);
  /// Takes a store's report on the runs that were ordered from it.
  void take(const fleet::RunReport& report);
  /// Takes a store's offer of runs for earlier leaders: runs of open items are adopted, all others are stopped.
  void take(const fleet::RunOffer& offer);
  /// Takes the summaries that stores send instead of an offer; the texts of adopted runs are requested afterwards.
  void take(const fleet::RunSummaries& summaries);
  /// Takes texts of adopted runs that this leader has requested.
  void take(const fleet::RunTexts& texts);
  /// Sets what schedules the next call of `startWaiting`, so that many reports and changes share one pass over the
  /// queue. Without it items start within the call that made room for them.
  void setStartScheduler(std::function<void()> schedule_start) { schedule_start_ = std::move(schedule_start); }
  /// Starts the waiting items that there is room for.
  void startWaiting();
  /// Preempts one run at this engine at once, because an online request needs its slot.
  void preemptAt(const EngineId& engine);
  /// Performs retries, preemptions, lease renewals and retention; call several times a second.
  void tick(Instant now);

  /// Decides, at the leader, on the lease to run once a request that is likely to crash its engine. Returns zero if
  /// `holder` has it now, else the time after which it may be free.
  Duration requestTrial(Instant now, const request::RequestFingerprint& content, const std::string& holder);
  /// Ends the lease of a run that was never sent to an engine.
  void endUnusedTrial(const request::RequestFingerprint& content, const std::string& holder);

  /// Tells that a quorum has confirmed the leadership at `now`. A leader that is not confirmed orders nothing after a
  /// while, since another one may have ended jobs.
  void noteConfirmed(Instant now) { confirmed_at_ = now; }

  bool isLeading() const { return leading_; }
  /// Returns the term of the last call of `setLeading`.
  std::uint64_t term() const { return term_; }
  /// Returns the load by engine of the runs that this executor has in flight.
  std::vector<request::EngineShare> ownShares(Instant now) { return selector_.ownShares(now); }
  /// Sets the load that all gateways have in flight.
  void notePeerLoads(Instant now, const std::vector<request::EngineShare>& others);
  const JobExecutorCounters& counters() const { return counters_; }
  bool knowsEngine(const EngineId& engine) const { return selector_.knows(engine); }
  bool isServing(const EngineId& engine) const { return selector_.isServing(engine); }
  std::size_t running() const { return runs_.size(); }
  std::size_t waiting() const { return queue_.size() + undecided_.size(); }
  const request::TroughScheduler& trough() const { return trough_; }
  const std::set<ServiceId>& batchServices() const { return batch_services_; }
  Duration estimatedRunTime() const { return run_times_.totalRunTime(); }

 private:
  static constexpr Duration kPreemptionInterval = fromMillis(50);
  /// Interval at which the queue is sorted.
  static constexpr Duration kOrderInterval = fromMillis(100);
  /// Time that an order to a store and the cancellation of its request take.
  static constexpr Duration kPreemptionTime = fromMillis(10);
  using ItemPtr = std::shared_ptr<ItemRun>;
  using RunEnd = fleet::RunEnd;
  /// The beginning of an item's text that the group has stored; all zero if it has stored none.
  struct StoredStart {
    std::uint64_t event = 0;
    std::uint64_t chain = 0;
    std::size_t bytes = 0;
  };
  /// A failed run that is being proposed, and its item.
  struct ProposedFailure {
    ItemPtr run;
    std::uint64_t number = 0;
  };
  /// The newest end that the group kept at a time.
  struct NewestEnd {
    Instant seen_at{};
    consensus::LogIndex newest = 0;
  };
  /// A result that is being proposed, and the item it came from.
  struct ProposedResult {
    JobResult result;
    ItemPtr run;
  };

  void stopLeading();
  void enqueueOpenItems(const StoredJob& job);
  /// Sets what the order of a job's items follows from its route; leaves it as it is while the route is not known.
  void applyRoute(Instant now, const StoredJob& job);
  void stopItems(const JobId& job);
  void pump();
  /// Calls `pump` now, or has it called by `startWaiting` soon.
  void pumpSoon();
  /// Returns the maximum number of runs in flight, which increases during the slow start of a new leader and is
  /// unlimited afterwards.
  std::size_t maxRunsNow(Instant now) const;
  /// Starts the item at which the pass stands, takes it out of the queue if it must not run now, or tells the pass what
  /// holds it up.
  void startOrHold(Instant now, const ItemPtr& run, StartPass& pass, FullEngines& full);
  /// Starts the item if an engine of its query has room; else returns false.
  bool startAtEngine(Instant now, const ItemPtr& run, const StoredJob& job, const request::EngineQuery& query,
                     const request::TroughVerdict& verdict, FullEngines& full);
  /// Returns the lane of the job's items.
  std::uint32_t laneOf(const StoredJob& job, const Route& route);
  /// Chooses an engine with room, if possible not one at which a request runs that is likely to crash it.
  std::optional<request::EngineChoice> chooseEngine(Instant now, const request::EngineQuery& query);
  /// Time until a trial lease of the subject can be granted to `holder`.
  Duration timeUntilTrial(Instant now, const request::RequestFingerprint& subject, const std::string& holder);
  /// Moves the item out of the queue, since the routes in force allow it neither to run nor to be given up.
  void holdUndecided(const ItemPtr& run, std::string_view cause);
  request::EngineQuery queryOf(const ItemRun& run, const StoredJob& job, const Route& route);
  /// True if only engines of the build that wrote the item's text may continue it.
  bool isBoundToBuild(const ItemRun& run, const ServiceId& service) const;
  /// Drops the text of an item that no engine can continue, so that the item starts from the beginning.
  void dropOrphanedText(ItemRun& run, const ServiceId& service);
  /// Records that the engines of the item's build have no room. Drops the text after a while, since engines of other
  /// builds may have room.
  void noteFullBuild(Instant now, ItemRun& run);
  /// True if the starts of the item are paced, since its last run broke off at its engine before an event.
  static bool isPaced(const ItemRun& run) { return run.breaks_in_series > 0; }
  /// Counts a run that broke off at its engine, unless events came before.
  void noteBreak(Instant now, ItemRun& run);
  /// Drops an item's text, whose beginning the group may have stored, and logs why.
  void discardText(ItemRun& run, std::string_view cause);
  static void dropText(ItemRun& run);
  /// Returns the time at which the job's results are due.
  Instant dueTimeOf(Instant now, const StoredJob& job, const Route& route);
  request::DueItem dueItemOf(const ItemRun& run) const;
  double urgencyOf(Instant now, const ItemRun& run) const;
  /// Sorts the queue by the order in which items should run, at most once per `kOrderInterval`.
  void orderQueue(Instant now);
  void notePace(Instant now, const ItemRun& run);
  /// Estimates the number of events of an item from the results that the group has stored.
  void learnFromResults();
  /// True if load history is recorded and start times are planned. A trough is the part of a load cycle (periodic
  /// load) in which online requests leave engine slots free.
  bool plansTrough() const;
  bool sharesFairly() const;
  void findBatchServices();
  void planTrough(Instant now);
  void orderByShare(Instant now);
  std::optional<request::RunInFlight> runInFlightOf(const ItemRun& run) const;
  /// False if the item should wait for capacity that remains free for long enough; otherwise restricts the query to the
  /// zone that has such capacity.
  bool fitsTrough(Instant now, const ItemRun& run, request::EngineQuery& query, request::TroughVerdict& verdict);
  void logWaiting(Instant now, const ItemRun& run, const request::EngineQuery& query,
                  const request::TroughVerdict& verdict);
  /// Logs, once a second for each service, that no engine of the query has room.
  void logLacking(Instant now, const request::EngineQuery& query);
  /// Returns the number of runs to preempt at each overloaded engine.
  std::map<EngineId, double> excessRuns(Instant now);
  /// Chooses the run to preempt; null if each of them ends by itself within `needed_within`.
  ItemPtr runToPreempt(Instant now, const std::vector<ItemPtr>& runs, Duration needed_within);
  void startRun(Instant now, const ItemPtr& run, const StoredJob& job, const request::EngineChoice& choice,
                const request::EngineQuery& query, const request::TroughVerdict& verdict);
  /// True if each store has reported its answers to runs of earlier leaders, or the time limit for that has passed.
  bool haveStoresReported(Instant now) const;
  /// Returns the item of an offered run if it is open and has no run in flight, else null.
  ItemPtr itemForOffer(const JobId& job, const std::string& item) const;
  void adoptRun(Instant now, const ReplicaId& runner, const ItemPtr& run, const fleet::OfferedRun& offered);
  /// Adopts a run whose text is requested later. Until then the item has the text that the group has stored.
  /// `compares_texts`: see `RunSummaries`.
  void adoptSummary(Instant now, const ReplicaId& runner, const ItemPtr& run, const fleet::RunSummary& summary,
                    bool compares_texts);
  /// Records the item as running in an adopted run.
  void noteAdopted(Instant now, const ItemPtr& run, std::uint64_t number, const EngineId& engine,
                   const EngineBuild& build);
  /// Removes items that are in flight or have an outcome from the queues.
  void removeStartedItems();
  /// Requests the next texts of adopted runs, as many as may be under way at once.
  void requestTexts(Instant now);
  void takeText(const ItemPtr& run, const fleet::RunText& text);
  void takeNews(const ItemPtr& run, const fleet::RunNews& news);
  /// Ends a run at this leader, and decides on the next step of its item.
  void endRun(const ItemPtr& run, RunEnd end, request::EngineVerdict verdict, const std::string& cause);
  /// Ends runs whose store has fallen silent or lost the order, and schedules their items again.
  void breakRuns(const std::vector<std::uint64_t>& numbers);
  /// Stops a run whose result is no longer needed, without effect on its item.
  void abandonRun(ItemRun& run);
  void sendLeases(Instant now);
  void finishRun(const ItemPtr& run, RunEnd end, const std::string& cause);
  void finishItem(const ItemPtr& run, ItemOutcome outcome);
  JobResult resultOf(const ItemRun& run, ItemOutcome outcome, bool whole_text) const;
  /// Proposes results that the state skipped again, with their whole text.
  void proposeSkippedAgain(const std::vector<ProposedResult>& proposed);
  /// Tells the stores which ended runs they need not retain, since the group has listed the results.
  void noteListed(const std::vector<ProposedResult>& proposed);
  /// Proposes the progress of running items, so that the group stores it.
  void saveProgress(Instant now);
  /// Takes an engine's answer to a run of this or an earlier leader, which may have been given up as lost.
  void takeAnswer(const ReplicaId& runner, const fleet::ItemAnswer& answer);
  /// Returns the item if it may still get a result, else null.
  ItemPtr openItem(const JobId& job, const std::string& item) const;
  /// Lists the item as errored and stops its run.
  void failPermanently(const ItemPtr& run);
  /// Proposes a failed run to be counted by the group; each run once.
  void countFailure(const ItemPtr& run, std::uint64_t number);
  void proposeFailures();
  /// Schedules the item again after its failure was stored, or lists it as errored if its attempts are used up.
  void settleFailure(const ProposedFailure& failure);
  /// True if the item has failed as often as the route in force allows.
  static bool hasUsedAttempts(const ItemRun& run, const Route& route);
  /// Lists items as errored that were held because their attempts are used up, if the routes in force may decide that.
  void giveUpFailed(Instant now);
  void removeFromQueue(const ItemPtr& run);
  /// Removes the items that don't run from all queues for which `predicate` is true.
  template <class Predicate>
  void eraseWaiting(const Predicate& predicate);
  /// Sets the item to the progress that the group has stored, from which the next run resumes.
  void loadSavedProgress(ItemRun& run) const;
  /// Returns the text that the group has stored of the item, with its last event; null if it has stored none.
  const ItemRunProgress* storedProgress(const ItemRun& run) const;
  /// Returns what the group has stored if the item's text begins with it, else nothing: the text then can't be added to
  /// the stored one.
  std::optional<StoredStart> storedStart(const ItemRun& run) const;
  void preemptRun(const ItemPtr& run, const std::string& cause);
  /// True while the known loads may contain adopted runs as load of the previous leader, besides their own.
  bool mayCountRunsTwice(Instant now) const;
  /// Preempts runs at engines that have more requests than slots; they resume later after their last event.
  void preemptExcessRuns(Instant now);
  void giveUpExpired(Instant now);
  /// Returns why the open items of a job are to be given up now; empty if they are not.
  std::string_view giveUpCause(Instant now, const StoredJob& job);
  /// Lists an item that does not run as errored.
  void giveUp(const ItemPtr& run, std::string_view cause);
  void dropOldJobs(Instant now);
  /// Has the group keep the ends of jobs that it does not have, once all stores do so.
  void beginToKeepEnds();
  /// Returns the entry of the log up to which kept ends are old enough to be removed; zero if there are none.
  consensus::LogIndex oldEnds(Instant now);
  /// Proposes results one proposal at a time, so that runs that end meanwhile share the next one; several at a time
  /// only while results for whole entries are waiting.
  void proposeResults();
  bool mayProposeResults() const;
  void proposeNextResults();
  /// Removes and returns the oldest results, as many as one proposal may contain.
  std::vector<ProposedResult> takeNextResults();
  void proposeRefusedResults();
  const StoredJob* openJob(const ItemRun& run) const;

  JobExecutorOptions options_;
  const Dialect& dialect_;
  ProposeFunction propose_;
  SendFunction send_;
  std::function<void()> schedule_start_;
  bool start_scheduled_ = false;
  fleet::CrashWatch& crashes_;
  request::TrialLeases trials_;
  request::RestartPacer restarts_;
  RunTable run_table_;
  /// Texts of adopted runs that have not arrived yet.
  TextRequests text_requests_;
  request::EngineSelector selector_;
  request::WeightedSplit split_;
  const JobState* state_ = nullptr;
  JobRoutes routes_;
  /// Services of several builds; see `FleetView::mixed_services`.
  std::set<ServiceId> mixed_services_;
  bool stores_keep_ends_ = false;
  /// The entry that begins it is being proposed.
  bool beginning_to_keep_ends_ = false;
  /// When a quorum last confirmed a leadership; unset where nobody tells.
  std::optional<Instant> confirmed_at_;
  /// The newest kept end, at each time when it had changed; the oldest time first.
  std::deque<NewestEnd> kept_ends_seen_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  std::map<JobId, std::map<std::string, ItemPtr>> items_;
  WaitingQueue queue_;
  /// Items that the routes in force allow neither to run nor to be given up, held outside the queue so that they don't
  /// block other items. They return when the routes change.
  std::vector<ItemPtr> undecided_;
  Instant next_order_{};
  /// No run starts before this time after a change of leader.
  Instant starts_from_{};
  /// Stores that have reported to this leadership.
  std::set<ReplicaId> reported_stores_;
  /// Number of runs that this leadership adopted from earlier leaders.
  std::size_t adopted_ = 0;
  request::RunTimeModel run_times_;
  std::set<ServiceId> batch_services_;
  request::TroughScheduler trough_;
  request::FairShare shares_;
  Instant last_load_report_{};
  Instant next_plan_{};
  Instant next_wait_log_{};
  std::map<ServiceId, Instant> next_lacking_log_;
  /// Items in flight, by the number of their run.
  std::map<std::uint64_t, ItemPtr> runs_;
  /// Failures that wait to be proposed, and numbers of the failed runs that wait or are being proposed.
  std::vector<ProposedFailure> failures_;
  std::set<std::uint64_t> pending_failures_;
  bool proposing_failures_ = false;
  std::vector<ProposedResult> results_;
  /// Results whose proposals were refused; they are proposed again from a later tick.
  std::vector<ProposedResult> refused_results_;
  std::size_t proposals_running_ = 0;
  bool saving_ = false;
  /// Number of the run whose progress `saveProgress` examined last.
  std::uint64_t last_saved_run_ = 0;
  /// Generates the names of chains.
  std::mt19937_64 chains_;
  Instant next_cleanup_{};
  Instant next_preemption_{};
  JobExecutorCounters counters_;
  /// False once this object is destroyed; callbacks of proposals may outlive it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

template <class Predicate>
void JobExecutor::eraseWaiting(const Predicate& predicate) {
  queue_.removeIf(predicate);
  std::erase_if(undecided_, predicate);
}

}  // namespace hatchfork::store
