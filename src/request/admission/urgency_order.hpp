#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "common/time.hpp"
#include "request/limits/rate_meter.hpp"

/// Answers the load of a tenant over its limit whose routes are not equally urgent: without an order, the least urgent
/// take credits from the most urgent in proportion to what they send.
namespace hatchfork::request {

struct UrgencyOrderLimits {
  /// Part of the limit that less urgent requests may take while more urgent ones lack credits, so that they are served
  /// at all.
  double floor_part = 0.1;
  /// For how long less urgent requests stand back after a more urgent one has found no credit.
  Duration pressed_for = fromMillis(100);
  /// Time over which the floor is kept.
  Duration floor_memory = fromMillis(1000);
};

/// Which ranks may take the credits of one limit. No clock. Belongs to one thread.
class UrgencyOrder {
 public:
  explicit UrgencyOrder(UrgencyOrderLimits limits = {}) : limits_(limits), taken_below_(limits.floor_memory) {}

  /// True unless a more urgent request has lately found no credit, and less urgent ones have had their floor. `rate` is
  /// the limit; rank zero is the most urgent.
  bool mayTake(Instant now, std::uint32_t rank, double rate) const;
  void noteTaken(Instant now, std::uint32_t rank);
  void noteLacked(Instant now, std::uint32_t rank);

 private:
  /// Ranks from the last one on are taken for equal.
  static constexpr std::uint32_t kRanks = 8;

  bool isPressed(Instant now, std::uint32_t rank) const;

  UrgencyOrderLimits limits_;
  std::array<std::optional<Instant>, kRanks> lacked_at_{};
  /// What was taken by requests that a more urgent one pressed upon.
  RateMeter taken_below_;
};

}  // namespace hatchfork::request
