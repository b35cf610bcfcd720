#include "request/exchange/surge_meter.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {
constexpr Instant kStart{std::chrono::seconds(100)};
}  // namespace

TEST_CASE("a surge is the largest rise within the window", "[selector]") {
  SurgeMeter meter;
  meter.note(kStart, 10);
  meter.note(kStart + fromMillis(100), 14);
  meter.note(kStart + fromMillis(200), 30);
  REQUIRE(meter.surge(kStart + fromMillis(200)) == 20);
  // A slow rise to a similar height is not a surge.
  SurgeMeter slow;
  for (int i = 0; i <= 20; ++i) slow.note(kStart + fromMillis(200 * i), i);
  REQUIRE(slow.surge(kStart + fromMillis(4000)) <= 2);
}

TEST_CASE("a surge decays over time, and a smaller one does not replace it", "[selector]") {
  SurgeMeter meter;
  meter.note(kStart, 0);
  meter.note(kStart + fromMillis(100), 20);
  meter.note(kStart + std::chrono::seconds(5), 0);
  meter.note(kStart + std::chrono::seconds(5) + fromMillis(100), 4);
  const Instant half = kStart + fromMillis(100) + std::chrono::seconds(10);
  REQUIRE(meter.surge(half) == Approx(10));
  REQUIRE(meter.surge(kStart + std::chrono::seconds(200)) < 0.1);
}
