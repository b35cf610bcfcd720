#include "request/limits/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

TokenBucket::TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), units_(burst) {}

void TokenBucket::configure(double rate, double burst) {
  const bool was_unlimited = rate_ <= 0;
  rate_ = rate;
  burst_ = burst;
  units_ = was_unlimited ? burst : std::min(units_, burst);
}

double TokenBucket::available(Instant now) const {
  if (!started_) return units_;
  return std::min(burst_, units_ + rate_ * std::max(0.0, toSeconds(now - updated_)));
}

bool TokenBucket::tryTake(Instant now) {
  if (rate_ <= 0) return true;
  units_ = available(now);
  updated_ = now;
  started_ = true;
  if (units_ < 1) return false;
  units_ -= 1;
  return true;
}

Duration TokenBucket::untilAvailable(Instant now) const {
  if (rate_ <= 0) return Duration(0);
  const double missing = 1 - available(now);
  if (missing <= 0) return Duration(0);
  return Duration(static_cast<Duration::rep>(std::ceil(missing / rate_ * 1e6)));
}

}  // namespace hatchfork::request
