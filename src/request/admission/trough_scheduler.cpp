#include "request/admission/trough_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// Slack in seconds if no item is queued.
constexpr double kSlackWithoutItemsSeconds = 1e9;

}  // namespace

void TroughScheduler::noteLoad(Instant now, const ServiceId& service, const std::map<ZoneId, ZoneLoad>& zones) {
  Service& state = services_[service];
  std::erase_if(state.zones, [&zones](const auto& entry) { return !zones.contains(entry.first); });
  for (const auto& [id, load] : zones) {
    Zone& zone = state.zones[id];
    zone.slots = load.slots;
    zone.forecaster.note(now, load.online);
  }
}

void TroughScheduler::addRun(Zone& zone, Duration time_left) {
  const std::size_t spans = LoadForecast::spansWithin(time_left);
  for (std::size_t span = 0; span < spans; ++span) ++zone.runs[span];
}

void TroughScheduler::noteBegun(const RunInFlight& run) {
  const auto service = services_.find(run.service);
  if (service == services_.end()) return;
  service->second.remaining_time += run.time_left;
  ++service->second.runs;
  const auto zone = service->second.zones.find(run.zone);
  if (zone != service->second.zones.end()) addRun(zone->second, run.time_left);
}

/// Counts of independent arrivals vary by the square root of their mean.
double TroughScheduler::peakMargin(double online) const {
  return limits_.margin_deviations * std::sqrt(online);
}

double TroughScheduler::urgencyForSlack(double slack, Duration whole_time) const {
  const double relaxed_slack = toSeconds(whole_time) * limits_.relaxed_slack_runs;
  const double urgent_slack = toSeconds(whole_time) * limits_.urgent_slack_runs;
  if (relaxed_slack <= urgent_slack) return 1;
  return std::clamp((relaxed_slack - slack) / (relaxed_slack - urgent_slack), 0.0, 1.0);
}

/// All runs continue until the load peak that leaves fewer slots than there are runs; after that, as many continue as
/// there are slots.
double TroughScheduler::secondsUntilNextStart(const Service& service, double lasting_slots) {
  const double remaining_time = toSeconds(service.remaining_time);
  if (service.runs <= lasting_slots) return remaining_time / lasting_slots;
  for (std::size_t span = 0; span < LoadForecast::kSpans; ++span) {
    if (freeSlotsIn(service, span) >= service.runs) continue;
    const double until_wave = toSeconds(LoadForecast::beginOf(span));
    const double left = std::max(0.0, remaining_time - service.runs * until_wave);
    return until_wave + left / lasting_slots;
  }
  return remaining_time / service.runs;
}

double TroughScheduler::workBeyondSlots(const Service& service, double lasting_slots) {
  if (service.runs <= lasting_slots) return 0;
  return (service.runs - lasting_slots) * toSeconds(service.remaining_time) / service.runs;
}

double TroughScheduler::freeSlotsIn(const Service& service, std::size_t span) {
  double free_slots = 0;
  for (const auto& [id, zone] : service.zones)
    free_slots += std::max(0.0, zone.slots - zone.forecaster.forecast().most[span]);
  return free_slots;
}

std::vector<double> TroughScheduler::plan(Instant now, const std::vector<RunInFlight>& runs,
                                          const std::vector<WaitingItem>& waiting, Duration whole_time) {
  for (auto& [id, service] : services_) {
    service.urgency = 0;
    service.least_slack = kSlackWithoutItemsSeconds;
    service.runs = 0;
    service.remaining_time = Duration::zero();
    for (auto& [zone_id, zone] : service.zones) zone.runs.fill(0);
  }
  for (const RunInFlight& run : runs) noteBegun(run);
  struct Progress {
    double lasting_slots = 1;
    /// Time in seconds until the next queued item starts.
    double starts_in_seconds = 0;
  };
  std::map<ServiceId, Progress> progress_by_service;
  for (const auto& [id, service] : services_) {
    const double lasting_slots = std::max(1.0, lastingSlots(id, whole_time));
    progress_by_service[id] = Progress{lasting_slots, secondsUntilNextStart(service, lasting_slots)};
  }
  std::vector<double> urgencies(waiting.size(), 0);
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const WaitingItem& item = waiting[i];
    const auto service = services_.find(item.service);
    if (service == services_.end() || cannotFinishInTime(now, item.order)) continue;
    Progress& progress = progress_by_service.at(item.service);
    const double slack = toSeconds(slackOf(now, item.order)) - progress.starts_in_seconds;
    progress.starts_in_seconds += toSeconds(item.order.time_left) / progress.lasting_slots;
    service->second.least_slack = std::min(service->second.least_slack, slack);
    urgencies[i] = urgencyForSlack(slack, whole_time);
  }
  std::map<ServiceId, double> missing_work;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    missing_work[waiting[i].service] += urgencies[i] * toSeconds(waiting[i].order.time_left);
  }
  for (auto& [id, work] : missing_work) {
    const auto service = services_.find(id);
    if (service != services_.end()) work -= workBeyondSlots(service->second, progress_by_service.at(id).lasting_slots);
  }
  // An earlier item takes the urgency of the items behind it, as far as those lack time: starting it early
  // frees slots for them.
  std::vector<double> urgency_behind(waiting.size(), 0);
  for (std::size_t i = waiting.size(); i-- > 0;) {
    const auto service = services_.find(waiting[i].service);
    if (service == services_.end()) continue;
    service->second.urgency = std::max(service->second.urgency, urgencies[i]);
    urgency_behind[i] = service->second.urgency;
  }
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    double& work = missing_work[waiting[i].service];
    if (work <= 0) continue;
    work -= toSeconds(waiting[i].order.time_left);
    urgencies[i] = std::max(urgencies[i], urgency_behind[i]);
  }
  return urgencies;
}

double TroughScheduler::lastingSlots(const ServiceId& id, Duration time_left) const {
  const auto service = services_.find(id);
  if (service == services_.end()) return 0;
  double lasting_slots = 0;
  for (const auto& [zone_id, zone] : service->second.zones) {
    lasting_slots += std::max(0.0, zone.slots - zone.forecaster.forecast().mostWithin(time_left));
  }
  return lasting_slots;
}

bool TroughScheduler::isRoomShort(const ServiceId& id) const {
  const auto service = services_.find(id);
  return service != services_.end() && service->second.least_slack < 0;
}

double TroughScheduler::urgency(const ServiceId& id) const {
  const auto service = services_.find(id);
  return service == services_.end() ? 1 : service->second.urgency;
}

TroughVerdict TroughScheduler::judgeZone(const ZoneId& id, const Zone& zone, Duration time_left, double urgency) const {
  TroughVerdict verdict;
  verdict.zone = id;
  verdict.online_now = zone.forecaster.level();
  verdict.online_expected = zone.forecaster.forecast().mostWithin(time_left);
  verdict.period = zone.forecaster.period();
  verdict.room = zone.slots;
  const std::size_t spans = LoadForecast::spansWithin(time_left);
  for (std::size_t span = 0; span < spans; ++span) {
    const double rise = std::max(0.0, zone.forecaster.forecast().most[span] - zone.forecaster.level());
    const bool is_soon = LoadForecast::beginOf(span) < limits_.min_run_time;
    const double reserved_share = 1 - (is_soon ? std::max(0.0, 2 * urgency - 1) : urgency);
    const double online =
        zone.forecaster.level() + reserved_share * (rise + peakMargin(zone.forecaster.level() + rise));
    verdict.room = std::min(verdict.room, zone.slots - online - zone.runs[span]);
  }
  verdict.begins = verdict.room >= 1;
  return verdict;
}

TroughVerdict TroughScheduler::judge(const ServiceId& id, Duration time_left, double urgency,
                                     const std::optional<std::set<ZoneId>>& zones) const {
  TroughVerdict best;
  const auto service = services_.find(id);
  if (service == services_.end()) return best;
  bool is_first = true;
  for (const auto& [zone_id, zone] : service->second.zones) {
    if (zones && !zones->contains(zone_id)) continue;
    const TroughVerdict verdict = judgeZone(zone_id, zone, time_left, urgency);
    if (!is_first && verdict.room <= best.room) continue;
    best = verdict;
    is_first = false;
  }
  return best;
}

}  // namespace hatchfork::request
