#include "request/limits/drain_meter.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

double DrainMeter::recent(Instant now) const {
  const double age = std::max(0.0, toSeconds(now - noted_at_));
  return recent_units_ * std::exp(-age / toSeconds(limits_.memory));
}

void DrainMeter::noteFinished(Instant now, double units) {
  recent_units_ = recent(now) + units;
  noted_at_ = now;
}

double DrainMeter::rate(Instant now) const {
  return recent(now) / toSeconds(limits_.memory);
}

Duration DrainMeter::timeToDrain(Instant now, double units) const {
  const double per_second = rate(now);
  if (units > per_second * toSeconds(limits_.longest)) return limits_.longest;
  const double wanted_seconds = per_second <= 0 ? 0 : units / per_second;
  return std::max(limits_.shortest, Duration(static_cast<Duration::rep>(wanted_seconds * 1e6)));
}

}  // namespace hatchfork::request
