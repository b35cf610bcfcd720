#include "request/admission/urgency_order.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(std::chrono::seconds(100) + fromMillis(milliseconds));
}

}  // namespace

TEST_CASE("without a lack of credits, every rank may use them", "[admission][urgency]") {
  UrgencyOrder order;
  REQUIRE(order.mayTake(at(0), 0, 100));
  REQUIRE(order.mayTake(at(0), 7, 100));
}

TEST_CASE("while more urgent requests lack credits, less urgent requests get a floor and no more",
          "[admission][urgency]") {
  UrgencyOrder order;
  int urgent = 0;
  int least = 0;
  // The limit is 100 requests per second, so a credit becomes available each 10 ms; 500 urgent and 300 less urgent
  // requests arrive per second.
  for (std::int64_t time = 0; time < 10000; ++time) {
    bool has_credit = time % 10 == 0;
    if (time % 10 < 3) {
      const bool takes = has_credit && order.mayTake(at(time), 2, 100);
      if (takes) order.noteTaken(at(time), 2);
      if (!takes) order.noteLacked(at(time), 2);
      least += takes ? 1 : 0;
      has_credit = has_credit && !takes;
    }
    if (time % 2 == 0) {
      const bool takes = has_credit && order.mayTake(at(time), 0, 100);
      if (takes) order.noteTaken(at(time), 0);
      if (!takes) order.noteLacked(at(time), 0);
      urgent += takes ? 1 : 0;
    }
  }
  REQUIRE(urgent + least == 1000);
  // A tenth of the limit.
  REQUIRE(least >= 80);
  REQUIRE(least <= 130);
}

TEST_CASE("the most urgent requests are never deferred", "[admission][urgency]") {
  UrgencyOrder order;
  order.noteLacked(at(0), 2);
  REQUIRE(order.mayTake(at(1), 0, 100));
  REQUIRE(order.mayTake(at(1), 2, 100));
}

TEST_CASE("once urgent requests lack no credits, the others are no longer deferred", "[admission][urgency]") {
  UrgencyOrder order;
  order.noteLacked(at(0), 0);
  order.noteTaken(at(1), 3);
  for (int index = 0; index < 20; ++index) order.noteTaken(at(2), 3);
  REQUIRE_FALSE(order.mayTake(at(3), 3, 100));
  REQUIRE(order.mayTake(at(300), 3, 100));
}
