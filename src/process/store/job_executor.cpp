#include "process/store/job_executor.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::store {

using connection::monotonicNow;
using request::EngineChoice;

namespace {

/// Slow start: the share of all slots by which a new leader increases its limit of runs each second. It has little
/// information on other load, and many callers retry at once after a failure of many processes.
constexpr double kSlowStartSharePerSecond = 0.2;
/// A new leader orders no item that earlier leaders may have run before each store has reported its answers, since each
/// new leader would otherwise send an already answered item again. It waits no longer than this for stores that are
/// down.
constexpr Duration kStoreReportTimeout = std::chrono::seconds(1);
/// Items are ordered for this long after a quorum has confirmed the leadership: longer than a busy leader is without
/// confirmation, shorter than the time within which the runs of an ended job must stop.
constexpr Duration kConfirmationLease = std::chrono::seconds(2);
/// Duration of the slow start.
constexpr Duration kSlowStart = std::chrono::seconds(3);
constexpr Duration kCleanupInterval = std::chrono::seconds(1);
/// Number of started runs after which the trough is planned again.
constexpr std::size_t kStartsBetweenPlans = 8;
/// Until a run has been observed, a whole run is estimated at the completion target divided by this.
constexpr int kGuessedRunsPerTarget = 4;
/// Maximum number of stored results from which a new leader estimates the length of items.
constexpr std::size_t kMaxResultsLearned = 100;

RunTableLimits runTableLimits(std::size_t max_runs) {
  RunTableLimits limits;
  limits.max_runs = max_runs;
  return limits;
}

}  // namespace

JobExecutor::JobExecutor(JobExecutorOptions options, const Dialect& dialect, ProposeFunction propose, SendFunction send,
                         fleet::CrashWatch& crashes)
    : options_(std::move(options)),
      dialect_(dialect),
      propose_(std::move(propose)),
      send_(std::move(send)),
      crashes_(crashes),
      run_table_(options_.self, runTableLimits(options_.max_running)),
      selector_(options_.seed),
      split_(options_.seed),
      chains_(options_.seed) {}

JobExecutor::~JobExecutor() {
  *alive_ = false;
}

/// Runs continue to their end at engines of evacuated zones; no new run starts there.
void JobExecutor::takeView(Instant now, const fleet::FleetView& view, const fleet::FleetChange& change) {
  routes_.noteProof(now);
  if (change.isEmpty()) return;
  if (change.routes) {
    routes_.setTable(view.routes);
    selector_.setServices(view.routes->services());
    findBatchServices();
    queue_.forgetLanes();
    for (const auto& [id, runs] : items_) {
      if (const StoredJob* job = state_->find(id)) applyRoute(now, *job);
    }
    for (const ItemPtr& run : undecided_) queue_.push(run);
    undecided_.clear();
  }
  if (change.directory) {
    std::map<ReplicaId, ZoneId> runners;
    for (const fleet::StoreAddress& store : view.stores) runners.emplace(store.address, store.zone);
    for (const ReplicaId& retiring : view.retiring) runners.erase(retiring);
    run_table_.setRunners(std::move(runners));
    selector_.setEvacuated(now, view.evacuated.zones);
    mixed_services_ = view.mixed_services;
  }
  selector_.takeEngines(now, change.engines);
  if (leading_) pumpSoon();
}

void JobExecutor::setLeading(bool leading, std::uint64_t term) {
  if (leading == leading_ && term == term_) return;
  if (leading_) stopLeading();
  leading_ = leading;
  term_ = term;
  if (!leading) return;
  const Instant now = monotonicNow();
  starts_from_ = now + options_.start_delay;
  trials_.start(now);
  adopted_ = 0;
  // The load history of an earlier leadership is outdated.
  trough_ = request::TroughScheduler();
  reported_stores_.clear();
  run_table_.startTerm(now, term);
  learnFromResults();
  for (const auto& [id, job] : state_->jobs()) enqueueOpenItems(job);
  const std::vector<ItemPtr>& waiting = queue_.items();
  for (const ItemPtr& run : waiting) run->is_inherited = true;
  const auto failing =
      std::count_if(waiting.begin(), waiting.end(), [](const ItemPtr& run) { return run->failures > 0; });
  logEvent(LogLevel::kInfo, "executor_started",
           {{"term", term},
            {"jobs", items_.size()},
            {"waiting", queue_.size()},
            {"items_with_failures", failing},
            {"version", routes_.version()}});
  beginToKeepEnds();
  sendLeases(now);
  pump();
}

/// Runs continue at their stores, which offer them to the next leader.
void JobExecutor::stopLeading() {
  logEvent(LogLevel::kInfo, "executor_stopped",
           {{"term", term_}, {"running", runs_.size()}, {"waiting", queue_.size()}});
  const Instant now = connection::monotonicNow();
  for (const auto& [number, run] : std::exchange(runs_, {})) {
    run->stopped = true;
    selector_.end(now, run->ticket, request::EngineVerdict::kNeutral);
  }
  items_.clear();
  queue_.clear();
  undecided_.clear();
  results_.clear();
  refused_results_.clear();
  failures_.clear();
  pending_failures_.clear();
  // Pending proposals belong to this leadership only; a later leadership of this store must not wait for them.
  proposals_running_ = 0;
  proposing_failures_ = false;
  saving_ = false;
  text_requests_.clear();
  kept_ends_seen_.clear();
  beginning_to_keep_ends_ = false;
  run_table_.clear();
  routes_.forgetAll();
}

void JobExecutor::noteChange(const JobId& id) {
  if (!leading_) return;
  const StoredJob* job = state_->find(id);
  if (job == nullptr || job->isFinished()) {
    stopItems(id);
    return;
  }
  if (!items_.contains(id)) enqueueOpenItems(*job);
  pumpSoon();
}

void JobExecutor::enqueueOpenItems(const StoredJob& job) {
  if (job.isFinished()) return;
  std::map<std::string, ItemPtr>& runs = items_[job.submission.id];
  for (const OpaqueItem& item : job.submission.items) {
    if (!job.open_items.contains(item.id) || runs.contains(item.id)) continue;
    auto run = std::make_shared<ItemRun>();
    run->job = job.submission.id;
    run->item = item.id;
    run->tenant = job.submission.tenant;
    loadSavedProgress(*run);
    runs.emplace(item.id, run);
    queue_.push(run);
  }
  applyRoute(monotonicNow(), job);
  next_order_ = Instant{};
}

void JobExecutor::applyRoute(Instant now, const StoredJob& job) {
  const Route* route = routes_.find(job);
  if (route == nullptr) return;
  const Instant due = dueTimeOf(now, job, *route);
  const ServiceId service = route->split.empty() ? ServiceId() : route->split.front().service;
  const std::uint32_t lane = laneOf(job, *route);
  for (const auto& [item, run] : items_[job.submission.id]) {
    run->due = due;
    run->service = service;
    run->lane = lane;
  }
  next_order_ = Instant{};
}

std::uint32_t JobExecutor::laneOf(const StoredJob& job, const Route& route) {
  LaneKey key;
  for (const WeightedService& part : route.split) key.services.push_back(part.service);
  key.zones = request::allowedZones(route, routes_.table()->tenants().find(job.submission.tenant), options_.regions);
  return queue_.laneOf(std::move(key));
}

void JobExecutor::stopItems(const JobId& job) {
  const auto found = items_.find(job);
  if (found == items_.end()) return;
  for (const auto& [item, run] : found->second) {
    run->stopped = true;
    if (run->running) abandonRun(*run);
  }
  items_.erase(found);
  routes_.forget(job);
  eraseWaiting([](const ItemPtr& run) { return run->stopped; });
  sendLeases(connection::monotonicNow());
}

void JobExecutor::tick(Instant now) {
  if (!leading_) return;
  beginToKeepEnds();
  breakRuns(run_table_.takeLost(now));
  breakRuns(text_requests_.overdue(now));
  preemptExcessRuns(now);
  proposeFailures();
  saveProgress(now);
  pump();
  sendLeases(now);
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  giveUpExpired(now);
  giveUpFailed(now);
  dropOldJobs(now);
}

void JobExecutor::pumpSoon() {
  if (!schedule_start_) {
    pump();
    return;
  }
  if (!std::exchange(start_scheduled_, true)) schedule_start_();
}

void JobExecutor::startWaiting() {
  start_scheduled_ = false;
  pump();
}

void JobExecutor::pump() {
  if (!leading_ || routes_.table() == nullptr) return;
  const Instant now = monotonicNow();
  if (now < starts_from_) return;
  if (confirmed_at_ && now > *confirmed_at_ + kConfirmationLease) return;
  orderQueue(now);
  planTrough(now);
  std::uint64_t attempts_planned = counters_.attempts;
  StartPass pass(queue_);
  FullEngines full;
  while (runs_.size() < maxRunsNow(now) && run_table_.hasRunner(now)) {
    const ItemPtr run = pass.next();
    if (!run) break;
    startOrHold(now, run, pass, full);
    // Started runs reduce the pressure on waiting items.
    if (counters_.attempts < attempts_planned + kStartsBetweenPlans) continue;
    attempts_planned = counters_.attempts;
    next_plan_ = now;
    planTrough(now);
  }
  queue_.compact();
}

const StoredJob* JobExecutor::openJob(const ItemRun& run) const {
  const StoredJob* job = state_->find(run.job);
  const bool open = job != nullptr && !job->ended && job->open_items.contains(run.item);
  return open ? job : nullptr;
}

Instant JobExecutor::dueTimeOf(Instant now, const StoredJob& job, const Route& route) {
  if (route.completion_target == Duration::zero()) return Instant::max();
  run_times_.setInitialEstimate(route.completion_target / kGuessedRunsPerTarget);
  const std::int64_t age_ms = std::max<std::int64_t>(0, connection::wallNow() - job.submission.submitted_at);
  return now + route.completion_target - fromMillis(age_ms);
}

request::DueItem JobExecutor::dueItemOf(const ItemRun& run) const {
  return request::DueItem{run.due, run_times_.remainingTime(run.events)};
}

double JobExecutor::urgencyOf(Instant now, const ItemRun& run) const {
  return request::urgencyOf(now, dueItemOf(run), run_times_.totalRunTime());
}

void JobExecutor::learnFromResults() {
  std::size_t learned = 0;
  for (const auto& [id, job] : state_->jobs()) {
    for (const ItemResult& result : job.results) {
      if (result.outcome != ItemOutcome::kCompleted || learned >= kMaxResultsLearned) continue;
      run_times_.noteCompletedItem(eventsIn(result.text));
      ++learned;
    }
  }
}

std::size_t JobExecutor::maxRunsNow(Instant now) const {
  if (now >= starts_from_ + kSlowStart) return std::numeric_limits<std::size_t>::max();
  const double more_each_second = kSlowStartSharePerSecond * selector_.allSlots();
  return adopted_ + 1 + static_cast<std::size_t>(more_each_second * toSeconds(now - starts_from_));
}

bool JobExecutor::haveStoresReported(Instant now) const {
  if (now >= starts_from_ + kStoreReportTimeout) return true;
  const auto& runners = run_table_.runners();
  return std::all_of(runners.begin(), runners.end(),
                     [this](const auto& runner) { return reported_stores_.contains(runner.first); });
}

void JobExecutor::startOrHold(Instant now, const ItemPtr& run, StartPass& pass, FullEngines& full) {
  if (isBoundToBuild(*run, run->service) && full.containsBuild(run->service, run->build)) {
    noteFullBuild(now, *run);
    return;
  }
  if (run->not_before > now || (isPaced(*run) && !restarts_.mayStart(now, run->service))) return;
  if (run->is_inherited && !haveStoresReported(now)) {
    pass.noteHeldUp();
    return;
  }
  const StoredJob* job = openJob(*run);
  if (job == nullptr || run->stopped) {
    queue_.remove(run);
    return;
  }
  const Route* route = routes_.find(*job);
  if (route == nullptr || hasUsedAttempts(*run, *route)) {
    holdUndecided(run, route == nullptr ? "no route" : "its attempts are used up");
    return;
  }
  request::EngineQuery query = queryOf(*run, *job, *route);
  dropOrphanedText(*run, query.service);
  if (isBoundToBuild(*run, query.service)) query.build = run->build;
  const auto allowed_zones = query.zones;
  request::TroughVerdict verdict;
  if (!fitsTrough(now, *run, query, verdict)) {
    pass.noteHeldUp();
    return;
  }
  // The zone with lasting capacity may have no engine of the build.
  if (query.build) query.zones = allowed_zones;
  const bool is_started = startAtEngine(now, run, *job, query, verdict, full);
  if (is_started || query.build) return;
  // All items of the lane have these engines, unless this one was restricted further or drew one of several services.
  const bool concerns_lane = query.zones == allowed_zones && route->split.size() == 1;
  concerns_lane ? pass.closeLane() : pass.noteHeldUp();
}

bool JobExecutor::startAtEngine(Instant now, const ItemPtr& run, const StoredJob& job,
                                const request::EngineQuery& query, const request::TroughVerdict& verdict,
                                FullEngines& full) {
  std::optional<EngineChoice> choice;
  if (!full.contains(query)) choice = chooseEngine(now, query);
  if (choice) {
    queue_.remove(run);
    startRun(now, run, job, *choice, query, verdict);
    return true;
  }
  full.note(query);
  logLacking(now, query);
  // Engines of other builds may have room for later items.
  if (query.build) noteFullBuild(now, *run);
  return false;
}

request::EngineQuery JobExecutor::queryOf(const ItemRun& run, const StoredJob& job, const Route& route) {
  const OpaqueItem& item = job.submission.items[job.open_items.at(run.item)];
  request::EngineQuery query;
  query.service = split_.choose(route);
  query.zone = options_.zone;
  query.zones = request::allowedZones(route, routes_.table()->tenants().find(job.submission.tenant), options_.regions);
  query.prefix_affinity = route.prefix_affinity;
  query.background = true;
  query.urgency = urgencyOf(monotonicNow(), run);
  query.prompt = fleet::promptOf(dialect_.headers(), item);
  return query;
}

}  // namespace hatchfork::store
