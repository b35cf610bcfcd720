#include "request/admission/trough_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// Slack where nothing waits, in seconds.
constexpr double kNoItem = 1e9;

}  // namespace

void TroughScheduler::noteLoad(Instant now, const ServiceId& service, const std::map<ZoneId, ZoneLoad>& zones) {
  Service& known = services_[service];
  std::erase_if(known.zones, [&zones](const auto& entry) { return !zones.contains(entry.first); });
  for (const auto& [id, load] : zones) {
    Zone& zone = known.zones[id];
    zone.slots = load.slots;
    zone.wave.note(now, load.online);
  }
}

void TroughScheduler::count(Zone& zone, Duration time_left) {
  const std::size_t spans = LoadForecast::spansWithin(time_left);
  for (std::size_t span = 0; span < spans; ++span) ++zone.runs[span];
}

void TroughScheduler::noteBegun(const RunInFlight& run) {
  const auto service = services_.find(run.service);
  if (service == services_.end()) return;
  service->second.under_way += run.time_left;
  ++service->second.runs;
  const auto zone = service->second.zones.find(run.zone);
  if (zone != service->second.zones.end()) count(zone->second, run.time_left);
}

/// Counts of requests that come by themselves vary by the root of their mean.
double TroughScheduler::spareFor(double online) const {
  return limits_.spare_deviations * std::sqrt(online);
}

double TroughScheduler::urgencyAt(double slack, Duration whole_time) const {
  const double relaxed = toSeconds(whole_time) * limits_.relaxed_runs;
  const double pressing = toSeconds(whole_time) * limits_.pressing_runs;
  if (relaxed <= pressing) return 1;
  return std::clamp((relaxed - slack) / (relaxed - pressing), 0.0, 1.0);
}

/// Until the wave that leaves less places than there are runs, all of them go on; then so many as there are places.
double TroughScheduler::begunWorkDoneIn(const Service& service, double places) {
  const double under_way = toSeconds(service.under_way);
  if (service.runs <= places) return under_way / places;
  for (std::size_t span = 0; span < LoadForecast::kSpans; ++span) {
    if (placesIn(service, span) >= service.runs) continue;
    const double until_wave = toSeconds(LoadForecast::beginOf(span));
    const double left = std::max(0.0, under_way - service.runs * until_wave);
    return until_wave + left / places;
  }
  return under_way / service.runs;
}

double TroughScheduler::workBeyond(const Service& service, double places) {
  if (service.runs <= places) return 0;
  return (service.runs - places) * toSeconds(service.under_way) / service.runs;
}

double TroughScheduler::placesIn(const Service& service, std::size_t span) {
  double places = 0;
  for (const auto& [id, zone] : service.zones) places += std::max(0.0, zone.slots - zone.wave.forecast().most[span]);
  return places;
}

std::vector<double> TroughScheduler::plan(Instant now, const std::vector<RunInFlight>& runs,
                                          const std::vector<WaitingItem>& waiting, Duration whole_time) {
  for (auto& [id, service] : services_) {
    service.urgency = 0;
    service.least_slack = kNoItem;
    service.runs = 0;
    service.under_way = Duration::zero();
    for (auto& [zone_id, zone] : service.zones) zone.runs.fill(0);
  }
  for (const RunInFlight& run : runs) noteBegun(run);
  struct Pace {
    double places = 1;
    /// When the next item begins at this pace, in seconds.
    double begins_in = 0;
  };
  std::map<ServiceId, Pace> paces;
  for (const auto& [id, service] : services_) {
    const double places = std::max(1.0, lastingSlots(id, whole_time));
    paces[id] = Pace{places, begunWorkDoneIn(service, places)};
  }
  std::vector<double> urgencies(waiting.size(), 0);
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const WaitingItem& item = waiting[i];
    const auto service = services_.find(item.service);
    if (service == services_.end() || cannotFinishInTime(now, item.order)) continue;
    Pace& pace = paces.at(item.service);
    const double slack = toSeconds(slackOf(now, item.order)) - pace.begins_in;
    pace.begins_in += toSeconds(item.order.time_left) / pace.places;
    service->second.least_slack = std::min(service->second.least_slack, slack);
    urgencies[i] = urgencyAt(slack, whole_time);
  }
  std::map<ServiceId, double> missing;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    missing[waiting[i].service] += urgencies[i] * toSeconds(waiting[i].order.time_left);
  }
  for (auto& [id, work] : missing) {
    const auto service = services_.find(id);
    if (service != services_.end()) work -= workBeyond(service->second, paces.at(id).places);
  }
  // Who begins early makes way for those behind it, as far as they lack time.
  std::vector<double> behind(waiting.size(), 0);
  for (std::size_t i = waiting.size(); i-- > 0;) {
    const auto service = services_.find(waiting[i].service);
    if (service == services_.end()) continue;
    service->second.urgency = std::max(service->second.urgency, urgencies[i]);
    behind[i] = service->second.urgency;
  }
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    double& work = missing[waiting[i].service];
    if (work <= 0) continue;
    work -= toSeconds(waiting[i].order.time_left);
    urgencies[i] = std::max(urgencies[i], behind[i]);
  }
  return urgencies;
}

double TroughScheduler::lastingSlots(const ServiceId& id, Duration time_left) const {
  const auto service = services_.find(id);
  if (service == services_.end()) return 0;
  double places = 0;
  for (const auto& [zone_id, zone] : service->second.zones) {
    places += std::max(0.0, zone.slots - zone.wave.forecast().mostWithin(time_left));
  }
  return places;
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
  verdict.online_now = zone.wave.level();
  verdict.online_expected = zone.wave.forecast().mostWithin(time_left);
  verdict.period = zone.wave.period();
  verdict.room = zone.slots;
  const std::size_t spans = LoadForecast::spansWithin(time_left);
  for (std::size_t span = 0; span < spans; ++span) {
    const double rise = std::max(0.0, zone.wave.forecast().most[span] - zone.wave.level());
    const bool is_near = LoadForecast::beginOf(span) < limits_.least_stay;
    const double kept = 1 - (is_near ? std::max(0.0, 2 * urgency - 1) : urgency);
    const double online = zone.wave.level() + kept * (rise + spareFor(zone.wave.level() + rise));
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
