#include "request/admission/startup_admission.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Usual time from the start of a gateway to its first configuration if the control processes have a leader or elect
/// one at once. A longer startup waits for some other cause, and its end cannot be predicted.
constexpr Duration kUsualStartup = fromMillis(600);
/// Upper bound of the buffering time, so that a request that is refused after all loses less time than by a retry.
constexpr Duration kMaxBuffering = fromMillis(400);
/// Divisor of the remaining time of a caller: a request is buffered for this part at most. The rest is for serving the
/// request, or for a retry.
constexpr int kRemainingDivisor = 3;
/// Least retry delay, and the range of its random jitter.
constexpr Duration kMinRetryDelay = fromMillis(250);
constexpr Duration kRetryJitter = fromMillis(500);

}  // namespace

StartupDecision StartupAdmission::decide(Instant now, const EarlyArrival& arrival) {
  Instant until = std::min(arrival.received_at + kMaxBuffering, started_at_ + kUsualStartup);
  if (arrival.remaining) until = std::min(until, arrival.received_at + *arrival.remaining / kRemainingDivisor);
  const Duration come_back_after = comeBackAfter(std::max(now, until));
  if (until <= now) return {std::nullopt, come_back_after};
  return {until, come_back_after};
}

Duration StartupAdmission::comeBackAfter(Instant now) {
  std::uniform_int_distribution<Duration::rep> jitter(0, kRetryJitter.count());
  const Duration until_usual_end = started_at_ + kUsualStartup - now;
  return std::max(kMinRetryDelay, until_usual_end) + Duration(jitter(random_));
}

}  // namespace hatchfork::request
