#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace hatchfork::request {

struct RunTimeModelLimits {
  /// Weight of a new observation against all older ones.
  double learning_rate = 0.1;
  /// Runs with fewer events than this tell little of the pace.
  std::uint64_t fewest_events = 20;
  /// One observation is taken to differ from what is known by this factor at most.
  double most_surprise = 2;
  /// An item that has made as many events as most do is taken to need this share of a whole run still.
  double least_share_left = 0.15;
  /// What a start costs beside the events.
  Duration start_cost = fromMillis(100);
};

/// How long runs of batch items take, learned from those that were seen: the pace of their events and how many there
/// are in a whole one. Before that a guess stands in their place. No clock. Belongs to one thread.
class RunTimeModel {
 public:
  explicit RunTimeModel(RunTimeModelLimits limits = {}) : limits_(limits) {}

  /// What a whole run is taken to last while none was seen.
  void setInitialEstimate(Duration whole_time) { guess_ = whole_time; }
  /// A run has made so many events in so long, from its first one on.
  void notePace(std::uint64_t events, Duration taken);
  /// An item is whole with so many events over all its runs.
  void noteCompletedItem(std::uint64_t events);
  /// What an item that has made so many events will still take.
  Duration remainingTime(std::uint64_t events_made) const;
  /// What an item takes from its start to its end.
  Duration totalRunTime() const { return remainingTime(0); }

 private:
  void learn(double& mean, double value) const;

  RunTimeModelLimits limits_;
  Duration guess_{};
  double event_ms_ = 0;
  double whole_events_ = 0;
};

}  // namespace hatchfork::request
