#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace hatchfork::request {

/// Bounds and step sizes of the concurrency limit. The limit counts requests in flight.
struct AdaptiveConcurrencyOptions {
  double lowest = 1;
  double highest = 1024;
  double initial = 16;
  /// A first-token time above the target times this factor decreases the limit.
  double tolerance = 1.0;
  /// Factor applied to the limit on a slow or failed request, at most once per `cooldown`.
  double decrease = 0.9;
  Duration cooldown = fromMillis(200);
};

/// Additive-increase, multiplicative-decrease (AIMD) limit on the requests in flight at one engine. Compares observed
/// first-token times with the target of the service. The limit increases only while at least half of it is in use.
class AdaptiveConcurrency {
 public:
  AdaptiveConcurrency(AdaptiveConcurrencyOptions options, Duration first_token_target);

  /// Returns true if another request may start while `in_flight` requests are running.
  bool mayStart(std::uint32_t in_flight) const;
  void recordFirstToken(Instant now, Duration first_token, std::uint32_t in_flight);
  /// A failed or timed-out attempt decreases the limit as a slow first token does.
  void recordFailure(Instant now);
  double limit() const { return limit_; }

 private:
  void shrink(Instant now);

  AdaptiveConcurrencyOptions options_;
  Duration target_;
  double limit_;
  Instant shrunk_at_{};
  bool ever_shrunk_ = false;
};

}  // namespace hatchfork::request
