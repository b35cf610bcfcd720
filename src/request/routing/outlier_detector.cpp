#include "request/routing/outlier_detector.hpp"

#include <algorithm>

namespace hatchfork::request {

OutlierDetector::OutlierDetector(OutlierOptions options) : options_(options) {}

void OutlierDetector::setFleetSize(std::size_t engines) {
  fleet_size_ = engines;
}

void OutlierDetector::forget(const EngineId& engine) {
  records_.erase(engine);
}

void OutlierDetector::recordSuccess(Instant now, const EngineId& engine) {
  const auto found = records_.find(engine);
  if (found == records_.end()) return;
  Record& record = found->second;
  record.consecutive_failures = 0;
  const bool is_fully_returned = !record.ejected_until || now >= *record.ejected_until + options_.return_time;
  if (is_fully_returned) records_.erase(found);
}

void OutlierDetector::recordFailure(Instant now, const EngineId& engine) {
  Record& record = records_[engine];
  if (record.ejected_until && now < *record.ejected_until) return;
  ++record.consecutive_failures;
  // While an engine returns it is on probation: a single failure ejects it again.
  const bool on_probation = record.ejected_until && now < *record.ejected_until + options_.return_time;
  const std::uint32_t needed = on_probation ? 1 : options_.failures_to_eject;
  if (record.consecutive_failures < needed || ejectedCount(now) >= maxEjected()) return;
  const std::uint32_t doublings = std::min<std::uint32_t>(record.ejections, 16);
  record.ejected_until = now + std::min(options_.ejection * (1 << doublings), options_.max_ejection);
  record.consecutive_failures = 0;
  ++record.ejections;
}

double OutlierDetector::trafficShare(Instant now, const EngineId& engine) const {
  const auto found = records_.find(engine);
  if (found == records_.end() || !found->second.ejected_until) return 1;
  const Instant until = *found->second.ejected_until;
  if (now < until) return 0;
  const double share = toSeconds(now - until) / std::max(toSeconds(options_.return_time), 1e-6);
  return std::clamp(share, 0.05, 1.0);
}

bool OutlierDetector::isEjected(Instant now, const EngineId& engine) const {
  const auto found = records_.find(engine);
  return found != records_.end() && found->second.ejected_until && now < *found->second.ejected_until;
}

std::optional<Duration> OutlierDetector::nextReturn(Instant now) const {
  std::optional<Duration> soonest;
  for (const auto& [engine, record] : records_) {
    if (!record.ejected_until || now >= *record.ejected_until) continue;
    const Duration wait = *record.ejected_until - now;
    soonest = soonest ? std::min(*soonest, wait) : wait;
  }
  return soonest;
}

std::size_t OutlierDetector::ejectedCount(Instant now) const {
  return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [now](const auto& entry) {
    return entry.second.ejected_until && now < *entry.second.ejected_until;
  }));
}

std::size_t OutlierDetector::maxEjected() const {
  if (fleet_size_ < 2) return 0;
  return std::max<std::size_t>(fleet_size_ * options_.max_ejected_percent / 100, 1);
}

}  // namespace hatchfork::request
