#pragma once

#include <cstddef>

namespace hatchfork::request {

/// Bounds the pending requests of a gateway by count and by bytes of their bodies, over all reasons to wait. In a surge
/// or at startup, more callers may wait than the process has memory for; requests that do not fit are refused at once.
class PendingBudget {
 public:
  PendingBudget(std::size_t max_requests, std::size_t max_bytes);

  /// Reserves room for one request with a body of `bytes`. Returns false and reserves nothing if there is no room.
  bool tryEnter(std::size_t bytes);
  /// Releases the reservation of a successful `tryEnter` of the same size.
  void leave(std::size_t bytes);

  std::size_t requests() const { return requests_; }
  std::size_t bytes() const { return bytes_; }

 private:
  std::size_t max_requests_;
  std::size_t max_bytes_;
  std::size_t requests_ = 0;
  std::size_t bytes_ = 0;
};

/// Scoped reservation in the budget, released by the destructor. The budget must outlive the reservation.
class PendingReservation {
 public:
  /// Tries to reserve room; `entered` reports whether there was room.
  PendingReservation(PendingBudget& budget, std::size_t bytes);
  ~PendingReservation();
  PendingReservation(const PendingReservation&) = delete;
  PendingReservation& operator=(const PendingReservation&) = delete;

  bool entered() const { return entered_; }

 private:
  PendingBudget& budget_;
  std::size_t bytes_;
  bool entered_;
};

}  // namespace hatchfork::request
