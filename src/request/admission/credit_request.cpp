#include "request/admission/credit_request.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Divisor of the latency objective: a request may wait this part of the objective before it runs. The rest is for the
/// engine and for network transit.
constexpr int kObjectiveDivisor = 2;
/// Divisor of the remaining time: a request waits this part for a late answer. Beyond that, too little time is left to
/// run it.
constexpr int kRemainingDivisor = 2;
/// Divisor of a caller's remaining time: callers accept a retry delay of a third of the time that they still wait.
constexpr int kRetryDelayDivisor = 3;
/// Margin subtracted from the retry delay, so that the caller can keep to the reported time.
constexpr Duration kRetryDelayMargin = fromMillis(10);

}  // namespace

CreditRequestEntry creditRequestFor(Duration objective, Duration left, Duration caller_left) {
  CreditRequestEntry ask;
  ask.max_useful_wait = std::max(Duration::zero(), left / kRemainingDivisor);
  ask.max_timely_wait = std::min(objective / kObjectiveDivisor, ask.max_useful_wait);
  ask.away = std::max(Duration::zero(), caller_left / kRetryDelayDivisor - kRetryDelayMargin);
  return ask;
}

std::uint64_t contentHash(const RequestContent& content) {
  std::uint64_t number = 0;
  for (const std::string_view part : {content.caller, content.method, content.host, content.target, content.body}) {
    number = XXH3_64bits_withSeed(part.data(), part.size(), number + part.size());
  }
  return number;
}

}  // namespace hatchfork::request
