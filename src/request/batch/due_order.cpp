#include "request/batch/due_order.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Fraction of the estimated time that a short item takes. The items of a route differ in length, and their lengths are
/// unknown in advance.
constexpr double kShortItemFraction = 0.5;

}  // namespace

Duration slackOf(Instant now, const DueItem& item) {
  return item.due - now - item.time_left;
}

bool cannotFinishInTime(Instant now, const DueItem& item) {
  const Duration at_best = std::chrono::duration_cast<Duration>(item.time_left * kShortItemFraction);
  return item.due - now < at_best;
}

bool precedes(Instant now, const DueItem& left, const DueItem& right) {
  const bool left_too_late = cannotFinishInTime(now, left);
  const bool right_too_late = cannotFinishInTime(now, right);
  if (left_too_late != right_too_late) return right_too_late;
  // Without a due time, `due` is the largest instant, and adding to it would overflow.
  if (left.due == Instant::max() || right.due == Instant::max()) return left.due < right.due;
  return left.due + left.time_left < right.due + right.time_left;
}

double urgencyOf(Instant now, const DueItem& item, Duration whole_time, const UrgencyLimits& limits) {
  if (cannotFinishInTime(now, item)) return 0;
  const double slack = toSeconds(slackOf(now, item));
  const double relaxed = toSeconds(whole_time) * limits.relaxed_runs;
  const double pressing = toSeconds(whole_time) * limits.pressing_runs;
  if (relaxed <= pressing) return 0;
  return std::clamp((relaxed - slack) / (relaxed - pressing), 0.0, 1.0);
}

}  // namespace hatchfork::request
