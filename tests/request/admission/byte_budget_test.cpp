#include "request/admission/byte_budget.hpp"

#include <catch2/catch.hpp>
#include <map>

#include "tests/process/batch/property.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr std::size_t kBound = 1000;
constexpr Instant kStart{};

Instant after(double seconds) {
  return kStart + fromMillis(static_cast<std::int64_t>(seconds * 1000));
}

ByteBudget budgetOf(std::size_t bound = kBound) {
  ByteBudgetLimits limits;
  limits.most_bytes = bound;
  return ByteBudget(limits);
}

BufferId offered(ByteBudget& budget, Instant now, std::size_t bytes) {
  const BufferId held = budget.hold(bytes);
  budget.offer(now, held);
  return held;
}

}  // namespace

TEST_CASE("A peer that accepts nothing counts as slow after the timeout, a peer that reads on does not",
          "[byte_budget]") {
  ByteBudget budget = budgetOf();
  const BufferId silent = offered(budget, kStart, 100);
  const BufferId reading = offered(budget, kStart, 100);
  budget.noteTaken(after(9), reading, 1);
  CHECK(budget.slowPeers(after(9.9)).empty());
  const std::vector<SlowPeer> slow = budget.slowPeers(after(10));
  REQUIRE(slow.size() == 1);
  CHECK(slow[0].held == silent);
  CHECK(slow[0].bytes == 100);
  CHECK(slow[0].silent_for == std::chrono::seconds(10));
}

TEST_CASE("A buffer that is not offered makes no peer slow", "[byte_budget]") {
  ByteBudget budget = budgetOf();
  const BufferId held = budget.hold(2 * kBound);
  CHECK(budget.slowPeers(after(100)).empty());
  budget.offer(after(100), held);
  CHECK(budget.slowPeers(after(100.4)).empty());
  CHECK(budget.slowPeers(after(100.5)).size() == 1);
}

TEST_CASE("Under pressure the peer with the largest buffer is slow first, and no more peers than needed",
          "[byte_budget]") {
  ByteBudget budget = budgetOf();
  offered(budget, kStart, 200);
  const BufferId greediest = offered(budget, kStart, 300);
  offered(budget, kStart, 100);
  CHECK(budget.slowPeers(after(1.9)).empty());
  const std::vector<SlowPeer> slow = budget.slowPeers(after(2));
  REQUIRE(slow.size() == 1);
  CHECK(slow[0].held == greediest);
}

TEST_CASE("Growing buffers wait at three quarters of the bound, but never all for each other", "[byte_budget]") {
  ByteBudget budget = budgetOf();
  const BufferId kept = budget.hold(100);
  const BufferId oldest = budget.beginCollecting();
  const BufferId next = budget.beginCollecting();
  budget.add(oldest, 300);
  budget.add(next, 300);
  CHECK(budget.hasRoom());
  budget.add(next, 60);
  CHECK_FALSE(budget.hasRoom());
  CHECK(budget.mayGrow(oldest));
  CHECK_FALSE(budget.mayGrow(next));
  // Buffers that are not growing never get the exception for the oldest.
  CHECK_FALSE(budget.mayGrow(kept));
  budget.release(oldest);
  CHECK(budget.mayGrow(next));
}

TEST_CASE("No buffer grows beyond the room while peers have much to read", "[byte_budget]") {
  ByteBudget budget = budgetOf();
  offered(budget, kStart, 300);
  const BufferId oldest = budget.beginCollecting();
  budget.add(oldest, 500);
  CHECK_FALSE(budget.mayGrow(oldest));
  // Once the slow peer is released, the oldest buffer may grow again.
  const std::vector<SlowPeer> slow = budget.slowPeers(after(2));
  REQUIRE(slow.size() == 1);
  budget.release(slow[0].held);
  CHECK(budget.mayGrow(oldest));
}

TEST_CASE("Five hundred readers of a byte per second stay within the bound, and other callers are served",
          "[byte_budget]") {
  constexpr std::size_t kAnswer = 64 << 10;
  constexpr std::size_t kWindow = 16 << 10;  // a socket accepts this much more once the caller has read it
  ByteBudget budget = budgetOf(40u << 20);
  std::map<BufferId, std::size_t> slow;
  std::size_t others_served = 0;
  std::size_t let_go = 0;
  for (int tick = 0; tick < 240; ++tick) {  // a minute of quarter seconds
    const Instant now = after(tick * 0.25);
    // Eight slow callers come each quarter of a second while there is room; their sockets accept one window at once.
    for (int i = 0; i < 8 && slow.size() < 500 && budget.hasRoom(); ++i) {
      const BufferId held = offered(budget, now, kAnswer);
      budget.noteTaken(now, held, kWindow);
      slow[held] = kAnswer - kWindow;
    }
    // Another caller reads its whole answer at once.
    if (budget.hasRoom()) {
      const BufferId quick = offered(budget, now, kAnswer);
      budget.noteTaken(now, quick, kAnswer);
      budget.release(quick);
      ++others_served;
    }
    for (const SlowPeer& peer : budget.slowPeers(now)) {
      budget.release(peer.held);
      slow.erase(peer.held);
      ++let_go;
    }
    REQUIRE(budget.bytes() <= budget.limits().most_bytes);
  }
  CHECK(others_served == 240);
  CHECK(let_go > 500);
}

TEST_CASE("The total equals the sum of the buffers, and no peer is slow before the least timeout",
          "[byte_budget][property]") {
  CHECK(testing::holds([] {
    ByteBudget budget = budgetOf();
    std::map<BufferId, std::size_t> held;
    std::map<BufferId, Instant> waits;
    Instant now = kStart;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += fromMillis(*rc::gen::inRange(0, 1500));
      const auto bytes = static_cast<std::size_t>(*rc::gen::inRange(1, 400));
      const auto offer = [&](BufferId id) {
        waits[id] = now;
        budget.offer(now, id);
      };
      const auto pick = [&] {
        auto at = held.begin();
        std::advance(at, *rc::gen::inRange(0, static_cast<int>(held.size())));
        return at;
      };
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          const BufferId id = budget.beginCollecting();
          budget.add(id, bytes);
          held[id] = bytes;
          break;
        }
        case 1:
          if (held.empty()) break;
          offer(pick()->first);
          break;
        case 2: {
          if (held.empty()) break;
          const auto at = pick();
          if (!waits.contains(at->first)) break;
          budget.noteTaken(now, at->first, bytes);
          at->second -= std::min(bytes, at->second);
          waits[at->first] = now;
          break;
        }
        default: {
          if (held.empty()) break;
          const auto at = pick();
          budget.release(at->first);
          waits.erase(at->first);
          held.erase(at);
        }
      }
      std::size_t sum = 0;
      for (const auto& [id, size] : held) sum += size;
      RC_ASSERT(budget.bytes() == sum);
      for (const SlowPeer& peer : budget.slowPeers(now)) {
        RC_ASSERT(waits.contains(peer.held));
        RC_ASSERT(peer.silent_for >= budget.limits().min_silence_limit);
      }
    }
  }));
}
