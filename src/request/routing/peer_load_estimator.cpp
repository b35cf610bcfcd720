#include "request/routing/peer_load_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

void PeerLoadEstimator::recordReport(Instant now, std::uint32_t reported, std::uint32_t own) {
  own_samples_.push_back({now, own});
  const double difference = static_cast<double>(reported) - ownLoadAtReport(now);
  const bool known = reported_at_ && now - *reported_at_ <= options_.report_lifetime;
  if (!known) {
    mean_peer_load_ = difference;
  } else {
    const double passed = toSeconds(now - *reported_at_) / std::max(toSeconds(options_.averaging_time), 1e-6);
    mean_peer_load_ += (difference - mean_peer_load_) * (1 - std::exp(-passed));
  }
  reported_at_ = now;
}

std::uint32_t PeerLoadEstimator::ownLoadAtReport(Instant now) {
  const Instant then = now - options_.report_age;
  while (own_samples_.size() >= 2 && own_samples_[1].at <= then) own_samples_.pop_front();
  return own_samples_.front().in_flight;
}

double PeerLoadEstimator::estimate(Instant now) const {
  if (!reported_at_ || now - *reported_at_ > options_.report_lifetime) return 0;
  return std::max(0.0, mean_peer_load_);
}

}  // namespace hatchfork::request
