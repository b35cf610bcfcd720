#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "common/time.hpp"

namespace hatchfork::request {

/// A request that came to a gateway that can't serve yet.
struct EarlyArrival {
  Instant received_at{};
  /// How long the caller will still wait, where it told so.
  std::optional<Duration> remaining;
};

/// What to do with it. Held until `until`, or refused at once.
struct StartupDecision {
  /// Absent: refused.
  std::optional<Instant> until;
  /// Refused, now or at `until`: when the caller is to come back.
  Duration come_back_after{};
};

/// Decides which requests a gateway holds that has started and knows no configuration yet. Answers the load of a whole
/// fleet that lost power or was killed under full traffic: each gateway takes its callers again some hundred
/// milliseconds before it can serve them, and a refusal sends each away for longer than the rest of the start takes. A
/// request is held only within what its caller can use, and only while the start may still end soon; later ones are
/// refused at once. No I/O, no clock.
class StartupAdmission {
 public:
  StartupAdmission(Instant started_at, std::uint64_t seed) : started_at_(started_at), random_(seed) {}

  StartupDecision decide(Instant now, const EarlyArrival& arrival);
  /// When a caller is to come back that is refused now: after the expected end of the start, not all at once.
  Duration comeBackAfter(Instant now);

 private:
  Instant started_at_;
  std::mt19937_64 random_;
};

}  // namespace hatchfork::request
