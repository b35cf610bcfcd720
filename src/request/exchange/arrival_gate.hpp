#pragma once

#include <random>

#include "common/time.hpp"

namespace hatchfork::request {

struct ArrivalGateLimits {
  /// Upper bound of the time spent between gateway, engine and caller besides the expected wait at the engine.
  Duration path_overhead = fromMillis(60);
  /// A request is admitted even if it is expected to miss its objective by less than this share, since reported loads
  /// lag behind.
  double lateness_tolerance = 0.2;
  /// Bounds of the retry time given to a rejected caller.
  Duration min_retry_after = fromMillis(300);
  Duration max_retry_after = fromMillis(1500);
};

/// Decides at a request's arrival whether sending it to an engine is worthwhile. Engines serve requests in arrival
/// order, so under overload every request that is sent delays all later ones. A request that is rejected immediately
/// with a retry time can still meet its objective on the next try. Uses no clock. Not thread-safe.
class ArrivalGate {
 public:
  explicit ArrivalGate(std::uint64_t seed, ArrivalGateLimits limits = {}) : limits_(limits), random_(seed) {}

  /// True if the request can meet its objective, within the tolerance, after the expected wait at its engine. Requests
  /// without an objective are always admitted.
  bool admits(Duration objective, Duration waited, Duration expected_wait) const;
  /// Longest time that a request may still wait before its engine starts on it; zero or less if the objective can no
  /// longer be met.
  Duration maxWait(Duration objective, Duration waited) const;
  /// Returns the retry time for a rejected caller: the expected wait, with jitter so that callers do not retry in
  /// bursts, within the configured bounds.
  Duration retryAfter(Duration expected_wait);

 private:
  ArrivalGateLimits limits_;
  std::mt19937_64 random_;
};

}  // namespace hatchfork::request
