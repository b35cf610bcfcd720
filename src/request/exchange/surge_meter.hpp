#pragma once

#include <deque>

#include "common/time.hpp"

namespace hatchfork::request {

struct SurgeMeterLimits {
  /// A surge is how far the count rises within this time: about as long as room is made late.
  Duration window = fromMillis(300);
  /// Counts closer together than this are one.
  Duration sample_interval = fromMillis(20);
  /// The largest surge counts half after this long.
  Duration half_life = std::chrono::seconds(10);
};

/// Measures how fast the number of online requests in flight rises at its worst, so that as many slots can be kept free
/// for them. No clock. Belongs to one thread.
class SurgeMeter {
 public:
  explicit SurgeMeter(SurgeMeterLimits limits = {}) : limits_(limits) {}

  void note(Instant now, double in_flight);
  /// The largest rise within the window, of late.
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
