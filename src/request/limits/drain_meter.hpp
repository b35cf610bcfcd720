#pragma once

#include "common/time.hpp"
#include "request/limits/rate_meter.hpp"

namespace hatchfork::request {

struct DrainMeterLimits {
  /// What was finished so long ago counts by 1/e.
  Duration memory = std::chrono::seconds(4);
  /// Bounds of the times that are told.
  Duration shortest = fromMillis(200);
  Duration longest = std::chrono::seconds(20);
};

/// Measures how fast waiting work is finished, so that whoever is refused can be told when there will be room. No
/// clock. Belongs to one thread.
class DrainMeter {
 public:
  explicit DrainMeter(DrainMeterLimits limits = {}) : limits_(limits), finished_(limits.memory) {}

  void noteFinished(Instant now, double units) { finished_.note(now, units); }
  /// Units a second, lately.
  double rate(Instant now) const { return finished_.rate(now); }
  /// When so many units will have been finished at the rate of late; the longest time while nothing is.
  Duration timeToDrain(Instant now, double units) const;

 private:
  DrainMeterLimits limits_;
  RateMeter finished_;
};

}  // namespace hatchfork::request
