#include "request/batch/restart_pacer.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

constexpr Duration kFirstDelay = fromMillis(150);
/// Much less than the time within which idle engines must have work that is waiting.
constexpr Duration kLongestDelay = std::chrono::seconds(2);

}  // namespace

bool RestartPacer::mayStart(Instant now, const ServiceId& service) const {
  const auto found = paces_.find(service);
  return found == paces_.end() || now >= found->second.next_start;
}

void RestartPacer::noteStarted(Instant now, const ServiceId& service) {
  const auto found = paces_.find(service);
  if (found != paces_.end()) found->second.next_start = now + found->second.delay;
}

Duration RestartPacer::noteBroken(Instant now, const ServiceId& service, Instant began_at) {
  Pace& pace = paces_[service];
  if (began_at < pace.doubled_at) return pace.delay;
  pace.doubled_at = now;
  pace.delay = std::clamp(2 * pace.delay, kFirstDelay, kLongestDelay);
  pace.next_start = now + pace.delay;
  return pace.delay;
}

}  // namespace hatchfork::request
