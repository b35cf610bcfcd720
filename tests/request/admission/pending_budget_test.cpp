#include "request/admission/pending_budget.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <vector>

namespace hatchfork::request {

TEST_CASE("A budget refuses a request over its count or its bytes, and reserves nothing then", "[hold_budget]") {
  PendingBudget budget(2, 100);
  CHECK(budget.tryEnter(60));
  CHECK_FALSE(budget.tryEnter(41));
  CHECK(budget.requests() == 1);
  CHECK(budget.bytes() == 60);
  CHECK(budget.tryEnter(40));
  CHECK_FALSE(budget.tryEnter(0));
  budget.leave(60);
  CHECK(budget.requests() == 1);
  CHECK(budget.bytes() == 40);
  CHECK(budget.tryEnter(60));
}

TEST_CASE("A budget accepts a body that fills it, and none that is larger", "[hold_budget]") {
  PendingBudget budget(2, 100);
  CHECK_FALSE(budget.tryEnter(static_cast<std::size_t>(-1)));
  CHECK_FALSE(budget.tryEnter(101));
  CHECK(budget.tryEnter(100));
}

TEST_CASE("A reservation is released at the end of its scope, and only if it was made", "[hold_budget]") {
  PendingBudget budget(1, 100);
  {
    const PendingReservation first(budget, 10);
    CHECK(first.entered());
    {
      const PendingReservation second(budget, 10);
      CHECK_FALSE(second.entered());
    }
    CHECK(budget.requests() == 1);
    CHECK(budget.bytes() == 10);
  }
  CHECK(budget.requests() == 0);
  CHECK(budget.bytes() == 0);
}

TEST_CASE("A budget never exceeds its bounds, and is empty when all requests have left", "[hold_budget]") {
  const auto holds = [](const std::vector<std::uint16_t>& steps) {
    constexpr std::size_t kMostRequests = 5;
    constexpr std::size_t kMostBytes = 40'000;
    PendingBudget budget(kMostRequests, kMostBytes);
    std::vector<std::size_t> held;
    for (const std::uint16_t step : steps) {
      if (step % 3 == 0 && !held.empty()) {
        budget.leave(held.back());
        held.pop_back();
      } else if (budget.tryEnter(step)) {
        held.push_back(step);
      }
      std::size_t bytes = 0;
      for (const std::size_t one : held) bytes += one;
      RC_ASSERT(budget.requests() == held.size());
      RC_ASSERT(budget.bytes() == bytes);
      RC_ASSERT(budget.requests() <= kMostRequests);
      RC_ASSERT(budget.bytes() <= kMostBytes);
    }
    for (const std::size_t one : held) budget.leave(one);
    RC_ASSERT(budget.requests() == 0u);
    RC_ASSERT(budget.bytes() == 0u);
  };
  CHECK(rc::check(holds));
}

}  // namespace hatchfork::request
