#include "request/limits/rate_limit_account.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hatchfork::request {
namespace {

/// Over which time arrivals are averaged that tell how many credits are needed soon. So long that a lone request asks
/// for no credit but its own.
constexpr Duration kArrivalMemory = fromMillis(1000);
/// Credits are held for the arrivals of this part of their lifetime.
constexpr double kAheadPart = 0.6;
/// The part of that stock below which more are asked for.
constexpr double kRefillBelow = 0.5;
/// Least and longest time for which a limit is taken for exhausted after its owner said so: bounds the questions of a
/// gateway for a tenant that is over its limit to ten a second.
constexpr Duration kShortestPause = fromMillis(100);
constexpr Duration kLongestPause = fromMillis(500);
/// While credits are so few that none is held ahead, a gateway asks the owner for those who wait no more often than
/// this. A quarter of most objectives is not reached by it, so that a refusal still comes early.
constexpr Duration kGatherFor = fromMillis(30);
/// An owner that did not answer is asked again after this long.
constexpr Duration kCutOffFor = fromMillis(300);
/// The bucket of the own part holds its rate of this part of a window. With as much that a new owner begins with, both
/// stay below the tenth of a window by which a limit may be exceeded.
constexpr double kOwnPartOfWindow = 0.04;
/// Callers are never told to stay away for longer.
constexpr Duration kLongestReturn = std::chrono::seconds(2);
constexpr Duration kIdleAfter = std::chrono::seconds(30);

}  // namespace

RateLimitAccount::RateLimitAccount(RateLimitOptions options)
    : options_(options), arrivals_(kArrivalMemory), admitted_(options.window), own_bucket_(0, 0) {}

void RateLimitAccount::noteArrival(Instant now) {
  arrivals_.note(now, 1);
  ++arrivals_untold_;
  arrived_at_ = now;
}

void RateLimitAccount::dropExpired(Instant now) {
  while (!lots_.empty() && now >= lots_.front().expires_at) lots_.pop_front();
}

double RateLimitAccount::stock() const {
  double credits = 0;
  for (const Lot& lot : lots_) credits += lot.credits;
  return credits;
}

bool RateLimitAccount::tryTake(Instant now) {
  dropExpired(now);
  if (lots_.empty()) return false;
  lots_.front().credits -= 1;
  if (lots_.front().credits < 1) lots_.pop_front();
  admitted_.note(now, 1);
  return true;
}

std::optional<CreditRequest> RateLimitAccount::nextRequest(Instant now, std::size_t waiting) {
  if (asked_at_ || isOverLimit(now) || isOwnerUnreachable(now)) return std::nullopt;
  if (now < ask_again_at_) return std::nullopt;
  dropExpired(now);
  const double ahead = std::floor(kAheadPart * toSeconds(options_.creditLifetime()) * arrivals_.rate(now));
  const double held = stock();
  if (waiting == 0 && held >= kRefillBelow * ahead) return std::nullopt;
  asked_at_ = now;
  CreditRequest credit_request{ahead - std::min(held, ahead) + static_cast<double>(waiting)};
  if (options_.appointments) credit_request.arrivals = std::exchange(arrivals_untold_, 0);
  return credit_request;
}

void RateLimitAccount::noteResponse(Instant now, const CreditResponse& answer) {
  const std::optional<Instant> asked_at = std::exchange(asked_at_, std::nullopt);
  cut_off_until_ = Instant{};
  answered_at_ = now;
  last_answer_ = answer;
  admitted_at_answer_ = admitted_.rate(now);
  if (!asked_at) {
    // The credit_request was given up long ago; its credits may be too old.
    return;
  }
  if (answer.granted >= 1) lots_.push_back(Lot{answer.granted, *asked_at + options_.creditLifetime()});
  if (answer.is_scarce) ask_again_at_ = *asked_at + kGatherFor;
  if (answer.supports_scheduled_retries) return;
  if (answer.granted < 1) over_limit_until_ = now + std::clamp(answer.wait, kShortestPause, kLongestPause);
}

/// Of one moment: measured against an older use, a part grows by what it admits itself, and the parts of all gateways
/// exceed the limit while a tenant's traffic rises and no owner answers.
double RateLimitAccount::ownPart() const {
  if (last_answer_.used_per_second <= 0) return 0;
  return std::min(1.0, admitted_at_answer_ / last_answer_.used_per_second);
}

void RateLimitAccount::noteNoResponse(Instant now, const TenantLimits& limits) {
  asked_at_.reset();
  cut_off_until_ = now + kCutOffFor;
  const double rate = limits.online_requests_per_second * ownPart();
  const double burst = std::max(1.0, kOwnPartOfWindow * toSeconds(options_.window) * rate);
  // A gateway that knows no use admits a single request.
  const double least_rate = 1e-3;
  if (now >= own_bucket_until_) {
    own_bucket_ = TokenBucket(std::max(least_rate, rate), burst);
  } else {
    own_bucket_.configure(std::max(least_rate, rate), burst);
  }
  // Filled anew only after a window with an owner in reach.
  own_bucket_until_ = now + options_.window;
}

bool RateLimitAccount::tryTakeLocalShare(Instant now) {
  if (!own_bucket_.tryTake(now)) return false;
  admitted_.note(now, 1);
  return true;
}

Duration RateLimitAccount::retryDelay(Instant now, const TenantLimits& limits) {
  const double rate = limits.online_requests_per_second * ownPart();
  const double pause_seconds = rate <= 0 ? toSeconds(kLongestReturn) : 1 / rate;
  const Duration pause(static_cast<Duration::rep>(std::min(pause_seconds, toSeconds(kLongestReturn)) * 1e6));
  next_return_ = std::min(std::max(now, next_return_) + pause, now + kLongestReturn);
  return std::max(next_return_ - now, kShortestPause);
}

bool RateLimitAccount::isIdle(Instant now) const {
  return now > arrived_at_ + kIdleAfter;
}

}  // namespace hatchfork::request
