#include "process/exchange/planned_stop.hpp"

#include <catch2/catch.hpp>

namespace hatchfork::exchange {
namespace {

constexpr Duration kGrace = fromMillis(8000);
constexpr Duration kTick = fromMillis(100);

const Instant kSignal = Instant{} + std::chrono::seconds(100);

TEST_CASE("a gateway that is not told to stop runs every request", "[stop]") {
  const PlannedStop stop(kGrace);
  CHECK(stop.mayRun(kSignal, kSignal + std::chrono::hours(1)));
}

TEST_CASE("a stopping gateway takes late requests only if they can end in time", "[stop]") {
  PlannedStop stop(kGrace);
  stop.begin(kSignal);
  for (Duration after = Duration::zero(); after <= kGrace; after += kTick) {
    const Instant received_at = kSignal + after;
    CAPTURE(toMillis(after));
    const bool takes_long_ones = stop.mayRun(received_at, received_at + kGrace);
    if (after <= fromMillis(2500)) CHECK(takes_long_ones);
    if (after >= fromMillis(3000)) CHECK_FALSE(takes_long_ones);
    const bool takes_short_ones = stop.mayRun(received_at, received_at + fromMillis(1500));
    CHECK(takes_short_ones == (received_at + fromMillis(1500) <= stop.endsRequestsAt()));
  }
}

TEST_CASE("the phases of a stop follow each other within the grace period", "[stop]") {
  for (const Duration grace : {fromMillis(1000), fromMillis(4000), kGrace, fromMillis(60000)}) {
    PlannedStop stop(grace);
    stop.begin(kSignal);
    CHECK(stop.acceptsUntil() > kSignal);
    CHECK(stop.endsRequestsAt() > stop.acceptsUntil());
    CHECK(stop.exitsAt() > stop.endsRequestsAt());
    CHECK(stop.exitsAt() < kSignal + grace);
  }
}

TEST_CASE("a stop ends the requests that run, and none runs after it", "[stop]") {
  PlannedStop stop(kGrace);
  int ended = 0;
  const PlannedStop::Registration first(stop, [&] { ++ended; });
  {
    const PlannedStop::Registration second(stop, [&] { ended += 10; });
  }
  stop.begin(kSignal);
  stop.endRequests();
  CHECK(ended == 1);
  CHECK_FALSE(stop.mayRun(kSignal, kSignal + kTick));
}

}  // namespace
}  // namespace hatchfork::exchange
