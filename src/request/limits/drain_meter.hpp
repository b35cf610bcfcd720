#pragma once

#include "common/time.hpp"

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
  explicit DrainMeter(DrainMeterLimits limits = {}) : limits_(limits) {}

  void noteFinished(Instant now, double units);
  /// Units a second, lately.
  double rate(Instant now) const;
  /// When so many units will have been finished at the rate of late; the longest time while nothing is.
  Duration timeToDrain(Instant now, double units) const;

 private:
  double recent(Instant now) const;

  DrainMeterLimits limits_;
  double recent_units_ = 0;
  Instant noted_at_{};
};

}  // namespace hatchfork::request
