#include "request/routing/peer_load_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

void PeerLoadEstimator::recordReport(Instant now, std::uint32_t reported, std::uint32_t own) {
  own_.push_back({now, own});
  const double difference = static_cast<double>(reported) - ownThen(now);
  const bool known = reported_at_ && now - *reported_at_ <= options_.report_lifetime;
  if (!known) {
    average_ = difference;
  } else {
    const double passed = toSeconds(now - *reported_at_) / std::max(toSeconds(options_.averaging_time), 1e-6);
    average_ += (difference - average_) * (1 - std::exp(-passed));
  }
  reported_at_ = now;
}

std::uint32_t PeerLoadEstimator::ownThen(Instant now) {
  const Instant then = now - options_.report_age;
  while (own_.size() >= 2 && own_[1].at <= then) own_.pop_front();
  return own_.front().in_flight;
}

double PeerLoadEstimator::estimate(Instant now) const {
  if (!reported_at_ || now - *reported_at_ > options_.report_lifetime) return 0;
  return std::max(0.0, average_);
}

}  // namespace hatchfork::request
