#include "request/limits/rate_limit_owner.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// A new owner begins with the rate of this part of a window.
constexpr double kTakeoverPart = 0.04;
/// A bucket that nobody has asked for this long is full, or is worth no memory.
constexpr Duration kIdleLifetime = std::chrono::seconds(30);
/// Part of the tolerated excess that buckets hold above the burst.
constexpr double kBurstPartOfSlack = 0.5;

}  // namespace

void RateLimitOwner::noteTakeover(Instant now) {
  // After a window nothing counts any more that a predecessor granted.
  settled_at_ = now + options_.window;
}

double RateLimitOwner::capacityOf(const TenantLimits& limits) const {
  return std::max(1.0, limits.online_burst) + kBurstPartOfSlack * options_.slack;
}

RateLimitOwner::Bucket& RateLimitOwner::bucketOf(Instant now, const TenantId& tenant, const TenantLimits& limits) {
  const double capacity = capacityOf(limits);
  const auto [entry, is_new] = buckets_.try_emplace(tenant, Bucket{0, now, RateMeter(options_.window)});
  Bucket& bucket = entry->second;
  if (is_new) {
    const double takeover_seconds = kTakeoverPart * toSeconds(options_.window);
    const double unsettled =
        kBurstPartOfSlack * options_.slack / 2 + takeover_seconds * limits.online_requests_per_second;
    bucket.level = now < settled_at_ ? std::min(capacity, unsettled) : capacity;
    return bucket;
  }
  const double refill = limits.online_requests_per_second * std::max(0.0, toSeconds(now - bucket.updated_at));
  bucket.level = std::min(capacity, bucket.level + refill);
  bucket.updated_at = std::max(bucket.updated_at, now);
  return bucket;
}

CreditAnswer RateLimitOwner::answer(Instant now, const TenantId& tenant, const TenantLimits& limits,
                                    const CreditQuestion& question) {
  Bucket& bucket = bucketOf(now, tenant, limits);
  const double capacity = capacityOf(limits);
  CreditAnswer answer;
  answer.granted = std::floor(std::clamp(question.wanted, 0.0, std::max(0.0, bucket.level)));
  bucket.level -= answer.granted;
  bucket.used.note(now, answer.granted);
  answer.used_per_second = bucket.used.rate(now);
  answer.level = std::clamp(bucket.level / capacity, 0.0, 1.0);
  if (bucket.level < 1) {
    answer.wait = Duration(static_cast<Duration::rep>((1 - bucket.level) / limits.online_requests_per_second * 1e6));
  }
  return answer;
}

void RateLimitOwner::expire(Instant now) {
  std::erase_if(buckets_, [now](const auto& entry) { return now > entry.second.updated_at + kIdleLifetime; });
}

}  // namespace hatchfork::request
