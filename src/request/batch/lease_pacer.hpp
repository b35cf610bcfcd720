#pragma once

#include <optional>

#include "common/time.hpp"

namespace hatchfork::request {

/// Intervals of the lease requests.
struct LeasePacerOptions {
  /// Interval of lease renewals, regardless of whether more items are needed.
  Duration renew_interval = fromMillis(1000);
  /// Pause after a request that returned items.
  Duration busy_interval = fromMillis(50);
  /// Pause after a request that returned no items.
  Duration idle_interval = fromMillis(500);
  /// Pause after a failed request.
  Duration failure_pause = fromMillis(200);
};

/// Decides when a gateway sends a lease request to one batch group; `itemsToLease` determines the number of items.
/// Renewals and requests for items are timed independently: a renewal while no items are needed does not delay the next
/// request for items. Used by one traffic thread.
class LeasePacer {
 public:
  explicit LeasePacer(LeasePacerOptions options = {}) : options_(options) {}

  /// True if a request is to be sent now; never while one is in flight. `needs_items`: the request would ask for items;
  /// `holds_items`: there are leases to renew.
  bool isDue(Instant now, bool needs_items, bool holds_items) const;
  /// Ends the pause after a request without items, because the group has items again.
  void requestImmediately() { next_request_at_ = Instant{}; }

  /// Records that a request was sent. `needs_items`: the request asks for items.
  void recordSent(Instant now, bool needs_items);
  void recordReply(Instant now, bool has_items);
  void recordFailure(Instant now);

 private:
  LeasePacerOptions options_;
  std::optional<Instant> sent_at_;
  Instant next_request_at_{};
  bool in_flight_ = false;
  /// True if the last request asked for items.
  bool requested_items_ = false;
};

}  // namespace hatchfork::request
