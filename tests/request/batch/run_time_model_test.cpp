#include "request/batch/run_time_model.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "request/batch/due_order.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Instant kNow{std::chrono::seconds(1000)};

RunTimeModel modelAfterRuns(std::uint64_t events, Duration taken) {
  RunTimeModel model;
  for (int i = 0; i < 60; ++i) {
    model.notePace(events, taken);
    model.noteCompletedItem(events);
  }
  return model;
}

}  // namespace

TEST_CASE("the initial estimate is used until a run time is observed", "[batch][due]") {
  RunTimeModel model;
  REQUIRE(model.totalRunTime() == Duration::zero());
  model.setInitialEstimate(std::chrono::seconds(5));
  REQUIRE(model.remainingTime(100) == std::chrono::seconds(5));
  model.notePace(100, std::chrono::seconds(2));
  REQUIRE(model.totalRunTime() == std::chrono::seconds(5));
  model.noteCompletedItem(200);
  REQUIRE(toSeconds(model.totalRunTime()) == Approx(4.1));
}

TEST_CASE("estimates converge to the observed run times and follow changes", "[batch][due]") {
  RunTimeModel model = modelAfterRuns(200, std::chrono::seconds(4));
  REQUIRE(toSeconds(model.totalRunTime()) == Approx(4.1).epsilon(0.01));
  REQUIRE(toSeconds(model.remainingTime(100)) == Approx(2.1).epsilon(0.01));
  // The remaining time of an item longer than the average does not drop to zero.
  REQUIRE(toSeconds(model.remainingTime(500)) == Approx(0.7).epsilon(0.01));
  for (int i = 0; i < 60; ++i) model.notePace(200, std::chrono::seconds(8));
  REQUIRE(toSeconds(model.totalRunTime()) == Approx(8.1).epsilon(0.02));
}

TEST_CASE("items that can be in time are ordered before late ones, then by due time", "[batch][due]") {
  const DueItem early{kNow + std::chrono::seconds(5), std::chrono::seconds(4)};
  const DueItem later{kNow + std::chrono::seconds(9), std::chrono::seconds(4)};
  const DueItem too_late{kNow + fromMillis(1900), std::chrono::seconds(4)};
  REQUIRE(precedes(kNow, early, later));
  REQUIRE(precedes(kNow, later, too_late));
  REQUIRE_FALSE(precedes(kNow, too_late, early));
  // Of two items with the same due time, the one that is nearly done comes first.
  const DueItem nearly_done{kNow + std::chrono::seconds(9), std::chrono::seconds(1)};
  REQUIRE(precedes(kNow, nearly_done, later));
  const DueItem without_due{Instant::max(), std::chrono::seconds(1)};
  REQUIRE(precedes(kNow, later, without_due));
  REQUIRE_FALSE(precedes(kNow, without_due, without_due));
  // The item may be shorter than the average: it counts as late only once less than half of the estimated time is left.
  const DueItem doubtful{kNow + fromMillis(2100), std::chrono::seconds(4)};
  REQUIRE(precedes(kNow, doubtful, early));
}

TEST_CASE("the order of items is a strict weak order", "[batch][due]") {
  const bool ordered = rc::check("strict weak order", [] {
    const auto item = [] {
      return DueItem{kNow + fromMillis(*rc::gen::inRange(-20000, 20000)), fromMillis(*rc::gen::inRange(0, 10000))};
    };
    const DueItem a = item();
    const DueItem b = item();
    const DueItem c = item();
    RC_ASSERT(!precedes(kNow, a, a));
    RC_ASSERT(!(precedes(kNow, a, b) && precedes(kNow, b, a)));
    if (precedes(kNow, a, b) && precedes(kNow, b, c)) RC_ASSERT(precedes(kNow, a, c));
    // An item that can be in time is never ordered after one that cannot.
    if (!cannotFinishInTime(kNow, a) && cannotFinishInTime(kNow, b)) RC_ASSERT(precedes(kNow, a, b));
  });
  REQUIRE(ordered);
}

TEST_CASE("urgency grows as slack shrinks and drops to zero once an item is late", "[batch][due]") {
  const Duration whole = std::chrono::seconds(4);
  const auto with_slack = [](double seconds) {
    return DueItem{kNow + std::chrono::seconds(2) + fromMillis(static_cast<std::int64_t>(seconds * 1000)),
                   std::chrono::seconds(2)};
  };
  REQUIRE(urgencyOf(kNow, with_slack(20), whole) == 0);
  REQUIRE(urgencyOf(kNow, with_slack(1.5), whole) == 1);
  REQUIRE(urgencyOf(kNow, with_slack(-0.5), whole) == 1);
  REQUIRE(urgencyOf(kNow, with_slack(-1.5), whole) == 0);
  REQUIRE(urgencyOf(kNow, with_slack(3), whole) > urgencyOf(kNow, with_slack(6), whole));
  REQUIRE(urgencyOf(kNow, with_slack(3), Duration::zero()) == 0);
}
