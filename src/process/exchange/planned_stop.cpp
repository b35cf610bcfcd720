#include "process/exchange/planned_stop.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::exchange {

namespace {

constexpr Duration kAcceptFor = fromMillis(3200);
/// Requests of any length are taken for this time. Callers may rely on 3 s from the signal, which arrives with a delay.
constexpr Duration kTakeAllFor = fromMillis(2800);
/// The same as a share of a short grace period.
constexpr int kTakeAllPercent = 35;
/// Safety margin before the process is killed.
constexpr Duration kExitMargin = fromMillis(150);
/// Time to send the answers of requests that the stop ends.
constexpr Duration kAnswerTime = fromMillis(100);

}  // namespace

PlannedStop::Registration::Registration(PlannedStop& stop, EndRequest end_request)
    : stop_(stop), place_(stop.running_.insert(stop.running_.end(), std::move(end_request))) {}

PlannedStop::Registration::~Registration() {
  stop_.running_.erase(place_);
}

Instant PlannedStop::acceptsUntil() const {
  return *began_at_ + std::min(kAcceptFor, grace_ / 2);
}

Instant PlannedStop::exitsAt() const {
  return *began_at_ + grace_ - kExitMargin;
}

Instant PlannedStop::endsRequestsAt() const {
  return exitsAt() - kAnswerTime;
}

bool PlannedStop::mayRun(Instant received_at, Instant deadline) const {
  if (!began_at_) return true;
  if (has_ended_requests_) return false;
  const Duration takes_all_for = std::min(kTakeAllFor, grace_ * kTakeAllPercent / 100);
  const bool is_early = received_at <= *began_at_ + takes_all_for;
  return is_early || deadline <= endsRequestsAt();
}

void PlannedStop::endRequests() {
  has_ended_requests_ = true;
  for (const EndRequest& end_request : running_) end_request();
}

}  // namespace hatchfork::exchange
