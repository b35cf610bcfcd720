#include "request/limits/drain_meter.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::request;

TEST_CASE("a drain meter converges to a steady rate and decays without work", "[limits]") {
  DrainMeter meter;
  Instant now{};
  for (int i = 0; i < 400; ++i) {
    now += fromMillis(50);
    meter.noteFinished(now, 5);
  }
  REQUIRE(meter.rate(now) == Approx(100).epsilon(0.05));
  REQUIRE(toSeconds(meter.timeToDrain(now, 200)) == Approx(2).epsilon(0.05));
  REQUIRE(meter.rate(now + std::chrono::seconds(40)) < 1);
}

TEST_CASE("the estimates of a drain meter are bounded", "[limits]") {
  DrainMeter meter;
  const Instant now{};
  REQUIRE(meter.timeToDrain(now, 10) == std::chrono::seconds(20));
  meter.noteFinished(now, 1e6);
  REQUIRE(meter.timeToDrain(now, 1) == fromMillis(200));
}
