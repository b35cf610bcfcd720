#pragma once

#include <optional>

#include "common/result.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

/// Tracks the typical time to first token of a service and rejects requests whose deadline cannot be met. One instance
/// per service and traffic thread.
class DeadlineGate {
 public:
  /// `first_token`: time that the gateway measured from dispatch to the first byte of the answer.
  void recordFirstToken(Duration first_token);
  /// Returns `kDeadlineExceeded` with `Executed::kNo` and a retry time if `deadline` is earlier than the typical first
  /// token. Before the first sample, only deadlines in the past are rejected. Requests without a deadline always pass.
  Status check(Instant now, std::optional<Instant> deadline) const;
  /// Exponential moving average of the first-token time; zero before the first sample.
  Duration typicalFirstToken() const { return typical_; }

 private:
  Duration typical_{0};
};

}  // namespace hatchfork::request
