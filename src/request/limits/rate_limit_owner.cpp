#include "request/limits/rate_limit_owner.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// Initial fill of the buckets of a new owner, as the requests that the rate allows in this fraction of a window.
constexpr double kTakeoverFraction = 0.04;
/// Time without requests after which a bucket is removed: it is full by then, or not worth its memory.
constexpr Duration kIdleLifetime = std::chrono::seconds(30);
/// Fraction of the tolerated excess that is added to the capacity of the buckets.
constexpr double kBurstFractionOfSlack = 0.5;
/// A bucket that holds less than the limit yields in this time grants no credits ahead, because unused credits at one
/// gateway would be missing at another one.
constexpr Duration kScarcityThreshold = fromMillis(100);

void add(RetryCounters& sum, const RetryCounters& part) {
  sum.promised += part.promised;
  sum.used += part.used;
  sum.lapsed += part.lapsed;
  sum.unkept += part.unkept;
  sum.refused_again += part.refused_again;
}

}  // namespace

void RateLimitOwner::noteTakeover(Instant now) {
  // Credits granted by the previous owner no longer count after one window.
  settled_at_ = now + options_.window;
}

double RateLimitOwner::capacityOf(const TenantLimits& limits) const {
  return std::max(1.0, limits.online_burst) + kBurstFractionOfSlack * options_.slack;
}

RateLimitOwner::Bucket& RateLimitOwner::bucketOf(Instant now, const TenantId& tenant, const TenantLimits& limits) {
  const double capacity = capacityOf(limits);
  const auto [entry, is_new] =
      buckets_.try_emplace(tenant, Bucket{0, now, RateMeter(options_.window), RetrySchedule()});
  Bucket& bucket = entry->second;
  if (is_new) {
    const double takeover_seconds = kTakeoverFraction * toSeconds(options_.window);
    const double unsettled =
        kBurstFractionOfSlack * options_.slack / 2 + takeover_seconds * limits.online_requests_per_second;
    bucket.level = now < settled_at_ ? std::min(capacity, unsettled) : capacity;
    bucket.schedule.assumeFullUntil(settled_at_);
    return bucket;
  }
  const double refill = limits.online_requests_per_second * std::max(0.0, toSeconds(now - bucket.updated_at));
  bucket.level = std::min(capacity, bucket.level + refill);
  bucket.updated_at = std::max(bucket.updated_at, now);
  return bucket;
}

/// Serves the most urgent rank first, and requests of equal rank in their order of arrival.
void RateLimitOwner::decideEntries(Instant now, Bucket& bucket, const TenantLimits& limits,
                                   const CreditRequest& credit_request, CreditResponse& answer) const {
  const double rate = limits.online_requests_per_second;
  std::vector<CreditRequestEntry> asks = credit_request.asks;
  std::stable_sort(asks.begin(), asks.end(),
                   [](const CreditRequestEntry& a, const CreditRequestEntry& b) { return a.rank < b.rank; });
  for (const CreditRequestEntry& ask : asks) {
    answer.replies.push_back(bucket.schedule.judge(now, ask, rate, capacityOf(limits), bucket.level));
    if (answer.replies.back().outcome != CreditOutcome::kGranted) continue;
    bucket.level -= 1;
    bucket.used.note(now, 1);
  }
}

CreditResponse RateLimitOwner::answer(Instant now, const TenantId& tenant, const TenantLimits& limits,
                                      const CreditRequest& credit_request) {
  Bucket& bucket = bucketOf(now, tenant, limits);
  const double rate = limits.online_requests_per_second;
  const double capacity = capacityOf(limits);
  CreditResponse answer;
  answer.supports_scheduled_retries = options_.appointments;
  double wanted = credit_request.wanted;
  double reserve = 0;
  if (options_.appointments) {
    const bool reports_arrivals = credit_request.arrivals > 0 || !credit_request.asks.empty();
    bucket.schedule.noteArrivals(now, reports_arrivals ? credit_request.arrivals : credit_request.wanted);
    decideEntries(now, bucket, limits, credit_request, answer);
    wanted -= static_cast<double>(credit_request.asks.size());
    const double kept = static_cast<double>(bucket.schedule.kept(now, rate, capacity));
    answer.is_scarce = bucket.level - kept < rate * toSeconds(kScarcityThreshold);
    // A gateway that reports no arrivals may have pending requests among the credits in `wanted`.
    reserve = kept + (reports_arrivals ? rate * toSeconds(kScarcityThreshold) : 0);
  }
  answer.granted = std::floor(std::clamp(wanted, 0.0, std::max(0.0, bucket.level - reserve)));
  bucket.level -= answer.granted;
  bucket.used.note(now, answer.granted);
  answer.used_per_second = bucket.used.rate(now);
  answer.level = std::clamp(bucket.level / capacity, 0.0, 1.0);
  const double missing = 1 - (bucket.level - std::min(reserve, bucket.level));
  if (missing > 0) answer.wait = Duration(static_cast<Duration::rep>(missing / rate * 1e6));
  return answer;
}

std::size_t RateLimitOwner::promised() const {
  std::size_t sum = 0;
  for (const auto& [tenant, bucket] : buckets_) sum += bucket.schedule.promised();
  return sum;
}

RetryCounters RateLimitOwner::returns() const {
  RetryCounters sum = removed_counters_;
  for (const auto& [tenant, bucket] : buckets_) add(sum, bucket.schedule.counters());
  return sum;
}

void RateLimitOwner::expire(Instant now) {
  std::erase_if(buckets_, [this, now](const auto& entry) {
    const bool is_idle = now > entry.second.updated_at + kIdleLifetime;
    if (is_idle) add(removed_counters_, entry.second.schedule.counters());
    return is_idle;
  });
}

}  // namespace hatchfork::request
