#include "request/batch/lease_pacer.hpp"

namespace hatchfork::request {

bool LeasePacer::isDue(Instant now, bool needs_items, bool holds_items) const {
  if (in_flight_ || now < next_request_at_) return false;
  const bool renewal_due = holds_items && (!sent_at_ || now >= *sent_at_ + options_.renew_interval);
  return needs_items || renewal_due;
}

void LeasePacer::recordSent(Instant now, bool needs_items) {
  sent_at_ = now;
  in_flight_ = true;
  requested_items_ = needs_items;
}

void LeasePacer::recordReply(Instant now, bool has_items) {
  in_flight_ = false;
  if (!requested_items_) return;
  next_request_at_ = now + (has_items ? options_.busy_interval : options_.idle_interval);
}

void LeasePacer::recordFailure(Instant now) {
  in_flight_ = false;
  next_request_at_ = now + options_.failure_pause;
}

}  // namespace hatchfork::request
