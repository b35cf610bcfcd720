#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace hatchfork::request {

/// Parameters of `RunTimeModel`.
struct RunTimeModelLimits {
  /// Weight of a new observation in the moving average.
  double learning_rate = 0.1;
  /// Runs with fewer events than this are too short for an estimate of the time per event.
  std::uint64_t min_events = 20;
  /// Observations are clamped to the average divided and multiplied by this factor.
  double max_outlier_ratio = 2;
  /// Lower bound of the remaining events, as a fraction of a whole run, for items with more events than the average.
  double min_remaining_fraction = 0.15;
  /// Time to start a run, in addition to its events.
  Duration start_cost = fromMillis(100);
};

/// Estimates the run times of batch items from moving averages of the time per event and of the number of events in a
/// whole run. Before the first observation, an initial estimate is used. Callers pass all times. Not thread-safe.
class RunTimeModel {
 public:
  explicit RunTimeModel(RunTimeModelLimits limits = {}) : limits_(limits) {}

  /// Sets the time of a whole run that is assumed until the first observation.
  void setInitialEstimate(Duration whole_time) { initial_estimate_ = whole_time; }
  /// Records a run that produced `events` events within `taken`, counted from its first event.
  void notePace(std::uint64_t events, Duration taken);
  /// Records an item that was completed with `events` events over all its runs.
  void noteCompletedItem(std::uint64_t events);
  /// Estimated remaining run time of an item that has produced `events_made` events.
  Duration remainingTime(std::uint64_t events_made) const;
  /// Estimated run time of an item from start to end.
  Duration totalRunTime() const { return remainingTime(0); }

 private:
  void updateMean(double& mean, double value) const;

  RunTimeModelLimits limits_;
  Duration initial_estimate_{};
  double event_ms_ = 0;
  double whole_events_ = 0;
};

}  // namespace hatchfork::request
