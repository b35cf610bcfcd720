#include "request/batch/run_time_model.hpp"

#include <algorithm>

namespace hatchfork::request {

void RunTimeModel::learn(double& mean, double value) const {
  if (mean == 0) {
    mean = value;
    return;
  }
  const double taken = std::clamp(value, mean / limits_.most_surprise, mean * limits_.most_surprise);
  mean += limits_.learning_rate * (taken - mean);
}

void RunTimeModel::notePace(std::uint64_t events, Duration taken) {
  if (events < limits_.fewest_events) return;
  learn(event_ms_, toSeconds(taken) * 1000 / static_cast<double>(events));
}

void RunTimeModel::noteCompletedItem(std::uint64_t events) {
  if (events > 0) learn(whole_events_, static_cast<double>(events));
}

Duration RunTimeModel::remainingTime(std::uint64_t events_made) const {
  if (whole_events_ == 0) return guess_;
  const double least = whole_events_ * limits_.least_share_left;
  const double left = std::max(least, whole_events_ - static_cast<double>(events_made));
  const double event_ms = event_ms_ == 0 ? toSeconds(guess_) * 1000 / whole_events_ : event_ms_;
  return limits_.start_cost + Duration(static_cast<Duration::rep>(left * event_ms * 1000));
}

}  // namespace hatchfork::request
