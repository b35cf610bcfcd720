#pragma once

#include <random>

#include "common/time.hpp"

namespace hatchfork::request {

struct ArrivalGateLimits {
  /// What passes between gateway, engine and caller beside the wait that is expected at the engine, at the most.
  Duration path_time = fromMillis(60);
  /// A request is taken though it will be late by less than this share of its objective: loads are known late.
  double doubt = 0.2;
  /// Bounds of the time in which a refused caller is to come back.
  Duration shortest_return = fromMillis(300);
  Duration longest_return = fromMillis(1500);
};

/// Decides at a request's arrival whether it is worth sending to an engine. Engines take requests in the order of their
/// arrival, so while more come than can be served, whatever is sent makes all later ones late; a request that is
/// refused at once, with a time to come back, can still be in time then. No clock. Belongs to one thread.
class ArrivalGate {
 public:
  explicit ArrivalGate(std::uint64_t seed, ArrivalGateLimits limits = {}) : limits_(limits), random_(seed) {}

  /// True if the request can still be in time, or nearly so, after the wait that is expected at its engine.
  bool admits(Duration objective, Duration waited, Duration expected_wait) const;
  /// How long a request may still wait before its engine begins with it; zero or less if it will be late anyway.
  Duration maxWait(Duration objective, Duration waited) const;
  /// When to come back: once the wait has passed, spread so that callers do not come back as one crowd.
  Duration retryAfter(Duration expected_wait);

 private:
  ArrivalGateLimits limits_;
  std::mt19937_64 random_;
};

}  // namespace hatchfork::request
