#include "request/batch/due_order.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// The items of a route differ in length, and their lengths are not known: a short one takes about this share of the
/// time that is expected.
constexpr double kShareOfTimeAtBest = 0.5;

}  // namespace

Duration slackOf(Instant now, const DueItem& item) {
  return item.due - now - item.time_left;
}

bool cannotFinishInTime(Instant now, const DueItem& item) {
  const Duration at_best = std::chrono::duration_cast<Duration>(item.time_left * kShareOfTimeAtBest);
  return item.due - now < at_best;
}

bool precedes(Instant now, const DueItem& left, const DueItem& right) {
  const bool left_hopeless = cannotFinishInTime(now, left);
  const bool right_hopeless = cannotFinishInTime(now, right);
  if (left_hopeless != right_hopeless) return right_hopeless;
  // Without a due time `due` is the largest instant, which nothing can be added to.
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
