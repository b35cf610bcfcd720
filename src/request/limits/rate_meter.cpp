#include "request/limits/rate_meter.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

double RateMeter::recent(Instant now) const {
  const double age = std::max(0.0, toSeconds(now - noted_at_));
  return recent_units_ * std::exp(-age / toSeconds(memory_));
}

void RateMeter::note(Instant now, double units) {
  recent_units_ = recent(now) + units;
  noted_at_ = now;
}

double RateMeter::rate(Instant now) const {
  return recent(now) / toSeconds(memory_);
}

}  // namespace hatchfork::request
