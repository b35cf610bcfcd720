#pragma once

#include "common/time.hpp"

namespace hatchfork::request {

/// Values that determine the order of batch items.
struct DueItem {
  /// Time at which the result is due; `Instant::max()` if there is no due time.
  Instant due{};
  /// Estimated remaining run time.
  Duration time_left{};
};

/// Returns the longest time that an item can still wait and be finished in time; negative if the item will be late.
Duration slackOf(Instant now, const DueItem& item);

/// True if the item will be late even if it takes much less time than estimated.
bool cannotFinishInTime(Instant now, const DueItem& item);

/// True if `left` is ordered before `right`. Items that can still be finished in time come before those that cannot;
/// within each group, the smaller sum of due time and remaining time comes first. Of two items with the same due time,
/// the one that is nearly done therefore comes first, so that more items are in time if not all can be. Items that can
/// no longer be in time are not dropped: they run in slots that no other item needs.
bool precedes(Instant now, const DueItem& left, const DueItem& right);

/// Slack, as a multiple of the time of a whole run, between which the urgency of an item rises: zero from
/// `relaxed_runs` upwards, one from `pressing_runs` downwards.
struct UrgencyLimits {
  double relaxed_runs = 2.2;
  double pressing_runs = 0.5;
};

/// Returns the urgency of an item, from zero (the item can wait, or will be late in any case) to one (the item must run
/// now). `whole_time`: estimated time of a whole run.
double urgencyOf(Instant now, const DueItem& item, Duration whole_time, const UrgencyLimits& limits = {});

}  // namespace hatchfork::request
