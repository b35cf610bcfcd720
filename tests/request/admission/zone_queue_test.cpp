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

QueuedRequest queuedRequest(std::uint32_t priority, std::int64_t latest_ms) {
  QueuedRequest made;
  made.priority = priority;
  made.latest_start = kNow + fromMillis(latest_ms);
  return made;
}

/// Returns the numbers in the order in which the queue gives them slots, until the queue is empty.
std::vector<QueueEntryId> served(ZoneQueue queue) {
  std::vector<QueueEntryId> order;
  while (!queue.isEmpty()) {
    order.push_back(queue.first(1).front());
    queue.noteServed(order.back());
  }
  return order;
}

}  // namespace

TEST_CASE("the queue orders by class, then fresh before retried, then by share, then by slack", "[line]") {
  ZoneQueue queue;
  QueuedRequest returned = queuedRequest(0, 50);
  returned.has_returned = true;
  QueuedRequest of_heavy_tenant = queuedRequest(0, 100);
  of_heavy_tenant.share = 7;
  REQUIRE(queue.enter(kNow, 1, queuedRequest(2, 10)));
  REQUIRE(queue.enter(kNow, 2, returned));
  REQUIRE(queue.enter(kNow, 3, of_heavy_tenant));
  REQUIRE(queue.enter(kNow, 4, queuedRequest(0, 300)));
  REQUIRE(queue.enter(kNow, 5, queuedRequest(0, 200)));
  REQUIRE_FALSE(queue.enter(kNow, 5, queuedRequest(0, 200)));
  REQUIRE(queue.first(9) == std::vector<QueueEntryId>{5, 4, 3, 2, 1});
  REQUIRE(queue.aheadOf(2) == 3);
  REQUIRE(queue.ahead(queuedRequest(0, 250)) == 1);
  REQUIRE(queue.ahead(queuedRequest(1, 0)) == 4);
  REQUIRE(served(queue) == std::vector<QueueEntryId>{5, 4, 3, 2, 1});
}

TEST_CASE("the least urgent class gets one of eight slots while others wait", "[line]") {
  ZoneQueue queue;
  for (QueueEntryId number = 1; number <= 32; ++number) queue.enter(kNow, number, queuedRequest(0, 500));
  for (QueueEntryId number = 101; number <= 104; ++number) queue.enter(kNow, number, queuedRequest(2, 500));
  const std::vector<QueueEntryId> order = served(queue);
  for (std::size_t given = 8; given <= 32; given += 8) {
    const auto least = std::count_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(given),
                                     [](QueueEntryId number) { return number > 100; });
    REQUIRE(static_cast<std::size_t>(least) == given / 8);
  }
}

TEST_CASE("a queue is bounded, and reports requests that cannot be in time", "[line]") {
  ZoneQueue queue(ZoneQueueLimits{3, 8});
  REQUIRE(queue.enter(kNow, 1, queuedRequest(0, 30)));
  REQUIRE(queue.enter(kNow, 2, queuedRequest(0, 10)));
  REQUIRE(queue.enter(kNow, 3, queuedRequest(0, 20)));
  REQUIRE_FALSE(queue.enter(kNow, 4, queuedRequest(0, 40)));
  REQUIRE(queue.late(kNow).empty());
  REQUIRE(queue.late(kNow + fromMillis(20)) == std::vector<QueueEntryId>{2, 3});
  REQUIRE(queue.leave(2));
  REQUIRE_FALSE(queue.leave(2));
  REQUIRE(queue.waited(kNow + fromMillis(25), 1) == fromMillis(25));
}

TEST_CASE("each queued request leaves the queue exactly once", "[line]") {
  const bool holds = rc::check([] {
    ZoneQueue queue(ZoneQueueLimits{40, 4});
    std::map<QueueEntryId, int> left;
    std::size_t inside = 0;
    const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    QueueEntryId next = 0;
    for (const std::uint8_t step : steps) {
      if (step % 3 != 0) {
        if (queue.enter(kNow, ++next, queuedRequest(step % 4, step))) ++inside;
        continue;
      }
      const std::vector<QueueEntryId> first = queue.first(1);
      RC_ASSERT(first.empty() == queue.isEmpty());
      if (first.empty()) continue;
      step % 2 == 0 ? queue.noteServed(first.front()) : static_cast<void>(queue.leave(first.front()));
      RC_ASSERT(++left[first.front()] == 1);
      --inside;
    }
    RC_ASSERT(queue.size() == inside);
    RC_ASSERT(served(queue).size() == inside);
  });
  REQUIRE(holds);
}
