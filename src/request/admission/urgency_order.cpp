#include "request/admission/urgency_order.hpp"

#include <algorithm>

namespace hatchfork::request {

bool UrgencyOrder::isDeferred(Instant now, std::uint32_t rank) const {
  const std::uint32_t own = std::min(rank, kRanks - 1);
  return std::any_of(lacked_at_.begin(), lacked_at_.begin() + own,
                     [&](const auto& lacked) { return lacked && now <= *lacked + limits_.deferred_for; });
}

bool UrgencyOrder::mayTake(Instant now, std::uint32_t rank, double rate) const {
  return !isDeferred(now, rank) || taken_while_deferred_.rate(now) < limits_.floor_share * rate;
}

void UrgencyOrder::noteTaken(Instant now, std::uint32_t rank) {
  if (isDeferred(now, rank)) taken_while_deferred_.note(now, 1);
}

void UrgencyOrder::noteLacked(Instant now, std::uint32_t rank) {
  lacked_at_[std::min(rank, kRanks - 1)] = now;
}

}  // namespace hatchfork::request
