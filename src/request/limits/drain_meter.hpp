#pragma once

#include "common/time.hpp"
#include "request/limits/rate_meter.hpp"

namespace hatchfork::request {

struct DrainMeterLimits {
  /// Time constant of the exponential decay: work finished this long ago has the weight 1/e.
  Duration memory = std::chrono::seconds(4);
  /// Bounds of the estimates that `timeToDrain` returns.
  Duration shortest = fromMillis(200);
  Duration longest = std::chrono::seconds(20);
};

/// Measures how fast queued work is finished, in order to estimate the retry time of rejected requests. Callers pass
/// the current time. Not thread-safe.
class DrainMeter {
 public:
  explicit DrainMeter(DrainMeterLimits limits = {}) : limits_(limits), finished_(limits.memory) {}

  void noteFinished(Instant now, double units) { finished_.note(now, units); }
  /// Decaying average in units per second.
  double rate(Instant now) const { return finished_.rate(now); }
  /// Returns the estimated time to finish `units` at the current rate, within `shortest` and `longest`; `longest` if
  /// nothing has been finished recently.
  Duration timeToDrain(Instant now, double units) const;

 private:
  DrainMeterLimits limits_;
  RateMeter finished_;
};

}  // namespace hatchfork::request
