#include "common/clock.hpp"

#include <time.h>

namespace hatchfork {

Instant bootClockNow() {
  timespec time{};
  // It fails only where the kernel has no such clock, which all since 2.6.39 have.
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(
      std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace hatchfork
