#pragma once

#include <deque>

#include "common/time.hpp"

namespace hatchfork::request {

struct SurgeMeterLimits {
  /// A surge is the rise of the count within this time, which is about the delay with which room is made.
  Duration window = fromMillis(300);
  /// Counts closer together than this are ignored.
  Duration sample_interval = fromMillis(20);
  /// Half-life of the largest surge.
  Duration half_life = std::chrono::seconds(10);
};

/// Measures the steepest recent rise of the number of online requests in flight, so that enough slots can be kept free
/// for the next one. Uses no clock. Not thread-safe.
class SurgeMeter {
 public:
  explicit SurgeMeter(SurgeMeterLimits limits = {}) : limits_(limits) {}

  void note(Instant now, double in_flight);
  /// Returns the largest recent rise within the window, decayed by its age.
  double surge(Instant now) const;

 private:
  struct Sample {
    Instant at;
    double in_flight;
  };

  SurgeMeterLimits limits_;
  std::deque<Sample> samples_;
  double largest_ = 0;
  Instant largest_at_{};
};

}  // namespace hatchfork::request
