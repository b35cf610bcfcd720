#include "request/limits/adaptive_concurrency.hpp"

#include <algorithm>

namespace hatchfork::request {

AdaptiveConcurrency::AdaptiveConcurrency(AdaptiveConcurrencyOptions options, Duration first_token_target)
    : options_(options), target_(first_token_target), limit_(options.initial) {}

bool AdaptiveConcurrency::mayStart(std::uint32_t in_flight) const {
  return in_flight + 1 <= std::max(limit_, options_.lowest);
}

void AdaptiveConcurrency::recordFirstToken(Instant now, Duration first_token, std::uint32_t in_flight) {
  const double bound = toSeconds(target_) * options_.tolerance;
  if (toSeconds(first_token) > bound) {
    shrink(now);
    return;
  }
  const bool in_use = in_flight >= limit_ / 2;
  if (in_use) limit_ = std::min(options_.highest, limit_ + 1 / std::max(limit_, 1.0));
}

void AdaptiveConcurrency::recordFailure(Instant now) {
  shrink(now);
}

void AdaptiveConcurrency::shrink(Instant now) {
  if (ever_shrunk_ && now - shrunk_at_ < options_.cooldown) return;
  ever_shrunk_ = true;
  shrunk_at_ = now;
  limit_ = std::max(options_.lowest, limit_ * options_.decrease);
}

}  // namespace hatchfork::request
