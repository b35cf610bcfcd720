#include "request/crash/trial_leases.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const RequestFingerprint kContent("content");

Instant at(std::int64_t milliseconds) {
  return Instant{} + std::chrono::hours(1) + fromMillis(milliseconds);
}

}  // namespace

TEST_CASE("a lease is held by one run until it expires", "[crash]") {
  TrialLeases leases;
  REQUIRE(leases.timeUntilFree(at(0), kContent, "a") == Duration::zero());
  leases.grant(at(0), kContent, "a");
  REQUIRE(leases.timeUntilFree(at(1000), kContent, "b") == fromMillis(5000));
  REQUIRE(leases.timeUntilFree(at(1000), kContent, "a") == Duration::zero());
  REQUIRE(leases.timeUntilFree(at(6000), kContent, "b") == Duration::zero());
}

TEST_CASE("a lease that its holder requests again lasts from then on", "[crash]") {
  TrialLeases leases;
  leases.grant(at(0), kContent, "a");
  leases.grant(at(4000), kContent, "a");
  REQUIRE(leases.timeUntilFree(at(6000), kContent, "b") == fromMillis(4000));
}

TEST_CASE("a lease that is released is free, but only its holder can release it", "[crash]") {
  TrialLeases leases;
  leases.grant(at(0), kContent, "a");
  leases.release(kContent, "b");
  REQUIRE(leases.timeUntilFree(at(1), kContent, "b") > Duration::zero());
  leases.release(kContent, "a");
  REQUIRE(leases.timeUntilFree(at(1), kContent, "b") == Duration::zero());
}

TEST_CASE("leases that have expired are forgotten", "[crash]") {
  TrialLeases leases;
  for (int number = 0; number < 100; ++number) {
    leases.grant(at(7000 * number), RequestFingerprint(std::to_string(number)), "a");
  }
  REQUIRE(leases.size() == 1);
}

TEST_CASE("after a start nothing is free until earlier leases have expired", "[crash]") {
  TrialLeases leases;
  leases.grant(at(0), kContent, "a");
  leases.start(at(100));
  REQUIRE(leases.timeUntilFree(at(100), RequestFingerprint("other"), "a") == fromMillis(6000));
  REQUIRE(leases.timeUntilFree(at(6100), kContent, "b") == Duration::zero());
}

// Guards against waits for the end of a lease whose outcome is known already.
TEST_CASE("a lease ends once its run is known to have crashed its engine", "[crash]") {
  TrialLeases leases;
  const Instant start = Instant{} + std::chrono::hours(1);
  const RequestFingerprint content("content");
  leases.grant(start, content, "gateway-1");
  leases.endCrashed(content, Instant::min());
  leases.endCrashed(content, start - fromMillis(500));
  REQUIRE(leases.timeUntilFree(start + fromMillis(100), content, "gateway-2") > Duration::zero());
  leases.endCrashed(content, start + fromMillis(5));
  REQUIRE(leases.timeUntilFree(start + fromMillis(100), content, "gateway-2") == Duration::zero());
}
