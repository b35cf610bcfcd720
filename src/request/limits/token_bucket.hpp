#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace hatchfork::request {

/// Token bucket that admits `rate` units per second and bursts of up to `burst` units. A rate of zero means unlimited.
/// Callers pass the current time. Not thread-safe.
class TokenBucket {
 public:
  TokenBucket() = default;
  TokenBucket(double rate, double burst);

  /// Changes the rate. The remaining units are kept, up to the new burst.
  void configure(double rate, double burst);
  /// Takes one unit; returns false if none is available.
  bool tryTake(Instant now);
  /// Time until one unit is available; zero if one is available now.
  Duration untilAvailable(Instant now) const;

 private:
  double available(Instant now) const;

  double rate_ = 0;
  double burst_ = 0;
  double units_ = 0;
  Instant updated_{};
  bool started_ = false;
};

}  // namespace hatchfork::request
