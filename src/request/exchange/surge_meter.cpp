#include "request/exchange/surge_meter.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

double SurgeMeter::surge(Instant now) const {
  const double age = std::max(0.0, toSeconds(now - largest_at_)) / toSeconds(limits_.half_life);
  return largest_ * std::pow(0.5, age);
}

void SurgeMeter::note(Instant now, double in_flight) {
  if (!samples_.empty() && now < samples_.back().at + limits_.sample_interval) return;
  while (!samples_.empty() && samples_.front().at + limits_.window < now) samples_.pop_front();
  double least = in_flight;
  for (const Sample& sample : samples_) least = std::min(least, sample.in_flight);
  samples_.push_back({now, in_flight});
  const double rise = in_flight - least;
  if (rise < surge(now)) return;
  largest_ = rise;
  largest_at_ = now;
}

}  // namespace hatchfork::request
