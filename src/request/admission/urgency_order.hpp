#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "common/time.hpp"
#include "request/limits/rate_meter.hpp"

/// Orders the requests of a tenant over its limit by the urgency of their routes. Without an order, the least urgent
/// requests take credits from the most urgent requests in proportion to their number.
namespace hatchfork::request {

struct UrgencyOrderLimits {
  /// Part of the limit that less urgent requests may use while more urgent requests lack credits, so that they are not
  /// starved.
  double floor_share = 0.1;
  /// How long less urgent requests are deferred after a more urgent request found no credit.
  Duration deferred_for = fromMillis(100);
  /// Averaging time of the rate compared with the floor.
  Duration floor_averaging_time = fromMillis(1000);
};

/// Decides which ranks may use the credits of one limit. No clock. Not thread-safe.
class UrgencyOrder {
 public:
  explicit UrgencyOrder(UrgencyOrderLimits limits = {})
      : limits_(limits), taken_while_deferred_(limits.floor_averaging_time) {}

  /// True unless a more urgent request recently found no credit and less urgent requests have used their floor. `rate`
  /// is the limit in credits per second; rank zero is the most urgent.
  bool mayTake(Instant now, std::uint32_t rank, double rate) const;
  void noteTaken(Instant now, std::uint32_t rank);
  void noteLacked(Instant now, std::uint32_t rank);

 private:
  /// Higher ranks count as the last rank.
  static constexpr std::uint32_t kRanks = 8;

  bool isDeferred(Instant now, std::uint32_t rank) const;

  UrgencyOrderLimits limits_;
  std::array<std::optional<Instant>, kRanks> lacked_at_{};
  /// Credits used by requests while a more urgent request lacked credits.
  RateMeter taken_while_deferred_;
};

}  // namespace hatchfork::request
