#include "request/admission/batch_trough.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// Slack where nothing waits, in seconds.
constexpr double kNoItem = 1e9;

}  // namespace

void BatchTrough::noteLoad(Instant now, const ServiceId& service, const std::map<ZoneId, ZoneLoad>& zones) {
  Service& known = services_[service];
  std::erase_if(known.zones, [&zones](const auto& entry) { return !zones.contains(entry.first); });
  for (const auto& [id, load] : zones) {
    Zone& zone = known.zones[id];
    zone.slots = load.slots;
    zone.wave.note(now, load.online);
  }
}

void BatchTrough::count(Zone& zone, Duration time_left) {
  const std::size_t spans = LoadForecast::spansWithin(time_left);
  for (std::size_t span = 0; span < spans; ++span) ++zone.runs[span];
}

void BatchTrough::noteBegun(const RunInFlight& run) {
  const auto service = services_.find(run.service);
  if (service == services_.end()) return;
  service->second.under_way += run.time_left;
  const auto zone = service->second.zones.find(run.zone);
  if (zone != service->second.zones.end()) count(zone->second, run.time_left);
}

/// Counts of requests that come by themselves vary by the root of their mean.
double BatchTrough::spareFor(double online) const {
  return limits_.spare_deviations * std::sqrt(online);
}

double BatchTrough::urgencyAt(double slack, Duration whole_time) const {
  const double relaxed = toSeconds(whole_time) * limits_.relaxed_runs;
  const double pressing = toSeconds(whole_time) * limits_.pressing_runs;
  if (relaxed <= pressing) return 1;
  return std::clamp((relaxed - slack) / (relaxed - pressing), 0.0, 1.0);
}

void BatchTrough::plan(Instant now, const std::vector<RunInFlight>& runs, const std::vector<WaitingItem>& waiting,
                       Duration whole_time) {
  for (auto& [id, service] : services_) {
    service.urgency = 0;
    service.least_slack = kNoItem;
    service.under_way = Duration::zero();
    for (auto& [zone_id, zone] : service.zones) zone.runs.fill(0);
  }
  for (const RunInFlight& run : runs) noteBegun(run);
  struct Pace {
    double places = 1;
    double work = 0;
  };
  std::map<ServiceId, Pace> paces;
  for (const auto& [id, service] : services_) {
    paces[id] = Pace{std::max(1.0, lastingPlaces(id, whole_time)), toSeconds(service.under_way)};
  }
  for (const WaitingItem& item : waiting) {
    const auto service = services_.find(item.service);
    if (service == services_.end() || isHopeless(now, item.order)) continue;
    Pace& pace = paces.at(item.service);
    const double slack = toSeconds(slackOf(now, item.order)) - pace.work / pace.places;
    pace.work += toSeconds(item.order.time_left);
    service->second.least_slack = std::min(service->second.least_slack, slack);
    service->second.urgency = std::max(service->second.urgency, urgencyAt(slack, whole_time));
  }
}

double BatchTrough::lastingPlaces(const ServiceId& id, Duration time_left) const {
  const auto service = services_.find(id);
  if (service == services_.end()) return 0;
  double places = 0;
  for (const auto& [zone_id, zone] : service->second.zones) {
    places += std::max(0.0, zone.slots - zone.wave.forecast().mostWithin(time_left));
  }
  return places;
}

bool BatchTrough::isShort(const ServiceId& id) const {
  const auto service = services_.find(id);
  return service != services_.end() && service->second.least_slack < 0;
}

double BatchTrough::urgency(const ServiceId& id) const {
  const auto service = services_.find(id);
  return service == services_.end() ? 1 : service->second.urgency;
}

TroughVerdict BatchTrough::judgeZone(const ZoneId& id, const Zone& zone, Duration time_left, double urgency) const {
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

TroughVerdict BatchTrough::judge(const ServiceId& id, Duration time_left,
                                 const std::optional<std::set<ZoneId>>& zones) const {
  TroughVerdict best;
  const auto service = services_.find(id);
  if (service == services_.end()) return best;
  bool is_first = true;
  for (const auto& [zone_id, zone] : service->second.zones) {
    if (zones && !zones->contains(zone_id)) continue;
    const TroughVerdict verdict = judgeZone(zone_id, zone, time_left, service->second.urgency);
    if (!is_first && verdict.room <= best.room) continue;
    best = verdict;
    is_first = false;
  }
  return best;
}

}  // namespace hatchfork::request
