#include "request/batch/restart_pacer.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const ServiceId kService("s");
const Instant kNow{std::chrono::seconds(100)};

}  // namespace

TEST_CASE("delays grow with breaks in a row up to two seconds, one start at a time", "[batch][pacer]") {
  RestartPacer pacer;
  REQUIRE(pacer.mayStart(kNow, kService));
  Duration last{};
  for (int breaks = 0; breaks < 10; ++breaks) {
    const Duration delay = pacer.noteBroken(kNow, kService, kNow);
    REQUIRE(delay >= last);
    REQUIRE(delay <= std::chrono::seconds(2));
    last = delay;
  }
  REQUIRE(last == std::chrono::seconds(2));
  REQUIRE_FALSE(pacer.mayStart(kNow + last - fromMillis(1), kService));
  REQUIRE(pacer.mayStart(kNow + last, kService));
  pacer.noteStarted(kNow + last, kService);
  REQUIRE_FALSE(pacer.mayStart(kNow + last + fromMillis(1), kService));
  REQUIRE(pacer.mayStart(kNow, ServiceId("other")));
}

TEST_CASE("the first event of a paced run ends all delays of its service", "[batch][pacer]") {
  RestartPacer pacer;
  pacer.noteBroken(kNow, kService, kNow);
  pacer.noteBroken(kNow, ServiceId("other"), kNow);
  pacer.noteProgress(kService);
  REQUIRE(pacer.mayStart(kNow, kService));
  REQUIRE_FALSE(pacer.mayStart(kNow, ServiceId("other")));
}

TEST_CASE("runs that break off at the same moment count once", "[batch][pacer]") {
  RestartPacer pacer;
  const Instant began = kNow - std::chrono::seconds(1);
  const Duration first = pacer.noteBroken(kNow, kService, began);
  for (int more = 0; more < 100; ++more) REQUIRE(pacer.noteBroken(kNow + fromMillis(more), kService, began) == first);
  REQUIRE(pacer.noteBroken(kNow + first, kService, kNow + first) == 2 * first);
}
