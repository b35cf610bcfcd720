#include "request/admission/startup_admission.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// A gateway serves within this time of its start wherever the control processes have a leader, or find one at once.
/// A start that takes longer waits for something else, and nobody knows for how long.
constexpr Duration kUsualStart = fromMillis(600);
/// Nobody waits longer than this, so that one who is refused after all has lost less than by a return.
constexpr Duration kLongestHold = fromMillis(400);
/// Of the time that a caller still has, this part at the most: the rest is for the request itself, or for a return.
constexpr int kHeldPartOfRemaining = 3;
/// Least time in which a refused caller comes back, and over how much more returns are spread.
constexpr Duration kShortestComeBack = fromMillis(250);
constexpr Duration kComeBackSpread = fromMillis(500);

}  // namespace

StartupDecision StartupAdmission::decide(Instant now, const EarlyArrival& arrival) {
  Instant until = std::min(arrival.received_at + kLongestHold, started_at_ + kUsualStart);
  if (arrival.remaining) until = std::min(until, arrival.received_at + *arrival.remaining / kHeldPartOfRemaining);
  const Duration come_back_after = comeBackAfter(std::max(now, until));
  if (until <= now) return {std::nullopt, come_back_after};
  return {until, come_back_after};
}

Duration StartupAdmission::comeBackAfter(Instant now) {
  std::uniform_int_distribution<Duration::rep> spread(0, kComeBackSpread.count());
  const Duration until_usual = started_at_ + kUsualStart - now;
  return std::max(kShortestComeBack, until_usual) + Duration(spread(random_));
}

}  // namespace hatchfork::request
