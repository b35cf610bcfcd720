#pragma once

#include <chrono>
#include <cstdint>

namespace hatchfork {

/// Time unit of the whole code base: microseconds, signed 64 bit.
using Duration = std::chrono::microseconds;

/// Tag clock of the monotonic time line. The decision code never reads a clock: drivers pass `Instant` values in,
/// taken from the operating system's monotonic clock in the programs and from virtual time in the simulator.
struct MonotonicTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTimeline>;
  static constexpr bool is_steady = true;
};

/// A point on one process's monotonic time line. Not comparable between processes.
using Instant = MonotonicTimeline::time_point;

/// Milliseconds since the Unix epoch. Only for records that people read and for retention, never for leases.
using WallMillis = std::int64_t;

/// Whole milliseconds of a duration, rounded down.
constexpr std::int64_t toMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Seconds of a duration as a floating point number, for rates and reports.
constexpr double toSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

constexpr Duration fromMillis(std::int64_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace hatchfork
