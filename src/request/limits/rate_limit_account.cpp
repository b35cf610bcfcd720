#include "request/limits/rate_limit_account.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hatchfork::request {
namespace {

/// Averaging time of the arrival rate from which the expected need of credits is derived. Long enough that a single
/// request does not cause credits to be requested ahead.
constexpr Duration kArrivalAveragingTime = fromMillis(1000);
/// Credits are requested ahead for the arrivals expected in this fraction of the credit lifetime.
constexpr double kPrefetchFraction = 0.6;
/// More credits are requested when fewer than this fraction of the prefetched credits is left.
constexpr double kRefillThreshold = 0.5;
/// Shortest and longest time for which a limit counts as exhausted after its owner has reported so. Bounds the credit
/// requests of a gateway for a tenant over its limit to ten per second.
constexpr Duration kShortestPause = fromMillis(100);
constexpr Duration kLongestPause = fromMillis(500);
/// Shortest interval between two credit requests while credits are too scarce to be granted ahead; pending requests are
/// batched meanwhile. Less than a quarter of most latency targets, so that rejections are still returned early.
constexpr Duration kBatchingInterval = fromMillis(30);
/// Time after which a credit request is sent again to an owner that did not answer.
constexpr Duration kUnreachableRetryInterval = fromMillis(300);
/// Capacity of the local bucket, as the requests that its rate allows in this fraction of a window. A new owner starts
/// with the same amount; the sum of both stays below the tenth of a window by which a limit may be exceeded.
constexpr double kLocalBurstFraction = 0.04;
/// A report of usage below this fraction of the decayed last one comes from an owner that has started anew. The margin
/// covers responses that arrive late.
constexpr double kNewOwnerFraction = 0.8;
/// Upper bound of the retry delay that callers receive.
constexpr Duration kLongestRetryDelay = std::chrono::seconds(2);
/// Time without arrivals after which an account is idle.
constexpr Duration kIdleAfter = std::chrono::seconds(30);

}  // namespace

RateLimitAccount::RateLimitAccount(RateLimitOptions options)
    : options_(options), arrivals_(kArrivalAveragingTime), admitted_(options.window), local_bucket_(0, 0) {}

void RateLimitAccount::noteArrival(Instant now) {
  arrivals_.note(now, 1);
  ++unreported_arrivals_;
  arrived_at_ = now;
}

void RateLimitAccount::dropExpired(Instant now) {
  while (!batches_.empty() && now >= batches_.front().expires_at) batches_.pop_front();
}

double RateLimitAccount::heldCredits() const {
  double credits = 0;
  for (const CreditBatch& batch : batches_) credits += batch.credits;
  return credits;
}

bool RateLimitAccount::tryTake(Instant now) {
  dropExpired(now);
  if (batches_.empty()) return false;
  batches_.front().credits -= 1;
  if (batches_.front().credits < 1) batches_.pop_front();
  admitted_.note(now, 1);
  return true;
}

std::optional<CreditRequest> RateLimitAccount::nextRequest(Instant now, std::size_t waiting) {
  if (request_sent_at_ || isOverLimit(now) || isOwnerUnreachable(now)) return std::nullopt;
  if (now < next_request_at_) return std::nullopt;
  dropExpired(now);
  const double ahead = std::floor(kPrefetchFraction * toSeconds(options_.creditLifetime()) * arrivals_.rate(now));
  const double held = heldCredits();
  if (waiting == 0 && held >= kRefillThreshold * ahead) return std::nullopt;
  request_sent_at_ = now;
  CreditRequest credit_request{ahead - std::min(held, ahead) + static_cast<double>(waiting)};
  if (options_.appointments) credit_request.arrivals = std::exchange(unreported_arrivals_, 0);
  return credit_request;
}

void RateLimitAccount::noteResponse(Instant now, const CreditResponse& answer) {
  const std::optional<Instant> sent_at = std::exchange(request_sent_at_, std::nullopt);
  unreachable_until_ = Instant{};
  noteUsage(now, answer.used_per_second);
  last_response_at_ = now;
  last_response_ = answer;
  admitted_at_response_ = admitted_.rate(now);
  if (!sent_at) {
    // The request has timed out before; its credits may have expired.
    return;
  }
  if (answer.granted >= 1) batches_.push_back(CreditBatch{answer.granted, *sent_at + options_.creditLifetime()});
  if (answer.is_scarce) next_request_at_ = *sent_at + kBatchingInterval;
  if (answer.supports_scheduled_retries) return;
  if (answer.granted < 1) over_limit_until_ = now + std::clamp(answer.wait, kShortestPause, kLongestPause);
}

void RateLimitAccount::noteUsage(Instant now, double used_per_second) {
  if (!last_response_at_) return;
  const double decay = std::exp(-toSeconds(now - *last_response_at_) / toSeconds(options_.window));
  const double expected = last_response_.used_per_second * decay;
  used_at_earlier_owners_ *= decay;
  if (used_per_second < kNewOwnerFraction * expected) used_at_earlier_owners_ += expected;
}

/// Both rates are of the same moment. If the current local rate were divided by an older fleet-wide rate, the share
/// would grow with each request admitted locally, and the shares of all gateways would exceed the limit while the
/// traffic of a tenant increases and no owner answers.
double RateLimitAccount::localShare() const {
  const double used = last_response_.used_per_second + used_at_earlier_owners_;
  if (used <= 0) return 0;
  return std::min(1.0, admitted_at_response_ / used);
}

void RateLimitAccount::noteNoResponse(Instant now, const TenantLimits& limits) {
  request_sent_at_.reset();
  unreachable_until_ = now + kUnreachableRetryInterval;
  const double rate = limits.online_requests_per_second * localShare();
  const double burst = std::max(1.0, kLocalBurstFraction * toSeconds(options_.window) * rate);
  // A gateway that has not received any usage admits a single request.
  const double lowest_rate = 1e-3;
  if (now >= local_bucket_until_) {
    local_bucket_ = TokenBucket(std::max(lowest_rate, rate), burst);
  } else {
    local_bucket_.configure(std::max(lowest_rate, rate), burst);
  }
  // The bucket is refilled only after a window in which the owner was reachable.
  local_bucket_until_ = now + options_.window;
}

bool RateLimitAccount::tryTakeLocalShare(Instant now) {
  return local_bucket_.tryTake(now);
}

Duration RateLimitAccount::retryDelay(Instant now, const TenantLimits& limits) {
  const double rate = limits.online_requests_per_second * localShare();
  const double pause_seconds = rate <= 0 ? toSeconds(kLongestRetryDelay) : 1 / rate;
  const Duration pause(static_cast<Duration::rep>(std::min(pause_seconds, toSeconds(kLongestRetryDelay)) * 1e6));
  next_retry_at_ = std::min(std::max(now, next_retry_at_) + pause, now + kLongestRetryDelay);
  return std::max(next_retry_at_ - now, kShortestPause);
}

bool RateLimitAccount::isIdle(Instant now) const {
  return now > arrived_at_ + kIdleAfter;
}

}  // namespace hatchfork::request
