#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/time.hpp"
#include "request/batch/due_order.hpp"

namespace hatchfork::request {

/// A batch run at an engine whose place an online request needs.
struct PreemptionCandidate {
  /// Events that its item has made over all its runs.
  std::uint64_t events = 0;
  /// A later run can go on after the last event.
  bool can_resume = false;
  DueItem order;
};

struct PreemptionLimits {
  /// An item that gives way begins again this much later at the soonest.
  Duration away_for = fromMillis(200);
  /// An item has slack enough to give way while it has so many whole runs of it left afterwards.
  double least_slack_runs = 0.5;
};

/// Which run is to give way. Answers a wave of online requests that comes sooner than batch could leave: no run that
/// ends by itself within `needed_within` is cut; of those with slack enough the one with the least done; where none has
/// slack enough, the one with the most slack. Nothing if each of them ends in time by itself. `whole_time`: of a whole
/// run.
std::optional<std::size_t> choosePreemption(Instant now, const std::vector<PreemptionCandidate>& candidates,
                                            Duration needed_within, Duration whole_time,
                                            const PreemptionLimits& limits = {});

}  // namespace hatchfork::request
