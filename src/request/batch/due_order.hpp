#pragma once

#include "common/time.hpp"

namespace hatchfork::request {

/// What the order of batch items is decided by.
struct DueItem {
  /// When its result is due.
  Instant due{};
  /// What it will still take once it runs.
  Duration time_left{};
};

/// Time that an item can still wait and be in time; negative once it can't be.
Duration slackOf(Instant now, const DueItem& item);

/// True if the item can't be in time even if it takes much less than expected.
bool cannotFinishInTime(Instant now, const DueItem& item);

/// True if `left` goes before `right`: items that can still be in time before those that can't, then by due time and
/// time left together, the lesser sum first. Of two that are due alike the one that is nearly done goes first: where
/// not all can be in time, more of them are. Items that can't be in time any more are not given up: they run where
/// nothing else wants the slot.
bool precedes(Instant now, const DueItem& left, const DueItem& right);

struct UrgencyLimits {
  /// An item is relaxed while its slack is above so many times the time of a whole run, and pressing below the lower.
  double relaxed_runs = 2.2;
  double pressing_runs = 0.5;
};

/// Zero for an item that can wait, or that is late whatever is done; one for an item that must run now.
double urgencyOf(Instant now, const DueItem& item, Duration whole_time, const UrgencyLimits& limits = {});

}  // namespace hatchfork::request
