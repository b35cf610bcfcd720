#include "request/admission/pending_budget.hpp"

#include <algorithm>

namespace hatchfork::request {

PendingBudget::PendingBudget(std::size_t max_requests, std::size_t max_bytes)
    : max_requests_(max_requests), max_bytes_(max_bytes) {}

bool PendingBudget::tryEnter(std::size_t bytes) {
  if (requests_ >= max_requests_) return false;
  if (bytes > max_bytes_ - bytes_) return false;
  requests_ += 1;
  bytes_ += bytes;
  return true;
}

void PendingBudget::leave(std::size_t bytes) {
  requests_ -= std::min<std::size_t>(requests_, 1);
  bytes_ -= std::min(bytes_, bytes);
}

PendingReservation::PendingReservation(PendingBudget& budget, std::size_t bytes)
    : budget_(budget), bytes_(bytes), entered_(budget.tryEnter(bytes)) {}

PendingReservation::~PendingReservation() {
  if (entered_) budget_.leave(bytes_);
}

}  // namespace hatchfork::request
