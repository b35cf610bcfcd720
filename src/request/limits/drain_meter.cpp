#include "request/limits/drain_meter.hpp"

#include <algorithm>

namespace hatchfork::request {

Duration DrainMeter::timeToDrain(Instant now, double units) const {
  const double per_second = rate(now);
  if (units > per_second * toSeconds(limits_.longest)) return limits_.longest;
  const double wanted_seconds = per_second <= 0 ? 0 : units / per_second;
  return std::max(limits_.shortest, Duration(static_cast<Duration::rep>(wanted_seconds * 1e6)));
}

}  // namespace hatchfork::request
