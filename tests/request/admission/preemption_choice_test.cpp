#include "request/admission/preemption_choice.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Instant kNow{std::chrono::seconds(1000)};
constexpr Duration kWhole = std::chrono::seconds(5);
constexpr Duration kNeeded = fromMillis(50);

PreemptionCandidate candidate(std::uint64_t events, std::int64_t left_ms, std::int64_t due_ms, bool can_resume = true) {
  return PreemptionCandidate{events, can_resume, DueItem{kNow + fromMillis(due_ms), fromMillis(left_ms)}};
}

std::optional<std::size_t> choose(const std::vector<PreemptionCandidate>& candidates) {
  return choosePreemption(kNow, candidates, kNeeded, kWhole);
}

}  // namespace

TEST_CASE("of runs with slack the run with the least progress is preempted", "[admission][yield]") {
  REQUIRE(choose({candidate(100, 2000, 12000), candidate(20, 4400, 12000), candidate(60, 3200, 18000)}) == 1);
}

TEST_CASE("a run that would be late stays while another run would not", "[admission][yield]") {
  REQUIRE(choose({candidate(20, 4400, 5000), candidate(100, 2000, 12000)}) == 1);
}

TEST_CASE("if no run has enough slack, the run with the most slack is preempted", "[admission][yield]") {
  REQUIRE(choose({candidate(20, 4400, 5000), candidate(100, 2000, 4200)}) == 0);
}

TEST_CASE("a run that ends before the slot is needed is not preempted", "[admission][yield]") {
  REQUIRE(choose({candidate(150, 40, 18000), candidate(151, 2000, 18000)}) == 1);
  REQUIRE_FALSE(choose({candidate(150, 40, 18000)}).has_value());
  REQUIRE_FALSE(choose({}).has_value());
}

TEST_CASE("a run that can resume is preempted before a run that would start from the beginning", "[admission][yield]") {
  REQUIRE(choose({candidate(0, 5000, 18000, false), candidate(30, 4000, 18000)}) == 1);
}

TEST_CASE("the choice does not depend on the order, and never falls on a run that ends in time", "[admission][yield]") {
  const bool holds = rc::check("choice of the run to preempt", [] {
    std::vector<PreemptionCandidate> candidates;
    const int count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < count; ++i) {
      candidates.push_back(
          candidate(*rc::gen::inRange(0, 200), *rc::gen::inRange(0, 6000), *rc::gen::inRange(-2000, 20000)));
    }
    const auto chosen = choose(candidates);
    const bool any_long = std::any_of(candidates.begin(), candidates.end(),
                                      [](const PreemptionCandidate& one) { return one.order.time_left > kNeeded; });
    RC_ASSERT(chosen.has_value() == any_long);
    if (!chosen) return;
    RC_ASSERT(candidates[*chosen].order.time_left > kNeeded);
    std::vector<PreemptionCandidate> reversed(candidates.rbegin(), candidates.rend());
    const auto again = choose(reversed);
    RC_ASSERT(again.has_value());
    RC_ASSERT(reversed[*again].events == candidates[*chosen].events || reversed[*again].order.due > kNow);
  });
  REQUIRE(holds);
}
