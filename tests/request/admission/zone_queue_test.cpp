#include "request/admission/zone_queue.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "tests/request/admission/uneven_engines.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Instant kNow{std::chrono::seconds(100)};

QueuedRequest standing(std::uint32_t priority, std::int64_t latest_ms) {
  QueuedRequest made;
  made.priority = priority;
  made.latest_start = kNow + fromMillis(latest_ms);
  return made;
}

/// The order in which the line gives places, until it is empty.
std::vector<QueueEntryId> served(ZoneQueue line) {
  std::vector<QueueEntryId> order;
  while (!line.isEmpty()) {
    order.push_back(line.first(1).front());
    line.noteServed(order.back());
  }
  return order;
}

}  // namespace

TEST_CASE("in line urgent ones go first, then fresh ones, then by share, then by slack", "[line]") {
  ZoneQueue line;
  QueuedRequest returned = standing(0, 50);
  returned.has_returned = true;
  QueuedRequest of_heavy_tenant = standing(0, 100);
  of_heavy_tenant.share = 7;
  REQUIRE(line.enter(kNow, 1, standing(2, 10)));
  REQUIRE(line.enter(kNow, 2, returned));
  REQUIRE(line.enter(kNow, 3, of_heavy_tenant));
  REQUIRE(line.enter(kNow, 4, standing(0, 300)));
  REQUIRE(line.enter(kNow, 5, standing(0, 200)));
  REQUIRE_FALSE(line.enter(kNow, 5, standing(0, 200)));
  REQUIRE(line.first(9) == std::vector<QueueEntryId>{5, 4, 3, 2, 1});
  REQUIRE(line.aheadOf(2) == 3);
  REQUIRE(line.ahead(standing(0, 250)) == 1);
  REQUIRE(line.ahead(standing(1, 0)) == 4);
  REQUIRE(served(line) == std::vector<QueueEntryId>{5, 4, 3, 2, 1});
}

TEST_CASE("the least urgent class has one of eight places while others wait", "[line]") {
  ZoneQueue line;
  for (QueueEntryId number = 1; number <= 32; ++number) line.enter(kNow, number, standing(0, 500));
  for (QueueEntryId number = 101; number <= 104; ++number) line.enter(kNow, number, standing(2, 500));
  const std::vector<QueueEntryId> order = served(line);
  for (std::size_t given = 8; given <= 32; given += 8) {
    const auto least = std::count_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(given),
                                     [](QueueEntryId number) { return number > 100; });
    REQUIRE(static_cast<std::size_t>(least) == given / 8);
  }
}

TEST_CASE("a line is bounded, and names those that can't be in time", "[line]") {
  ZoneQueue line(ZoneQueueLimits{3, 8});
  REQUIRE(line.enter(kNow, 1, standing(0, 30)));
  REQUIRE(line.enter(kNow, 2, standing(0, 10)));
  REQUIRE(line.enter(kNow, 3, standing(0, 20)));
  REQUIRE_FALSE(line.enter(kNow, 4, standing(0, 40)));
  REQUIRE(line.late(kNow).empty());
  REQUIRE(line.late(kNow + fromMillis(20)) == std::vector<QueueEntryId>{2, 3});
  REQUIRE(line.leave(2));
  REQUIRE_FALSE(line.leave(2));
  REQUIRE(line.waited(kNow + fromMillis(25), 1) == fromMillis(25));
}

TEST_CASE("whoever stands in line leaves it once, whatever comes and goes", "[line]") {
  const bool holds = rc::check([] {
    ZoneQueue line(ZoneQueueLimits{40, 4});
    std::map<QueueEntryId, int> left;
    std::size_t inside = 0;
    const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    QueueEntryId next = 0;
    for (const std::uint8_t step : steps) {
      if (step % 3 != 0) {
        if (line.enter(kNow, ++next, standing(step % 4, step))) ++inside;
        continue;
      }
      const std::vector<QueueEntryId> first = line.first(1);
      RC_ASSERT(first.empty() == line.isEmpty());
      if (first.empty()) continue;
      step % 2 == 0 ? line.noteServed(first.front()) : static_cast<void>(line.leave(first.front()));
      RC_ASSERT(++left[first.front()] == 1);
      --inside;
    }
    RC_ASSERT(line.size() == inside);
    RC_ASSERT(served(line).size() == inside);
  });
  REQUIRE(holds);
}
