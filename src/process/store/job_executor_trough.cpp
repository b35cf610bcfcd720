#include <fmt/format.h>

#include <algorithm>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// Order of the queue, choice of zones whose capacity remains free, and preemption of runs. A trough is the part of a
// load cycle (periodic load) in which online requests leave engine slots free.
namespace hatchfork::store {

using request::EngineQuery;

namespace {

constexpr Duration kPlanInterval = fromMillis(50);
/// Reported online load expires after this time.
constexpr Duration kLoadLifetime = fromMillis(1000);
constexpr Duration kWaitLogInterval = std::chrono::seconds(1);
/// Time for which reports of the previous leader may still count the runs that a new leader has adopted.
constexpr Duration kPreviousLoadLifetime = std::chrono::seconds(1);

std::int64_t periodOf(const request::TroughVerdict& verdict) {
  return verdict.period ? toMillis(*verdict.period) : 0;
}

}  // namespace

bool JobExecutor::plansTrough() const {
  return options_.load.batch_by_slack || sharesFairly();
}

bool JobExecutor::sharesFairly() const {
  return options_.load.fair_shares && routes_.table() != nullptr && routes_.table()->tenants().size() > 1;
}

void JobExecutor::findBatchServices() {
  batch_services_.clear();
  for (const Route& route : routes_.table()->routes()) {
    if (route.kind != RouteKind::kBatch) continue;
    for (const WeightedService& service : route.split) batch_services_.insert(service.service);
  }
}

void JobExecutor::notePeerLoads(Instant now, const std::vector<request::EngineShare>& others) {
  selector_.notePeerLoads(now, others);
  if (!plansTrough()) return;
  last_load_report_ = now;
  for (const ServiceId& service : batch_services_) trough_.noteLoad(now, service, selector_.zoneLoads(now, service));
}

std::optional<request::RunInFlight> JobExecutor::runInFlightOf(const ItemRun& run) const {
  const EngineRecord* engine = selector_.recordOf(run.engine);
  if (engine == nullptr) return std::nullopt;
  return request::RunInFlight{engine->service, engine->zone, run_times_.remainingTime(run.events)};
}

void JobExecutor::planTrough(Instant now) {
  if (!plansTrough() || now < next_plan_) return;
  next_plan_ = now + kPlanInterval;
  std::vector<request::RunInFlight> runs;
  for (const auto& [number, run] : runs_) {
    if (const auto flight = runInFlightOf(*run)) runs.push_back(*flight);
  }
  std::vector<request::WaitingItem> waiting;
  std::vector<ItemPtr> items;
  for (const ItemPtr& run : queue_.items()) {
    // An item without a due time exerts no pressure.
    if (!run->is_waiting || run->due == Instant::max()) continue;
    waiting.push_back({run->service, run->order});
    items.push_back(run);
  }
  const std::vector<double> pressing = trough_.plan(now, runs, waiting, run_times_.totalRunTime());
  for (std::size_t i = 0; i < items.size(); ++i) items[i]->pressing = pressing[i];
}

void JobExecutor::orderQueue(Instant now) {
  if (now < next_order_ && queue_.isSorted()) return;
  next_order_ = now + kOrderInterval;
  for (const ItemPtr& run : queue_.items()) run->order = dueItemOf(*run);
  queue_.sort(
      [now](const ItemPtr& left, const ItemPtr& right) { return request::precedes(now, left->order, right->order); });
  if (sharesFairly()) orderByShare(now);
  queue_.buildLanes([now](const ItemRun& run) { return request::cannotFinishInTime(now, run.order); });
}

/// Items stay in the order of their due times within a tenant, and where their service has capacity for all of them.
/// What a tenant has waiting for one service takes nothing from its share of the engines of another one.
void JobExecutor::orderByShare(Instant now) {
  std::map<std::pair<TenantId, ServiceId>, double> work_before;
  for (const ItemPtr& run : queue_.items()) {
    run->turn = 0;
    if (request::cannotFinishInTime(now, run->order) || !trough_.isRoomShort(run->service)) continue;
    const double work = toSeconds(run->order.time_left) * 1000;
    double& before = work_before[{run->tenant, run->service}];
    run->turn = shares_.startAfter(now, run->tenant, before, work);
    before += work;
  }
  queue_.sort([now](const ItemPtr& left, const ItemPtr& right) {
    const bool left_hopeless = request::cannotFinishInTime(now, left->order);
    const bool right_hopeless = request::cannotFinishInTime(now, right->order);
    if (left_hopeless != right_hopeless) return right_hopeless;
    return left->turn < right->turn;
  });
}

bool JobExecutor::fitsTrough(Instant now, const ItemRun& run, EngineQuery& query, request::TroughVerdict& verdict) {
  const bool is_planned = options_.load.batch_by_slack && run.due != Instant::max() && trough_.knows(query.service);
  // Outdated load reports delay no item, and the most pressing items use any slot that is free now.
  const bool is_old = now > last_load_report_ + kLoadLifetime;
  // An item that is already late has no slack, and would never start if no capacity remained free for long enough.
  const bool is_late = request::cannotFinishInTime(now, run.order);
  if (!is_planned || is_old || is_late || run.pressing >= 1) return true;
  verdict = trough_.judge(query.service, run_times_.remainingTime(run.events), run.pressing, query.zones);
  if (!verdict.begins) {
    logWaiting(now, run, query, verdict);
    return false;
  }
  query.zone = verdict.zone;
  query.zones = std::set<ZoneId>{verdict.zone};
  return true;
}

void JobExecutor::logWaiting(Instant now, const ItemRun& run, const EngineQuery& query,
                             const request::TroughVerdict& verdict) {
  if (now < next_wait_log_) return;
  next_wait_log_ = now + kWaitLogInterval;
  logEvent(LogLevel::kInfo, "items_wait_for_room",
           {{"service", query.service.value},
            {"waiting", queue_.size()},
            {"running", runs_.size()},
            {"first", run.item},
            {"slack_ms", toMillis(request::slackOf(now, run.order))},
            {"time_left_ms", toMillis(run.order.time_left)},
            {"best_zone", verdict.zone.value},
            {"room", fmt::format("{:.1f}", verdict.room)},
            {"online_now", fmt::format("{:.0f}", verdict.online_now)},
            {"online_expected", fmt::format("{:.0f}", verdict.online_expected)},
            {"wave_period_ms", periodOf(verdict)},
            {"pressing", fmt::format("{:.2f}", run.pressing)}});
}

void JobExecutor::logLacking(Instant now, const EngineQuery& query) {
  Instant& next = next_lacking_log_[query.service];
  if (now < next) return;
  next = now + kWaitLogInterval;
  const auto waiting = std::count_if(queue_.items().begin(), queue_.items().end(), [&](const ItemPtr& run) {
    return run->is_waiting && run->service == query.service;
  });
  logEvent(LogLevel::kInfo, "items_lack_engines",
           {{"service", query.service.value},
            {"engines", selector_.engineCount(query.service)},
            {"waiting", waiting},
            {"running", runs_.size()},
            {"zones", query.zones ? query.zones->size() : 0},
            {"build", query.build ? query.build->value : std::string()},
            {"urgency", fmt::format("{:.2f}", query.urgency)}});
}

std::map<EngineId, double> JobExecutor::excessRuns(Instant now) {
  std::map<EngineId, double> excess;
  for (const request::EngineShare& share : selector_.ownShares(now)) {
    const double above = selector_.excess(now, share.engine);
    if (above >= 1) excess[share.engine] = above;
  }
  return excess;
}

JobExecutor::ItemPtr JobExecutor::runToPreempt(Instant now, const std::vector<ItemPtr>& runs, Duration needed_within) {
  std::vector<request::PreemptionCandidate> candidates;
  for (const ItemPtr& run : runs) {
    run->order = dueItemOf(*run);
    candidates.push_back({run->events, run->last_event.has_value(), run->order});
  }
  if (options_.load.batch_by_slack) {
    const auto chosen = request::choosePreemption(now, candidates, needed_within, run_times_.totalRunTime());
    return chosen ? runs[*chosen] : nullptr;
  }
  ItemPtr chosen;
  for (const ItemPtr& run : runs) {
    // A run without an event would start from the beginning.
    const bool loses_less = chosen && run->last_event.has_value() != chosen->last_event.has_value()
                                ? run->last_event.has_value()
                                : chosen && request::precedes(now, chosen->order, run->order);
    if (!chosen || loses_less) chosen = run;
  }
  return chosen;
}

bool JobExecutor::mayCountRunsTwice(Instant now) const {
  return adopted_ > 0 && now < starts_from_ + kPreviousLoadLifetime;
}

void JobExecutor::preemptExcessRuns(Instant now) {
  if (now < next_preemption_ || mayCountRunsTwice(now)) return;
  next_preemption_ = now + kPreemptionInterval;
  const std::map<EngineId, double> excess = excessRuns(now);
  if (excess.empty()) return;
  std::map<EngineId, std::vector<ItemPtr>> candidates;
  for (const auto& [number, run] : runs_) {
    // Only a run that can resume after an event loses no more than the prefill of its prompt.
    if (run->last_event && excess.contains(run->engine)) candidates[run->engine].push_back(run);
  }
  for (auto& [engine, runs] : candidates) {
    for (double above = excess.at(engine); above >= 1; above -= 1) {
      const ItemPtr chosen = runToPreempt(now, runs, kPreemptionInterval);
      if (!chosen) break;
      std::erase(runs, chosen);
      preemptRun(chosen, "engine above its slots");
    }
  }
}

void JobExecutor::preemptRun(const ItemPtr& run, const std::string& cause) {
  const Instant now = connection::monotonicNow();
  logEvent(LogLevel::kInfo, "run_gave_way",
           {{"job", run->job.value},
            {"request", run->item},
            {"run", run->number},
            {"engine", run->engine.value},
            {"cause", cause},
            {"events", run->events},
            {"slack_ms", toMillis(request::slackOf(now, run->order))},
            {"time_left_ms", toMillis(run->order.time_left)}});
  run_table_.stop(run->number);
  endRun(run, RunEnd::kYielded, request::EngineVerdict::kNeutral, cause);
}

void JobExecutor::preemptAt(const EngineId& engine) {
  if (!leading_) return;
  const Instant now = connection::monotonicNow();
  std::vector<ItemPtr> runs;
  for (const auto& [number, run] : runs_) {
    if (run->engine == engine) runs.push_back(run);
  }
  const ItemPtr chosen = runToPreempt(now, runs, kPreemptionTime);
  if (!chosen) return;
  preemptRun(chosen, "online request placed");
  sendLeases(now);
}

}  // namespace hatchfork::store
