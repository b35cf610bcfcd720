#include "request/batch/lease_pacer.hpp"

namespace hatchfork::request {

bool LeasePacer::isDue(Instant now, bool wants_items, bool holds_items) const {
  if (in_flight_ || now < ask_again_at_) return false;
  const bool renewal_due = holds_items && (!sent_at_ || now >= *sent_at_ + options_.renew_interval);
  return wants_items || renewal_due;
}

void LeasePacer::recordSent(Instant now, bool wants_items) {
  sent_at_ = now;
  in_flight_ = true;
  asked_ = wants_items;
}

void LeasePacer::recordReply(Instant now, bool brought_items) {
  in_flight_ = false;
  if (!asked_) return;
  ask_again_at_ = now + (brought_items ? options_.busy_interval : options_.idle_interval);
}

void LeasePacer::recordFailure(Instant now) {
  in_flight_ = false;
  ask_again_at_ = now + options_.failure_pause;
}

}  // namespace hatchfork::request
