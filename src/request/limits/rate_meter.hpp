#pragma once

#include "common/time.hpp"

namespace hatchfork::request {

/// Exponentially decaying average of a rate: units recorded `memory` ago have the weight 1/e. Callers pass the current
/// time. Not thread-safe.
class RateMeter {
 public:
  explicit RateMeter(Duration memory) : memory_(memory) {}

  void note(Instant now, double units);
  /// Units per second.
  double rate(Instant now) const;

 private:
  double recent(Instant now) const;

  Duration memory_;
  double recent_units_ = 0;
  Instant noted_at_{};
};

}  // namespace hatchfork::request
