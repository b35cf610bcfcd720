#include "request/retry/retry_policy.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hatchfork::request {
namespace {

constexpr Duration kMinRetryAfter = fromMillis(250);

}  // namespace

RetryBudget::RetryBudget(RetryOptions options) : options_(options) {}

void RetryBudget::decay(Instant now) {
  if (started_ && now > updated_) {
    const double factor = std::exp2(-toSeconds(now - updated_) / toSeconds(options_.window));
    requests_ *= factor;
    retries_ *= factor;
  }
  updated_ = now;
  started_ = true;
}

void RetryBudget::recordRequest(Instant now) {
  decay(now);
  requests_ += 1;
}

bool RetryBudget::tryRetry(Instant now) {
  decay(now);
  const double floor = options_.budget_floor_per_second * toSeconds(options_.window);
  if (retries_ + 1 > requests_ * options_.budget_ratio + floor) return false;
  retries_ += 1;
  return true;
}

Duration RetryBudget::untilAvailable() const {
  return std::max(options_.window / 4, kMinRetryAfter);
}

RetryPolicy::RetryPolicy(RetryOptions options) : options_(options), budget_(options) {}

RetryDecision RetryPolicy::decide(Instant now, const RequestTraits& traits, const AttemptFailure& failure) {
  GiveUp give_up{failure.error};
  // A request is reported as not run only if no attempt can have run.
  const bool provably_not_run =
      failure.point == FailurePoint::kNotRun && failure.tokens_relayed == 0 && !failure.maybe_run_before;
  give_up.error.executed = provably_not_run ? Executed::kNo : Executed::kUnknown;
  if (!give_up.error.retry_after) give_up.error.retry_after = budget_.untilAvailable();
  const bool may_have_run = failure.point != FailurePoint::kNotRun;
  if (may_have_run && !traits.repeatable) {
    give_up.error.kind = ErrorKind::kOutcomeUnknown;
    give_up.error.remedy =
        "the request is marked as unrepeatable and may have run: check its effect before you repeat it";
    give_up.error.retry_after.reset();
    return give_up;
  }
  const bool needs_resume = failure.tokens_relayed > 0;
  if (needs_resume && !traits.resumable) return give_up;
  if (failure.attempts >= options_.most_attempts) return give_up;
  if (traits.deadline && now >= *traits.deadline) {
    give_up.error.kind = ErrorKind::kDeadlineExceeded;
    return give_up;
  }
  if (!budget_.tryRetry(now)) return give_up;
  if (needs_resume) return Resume{failure.tokens_relayed};
  return Retry{};
}

}  // namespace hatchfork::request
