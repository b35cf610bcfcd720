#include "connection/suspension_watch.hpp"

#include <chrono>

#include "common/clock.hpp"
#include "common/log.hpp"

namespace hatchfork::connection {

namespace {

/// Shorter differences are those of two readings one after the other.
constexpr Duration kShortestTold = fromMillis(100);

}  // namespace

void SuspensionWatch::look() {
  const auto steady = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  const Duration ahead = bootClockNow().time_since_epoch() - steady;
  if (ahead_ && ahead > *ahead_ + kShortestTold) {
    logEvent(LogLevel::kWarning, "machine_suspended", {{"for_ms", toMillis(ahead - *ahead_)}});
  }
  ahead_ = ahead;
}

}  // namespace hatchfork::connection
