#pragma once

#include <optional>

#include "common/time.hpp"

namespace hatchfork::request {

struct LeasePacerOptions {
  /// Leases are renewed this often, whether or not more items are wanted.
  Duration renew_interval = fromMillis(1000);
  /// Pause between two requests for items after one that brought some, and after one that brought none.
  Duration busy_interval = fromMillis(50);
  Duration idle_interval = fromMillis(500);
  Duration failure_pause = fromMillis(200);
};

/// Decides when a gateway asks one batch group for items; `itemsToLease` tells for how many. Renewals and requests for
/// items have clocks of their own: a renewal while nothing is wanted does not put off the next request. One traffic
/// thread.
class LeasePacer {
 public:
  explicit LeasePacer(LeasePacerOptions options = {}) : options_(options) {}

  /// Whether to send a request now; `wants_items` tells whether it would ask for some. None is due while one is under
  /// way.
  bool isDue(Instant now, bool wants_items, bool holds_items) const;
  /// The group has items again: the pause after a request that brought none ends.
  void requestImmediately() { ask_again_at_ = Instant{}; }

  void recordSent(Instant now, bool wants_items);
  void recordReply(Instant now, bool brought_items);
  void recordFailure(Instant now);

 private:
  LeasePacerOptions options_;
  std::optional<Instant> sent_at_;
  Instant ask_again_at_{};
  bool in_flight_ = false;
  bool asked_ = false;
};

}  // namespace hatchfork::request
