#pragma once

#include <cstddef>

namespace hatchfork::request {

/// Bounds what a gateway holds of requests that wait, by count and by bytes of their bodies, over all reasons to wait.
/// Answers the load of a surge or of a start in which more callers wait than the process has memory for: what does not
/// fit is refused at once.
class PendingBudget {
 public:
  PendingBudget(std::size_t most_requests, std::size_t most_bytes);

  /// Takes room for one request with a body of that size; false, and nothing is taken, if there is none.
  bool tryEnter(std::size_t bytes);
  /// Gives back what a successful `tryEnter` of the same size took.
  void leave(std::size_t bytes);

  std::size_t requests() const { return requests_; }
  std::size_t bytes() const { return bytes_; }

 private:
  std::size_t most_requests_;
  std::size_t most_bytes_;
  std::size_t requests_ = 0;
  std::size_t bytes_ = 0;
};

/// A place in the budget, given back when it goes out of scope. The budget outlives it.
class PendingReservation {
 public:
  /// Tries to enter; `entered` tells whether there was room.
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
