#include "request/batch/run_time_model.hpp"

#include <algorithm>

namespace hatchfork::request {

void RunTimeModel::updateMean(double& mean, double value) const {
  if (mean == 0) {
    mean = value;
    return;
  }
  const double taken = std::clamp(value, mean / limits_.max_outlier_ratio, mean * limits_.max_outlier_ratio);
  mean += limits_.learning_rate * (taken - mean);
}

void RunTimeModel::notePace(std::uint64_t events, Duration taken) {
  if (events < limits_.min_events) return;
  updateMean(event_ms_, toSeconds(taken) * 1000 / static_cast<double>(events));
}

void RunTimeModel::noteCompletedItem(std::uint64_t events) {
  if (events > 0) updateMean(whole_events_, static_cast<double>(events));
}

Duration RunTimeModel::remainingTime(std::uint64_t events_made) const {
  if (whole_events_ == 0) return initial_estimate_;
  const double min_left = whole_events_ * limits_.min_remaining_fraction;
  const double left = std::max(min_left, whole_events_ - static_cast<double>(events_made));
  const double event_ms = event_ms_ == 0 ? toSeconds(initial_estimate_) * 1000 / whole_events_ : event_ms_;
  return limits_.start_cost + Duration(static_cast<Duration::rep>(left * event_ms * 1000));
}

}  // namespace hatchfork::request
