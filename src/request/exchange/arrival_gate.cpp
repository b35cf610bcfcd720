#include "request/exchange/arrival_gate.hpp"

#include <algorithm>

namespace hatchfork::request {

bool ArrivalGate::admits(Duration objective, Duration waited, Duration expected_wait) const {
  if (objective <= Duration::zero()) return true;
  const double allowed = toSeconds(objective) * (1 + limits_.lateness_tolerance);
  return toSeconds(waited + limits_.path_overhead + expected_wait) <= allowed;
}

Duration ArrivalGate::maxWait(Duration objective, Duration waited) const {
  const Duration allowed(
      static_cast<Duration::rep>(static_cast<double>(objective.count()) * (1 + limits_.lateness_tolerance)));
  return allowed - waited - limits_.path_overhead;
}

Duration ArrivalGate::retryAfter(Duration expected_wait) {
  std::uniform_real_distribution<double> spread(1.0, 3.0);
  const Duration wanted(static_cast<Duration::rep>(toSeconds(expected_wait) * 1e6 * spread(random_)));
  return std::clamp(wanted, limits_.min_retry_after, limits_.max_retry_after);
}

}  // namespace hatchfork::request
