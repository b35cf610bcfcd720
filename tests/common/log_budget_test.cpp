#include "common/log_budget.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;

namespace {
constexpr Instant kStart{std::chrono::seconds(100)};
}

TEST_CASE("an event has a burst and then its rate", "[log]") {
  LogBudget budget(LogBudget::Limits{10, 20});
  int allowed = 0;
  for (int i = 0; i < 100; ++i) allowed += budget.allow(kStart, "ordinary", false);
  REQUIRE(allowed == 20);
  for (int i = 0; i < 100; ++i) allowed += budget.allow(kStart + std::chrono::seconds(1), "ordinary", false);
  REQUIRE(allowed == 30);
}

TEST_CASE("a flood of ordinary lines takes nothing from important ones or from other events", "[log]") {
  LogBudget budget(LogBudget::Limits{10, 20});
  for (int i = 0; i < 100; ++i) budget.allow(kStart, "flood", false);
  REQUIRE(budget.allow(kStart, "flood", true));
  REQUIRE(budget.allow(kStart, "other", false));
}

TEST_CASE("what is dropped is told once a second", "[log]") {
  LogBudget budget(LogBudget::Limits{10, 20});
  REQUIRE(budget.takeDropped(kStart).empty());
  for (int i = 0; i < 25; ++i) budget.allow(kStart, "flood", false);
  const auto dropped = budget.takeDropped(kStart);
  REQUIRE(dropped.size() == 1);
  REQUIRE(dropped[0].event == "flood");
  REQUIRE(dropped[0].count == 5);
  budget.allow(kStart, "flood", false);
  REQUIRE(budget.takeDropped(kStart + fromMillis(500)).empty());
  REQUIRE(budget.takeDropped(kStart + fromMillis(1500)).size() == 1);
}
