#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/time.hpp"
#include "request/batch/due_order.hpp"

namespace hatchfork::request {

/// A batch run whose slot an online request needs.
struct PreemptionCandidate {
  /// Number of events that the item has produced over all its runs.
  std::uint64_t events = 0;
  /// True if a later run can resume after the last event.
  bool can_resume = false;
  DueItem order;
};

struct PreemptionLimits {
  /// Least delay before a preempted item starts again.
  Duration min_restart_delay = fromMillis(200);
  /// An item has enough slack to be preempted if its slack afterwards is at least this number of whole runs.
  double min_slack_runs = 0.5;
};

/// Returns the index of the run to preempt for an online request. Online load can rise faster than batch runs finish. A
/// run that ends by itself within `needed_within` is never chosen. Of the runs with enough slack, the run with the
/// least progress is chosen; if no run has enough slack, the run with the most slack. Empty if each run ends in time by
/// itself. `whole_time` is the duration of a whole run.
std::optional<std::size_t> choosePreemption(Instant now, const std::vector<PreemptionCandidate>& candidates,
                                            Duration needed_within, Duration whole_time,
                                            const PreemptionLimits& limits = {});

}  // namespace hatchfork::request
