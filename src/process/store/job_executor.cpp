#include "process/store/job_executor.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::store {

using connection::monotonicNow;
using request::EngineChoice;

namespace {

constexpr Duration kYieldInterval = fromMillis(150);
constexpr Duration kCleanupInterval = std::chrono::seconds(1);
/// Wall clocks may differ by this much; an item is given up only so much later than its retention.
constexpr Duration kClockMargin = fromMillis(2500);
/// A finished job is forgotten this long after it was submitted.
constexpr Duration kFinishedJobKept = std::chrono::minutes(10);
/// A route must be missing for this long before the open items of its jobs are given up.
constexpr Duration kRouteMissingFor = std::chrono::seconds(4);
/// How long a run takes, roughly; a backlog of less than the relaxed time needs no hurry.
constexpr Duration kTypicalRun = fromMillis(4500);
constexpr Duration kRelaxedBacklog = std::chrono::seconds(2);
constexpr double kMostPressure = 3;
/// Places in the queue that one pass looks at for an item that may start.
constexpr std::size_t kMostLookedAt = 64;

RunBoardLimits boardLimits(std::size_t most_runs) {
  RunBoardLimits limits;
  limits.most_runs = most_runs;
  return limits;
}

}  // namespace

JobExecutor::JobExecutor(JobExecutorOptions options, const Dialect& dialect, ProposeFunction propose, SendFunction send)
    : options_(std::move(options)),
      dialect_(dialect),
      propose_(std::move(propose)),
      send_(std::move(send)),
      board_(options_.self, boardLimits(options_.most_running)),
      selector_(options_.seed),
      split_(options_.seed),
      chains_(options_.seed) {}

JobExecutor::~JobExecutor() {
  *alive_ = false;
}

void JobExecutor::setView(const fleet::FleetView& view, bool engines_changed) {
  routes_ = view.routes;
  std::set<ReplicaId> runners(view.stores.begin(), view.stores.end());
  for (const ReplicaId& retiring : view.retiring) runners.erase(retiring);
  board_.setRunners(std::move(runners));
  if (engines_changed) selector_.setEngines(*view.engines);
  if (leading_) pump();
}

void JobExecutor::setLeading(bool leading, std::uint64_t term) {
  if (leading == leading_ && term == term_) return;
  if (leading_) stopLeading();
  leading_ = leading;
  term_ = term;
  if (!leading) return;
  for (const auto& [id, job] : state_->jobs()) enqueueOpenItems(job);
  logEvent(LogLevel::kInfo, "executor_started", {{"term", term}, {"jobs", items_.size()}, {"waiting", queue_.size()}});
  pump();
}

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
  results_.clear();
  board_.stopAll();
  sendLeases(now);
}

void JobExecutor::noteChange(const JobId& id) {
  if (!leading_) return;
  const StoredJob* job = state_->find(id);
  if (job == nullptr || job->isFinished()) {
    stopItems(id);
    return;
  }
  if (!items_.contains(id)) enqueueOpenItems(*job);
  pump();
}

void JobExecutor::enqueueOpenItems(const StoredJob& job) {
  if (job.isFinished()) return;
  std::map<std::string, ItemPtr>& runs = items_[job.submission.id];
  for (const OpaqueItem& item : job.submission.items) {
    if (!job.open_items.contains(item.id) || runs.contains(item.id)) continue;
    auto run = std::make_shared<ItemRun>();
    run->job = job.submission.id;
    run->item = item.id;
    run->chain = chains_() >> 11;
    loadSavedProgress(*run);
    runs.emplace(item.id, run);
    queue_.push_back(run);
  }
}

void JobExecutor::stopItems(const JobId& job) {
  const auto found = items_.find(job);
  if (found == items_.end()) return;
  for (const auto& [item, run] : found->second) {
    run->stopped = true;
    if (run->running) abandonRun(*run);
  }
  items_.erase(found);
  std::erase_if(queue_, [](const ItemPtr& run) { return run->stopped; });
  sendLeases(connection::monotonicNow());
}

void JobExecutor::tick(Instant now) {
  if (!leading_) return;
  breakRuns(board_.takeLost(now));
  yieldSlots(now);
  saveProgress(now);
  pump();
  sendLeases(now);
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  giveUpExpired(now);
  dropOldJobs();
}

void JobExecutor::pump() {
  if (!leading_ || !routes_) return;
  const Instant now = monotonicNow();
  while (startNext(now)) {
  }
}

const Route* JobExecutor::routeOf(const StoredJob& job) const {
  return routes_ ? routes_->find(job.submission.host, job.submission.path) : nullptr;
}

const StoredJob* JobExecutor::openJob(const ItemRun& run) const {
  const StoredJob* job = state_->find(run.job);
  const bool open = job != nullptr && !job->ended && job->open_items.contains(run.item);
  return open ? job : nullptr;
}

double JobExecutor::pressure() const {
  const double per_second = std::max(1.0, static_cast<double>(runs_.size()) / toSeconds(kTypicalRun));
  const double backlog = static_cast<double>(queue_.size()) / per_second;
  return std::clamp(backlog / toSeconds(kRelaxedBacklog), 1.0, kMostPressure);
}

bool JobExecutor::startNext(Instant now) {
  const std::size_t looked_at = std::min(queue_.size(), kMostLookedAt);
  for (std::size_t i = 0; i < looked_at; ++i) {
    const ItemPtr run = queue_[i];
    if (run->not_before > now) continue;
    const StoredJob* job = openJob(*run);
    const Route* route = job == nullptr ? nullptr : routeOf(*job);
    if (job == nullptr || run->stopped) {
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
      return true;
    }
    if (route == nullptr) continue;
    const request::EngineQuery query = queryOf(job->submission.items[job->open_items.at(run->item)], *route);
    const std::optional<EngineChoice> choice = selector_.choose(now, query);
    if (!choice || !board_.chooseRunner(now)) return false;
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
    startRun(now, run, *job, *choice, query);
    return true;
  }
  return false;
}

request::EngineQuery JobExecutor::queryOf(const OpaqueItem& item, const Route& route) {
  request::EngineQuery query;
  query.service = split_.choose(route);
  query.zone = options_.zone;
  query.prefix_affinity = route.prefix_affinity;
  query.background = true;
  query.pressure = pressure();
  const HeaderNames& names = dialect_.headers();
  std::string parts;
  std::string usage;
  for (const ItemHeader& header : item.headers) {
    if (header.name == names.prompt_parts) parts = header.value;
    if (header.name == names.token_usage) usage = header.value;
  }
  query.prompt = request::parsePromptShape(parts, usage);
  return query;
}

void JobExecutor::yieldSlots(Instant now) {
  if (now < next_yield_) return;
  next_yield_ = now + kYieldInterval;
  std::map<EngineId, double> excess;
  for (const request::EngineShare& share : selector_.ownShares(now)) {
    const double above = selector_.excess(now, share.engine);
    if (above >= 1) excess[share.engine] = above;
  }
  if (excess.empty()) return;
  for (const auto& [id, runs] : items_) {
    for (const auto& [item, run] : runs) {
      // Only a run that can go on after an event loses nothing but the reading of its prompt.
      if (!run->running || run->yielding || !run->last_event) continue;
      const auto found = excess.find(run->engine);
      if (found == excess.end() || found->second < 1) continue;
      found->second -= 1;
      run->yielding = true;
    }
  }
  std::vector<ItemPtr> yielding;
  for (const auto& [number, run] : runs_) {
    if (run->yielding) yielding.push_back(run);
  }
  for (const ItemPtr& run : yielding) {
    board_.stop(run->number);
    endRun(run, RunEnd::kYielded, request::EngineVerdict::kNeutral, "engine above its slots");
  }
}

void JobExecutor::giveUpExpired(Instant now) {
  proposeResults();
  const WallMillis wall = connection::wallNow();
  std::vector<ItemPtr> expired;
  for (const auto& [id, runs] : items_) {
    const StoredJob* job = state_->find(id);
    if (job == nullptr) continue;
    const Route* route = routeOf(*job);
    if (route != nullptr) {
      route_missing_since_.erase(id);
    } else {
      route_missing_since_.emplace(id, now);
    }
    const auto missing = route_missing_since_.find(id);
    const bool route_gone = missing != route_missing_since_.end() && now > missing->second + kRouteMissingFor;
    const Duration age = fromMillis(wall - job->submission.submitted_at);
    const bool too_old =
        route != nullptr && route->retention > Duration::zero() && age > route->retention + kClockMargin;
    if (!route_gone && !too_old) continue;
    for (const auto& [item, run] : runs) {
      if (!run->running && openJob(*run) != nullptr) expired.push_back(run);
    }
  }
  for (const ItemPtr& run : expired) {
    if (run->stopped) continue;
    run->stopped = true;
    logEvent(LogLevel::kInfo, "item_given_up", {{"job", run->job.value}, {"request", run->item}});
    finishItem(run, ItemOutcome::kErrored);
  }
  std::erase_if(queue_, [](const ItemPtr& run) { return run->stopped; });
}

void JobExecutor::dropOldJobs() {
  const WallMillis wall = connection::wallNow();
  DropJobs drop;
  for (const auto& [id, job] : state_->jobs()) {
    const Duration age = fromMillis(wall - job.submission.submitted_at);
    if (job.isFinished() && age > kFinishedJobKept) drop.jobs.push_back(id);
  }
  if (!drop.jobs.empty()) propose_(std::move(drop), [](bool) {});
}

}  // namespace hatchfork::store
