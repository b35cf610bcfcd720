#include "request/limits/deadline_gate.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Weight of a new sample in the exponential moving average.
constexpr double kSampleWeight = 0.1;
constexpr Duration kShortestRetry = fromMillis(250);

}  // namespace

void DeadlineGate::recordFirstToken(Duration first_token) {
  if (typical_.count() == 0) {
    typical_ = first_token;
    return;
  }
  const double smoothed = toSeconds(typical_) * (1 - kSampleWeight) + toSeconds(first_token) * kSampleWeight;
  typical_ = Duration(static_cast<Duration::rep>(smoothed * 1e6));
}

Status DeadlineGate::check(Instant now, std::optional<Instant> deadline) const {
  if (!deadline || now + typical_ < *deadline) return okStatus();
  return Error{ErrorKind::kDeadlineExceeded, "the request cannot be answered before its deadline",
               "set a deadline that is longer than the current time to first token, or retry after the stated time",
               Executed::kNo, std::max(typical_, kShortestRetry)};
}

}  // namespace hatchfork::request
