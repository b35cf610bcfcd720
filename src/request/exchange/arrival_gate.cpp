#include "request/exchange/arrival_gate.hpp"

#include <algorithm>

namespace hatchfork::request {

bool ArrivalGate::admits(Duration objective, Duration waited, Duration expected_wait) const {
  if (objective <= Duration::zero()) return true;
  const double allowed = toSeconds(objective) * (1 + limits_.doubt);
  return toSeconds(waited + limits_.path_time + expected_wait) <= allowed;
}

Duration ArrivalGate::maxWait(Duration objective, Duration waited) const {
  const Duration allowed(static_cast<Duration::rep>(static_cast<double>(objective.count()) * (1 + limits_.doubt)));
  return allowed - waited - limits_.path_time;
}

Duration ArrivalGate::retryAfter(Duration expected_wait) {
  std::uniform_real_distribution<double> spread(1.0, 3.0);
  const Duration wanted(static_cast<Duration::rep>(toSeconds(expected_wait) * 1e6 * spread(random_)));
  return std::clamp(wanted, limits_.shortest_return, limits_.longest_return);
}

}  // namespace hatchfork::request
