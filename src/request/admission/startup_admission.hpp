#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "common/time.hpp"

namespace hatchfork::request {

/// A request that arrived at a gateway that cannot serve yet.
struct EarlyArrival {
  Instant received_at{};
  /// Time for which the caller will still wait, if the caller reported it.
  std::optional<Duration> remaining;
};

/// Decision on an early request: buffered until `until`, or refused at once.
struct StartupDecision {
  /// Empty if the request is refused.
  std::optional<Instant> until;
  /// Delay after which the caller should retry if the request is refused, now or at `until`.
  Duration come_back_after{};
};

/// Decides which requests a gateway buffers between its start and its first configuration. After a power loss or a
/// crash of the whole fleet under full traffic, each gateway accepts connections some hundred milliseconds before it
/// can serve, and a refusal sends a caller away for longer than the rest of the startup takes. A request is buffered
/// only for as long as its caller can still use the answer, and only while startup may end soon; later requests are
/// refused at once. No I/O, no clock.
class StartupAdmission {
 public:
  StartupAdmission(Instant started_at, std::uint64_t seed) : started_at_(started_at), random_(seed) {}

  StartupDecision decide(Instant now, const EarlyArrival& arrival);
  /// Retry delay for a caller refused now: after the expected end of the startup, with jitter so that not all callers
  /// retry at once.
  Duration comeBackAfter(Instant now);

 private:
  Instant started_at_;
  std::mt19937_64 random_;
};

}  // namespace hatchfork::request
