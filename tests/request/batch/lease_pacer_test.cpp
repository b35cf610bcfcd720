#include "request/batch/lease_pacer.hpp"

#include <catch2/catch.hpp>

namespace hatchfork::request {
namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

TEST_CASE("a renewal does not delay the next request for items", "[batch][lease]") {
  LeasePacer pacer;
  CHECK(pacer.isDue(at(0), false, true));
  pacer.recordSent(at(0), false);
  CHECK_FALSE(pacer.isDue(at(1), true, true));
  pacer.recordReply(at(5), false);
  CHECK_FALSE(pacer.isDue(at(6), false, true));
  CHECK(pacer.isDue(at(6), true, true));
}

TEST_CASE("requests are frequent while items are returned and rare otherwise", "[batch][lease]") {
  LeasePacer pacer;
  CHECK_FALSE(pacer.isDue(at(0), false, false));
  pacer.recordSent(at(0), true);
  pacer.recordReply(at(5), true);
  CHECK_FALSE(pacer.isDue(at(54), true, true));
  CHECK(pacer.isDue(at(55), true, true));
  pacer.recordSent(at(55), true);
  pacer.recordReply(at(60), false);
  CHECK_FALSE(pacer.isDue(at(559), true, false));
  CHECK(pacer.isDue(at(560), true, false));
  pacer.recordSent(at(560), true);
  pacer.recordFailure(at(3560));
  CHECK_FALSE(pacer.isDue(at(3759), true, true));
  CHECK(pacer.isDue(at(3760), false, true));
}

TEST_CASE("a notification of new items ends the pause after a request without items", "[batch][lease]") {
  LeasePacer pacer;
  pacer.recordSent(at(0), true);
  pacer.recordReply(at(5), false);
  CHECK_FALSE(pacer.isDue(at(10), true, false));
  pacer.requestImmediately();
  CHECK(pacer.isDue(at(10), true, false));
}

}  // namespace
}  // namespace hatchfork::request
