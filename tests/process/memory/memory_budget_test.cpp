#include "process/memory/memory_budget.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::memory;

namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr MemoryConsumer kAllConsumers[kMemoryConsumers] = {MemoryConsumer::kState, MemoryConsumer::kSnapshot,
                                                            MemoryConsumer::kLog, MemoryConsumer::kRequests,
                                                            MemoryConsumer::kOutboxes};

}  // namespace

TEST_CASE("the quotas of all consumers together fit into the memory of the process", "[memory]") {
  for (const std::uint32_t limit_mb : {24u, 59u, 130u, 270u, 4096u}) {
    INFO(limit_mb);
    REQUIRE(isOk(MemoryBudget::check(limit_mb)));
    const MemoryBudget budget(limit_mb);
    std::size_t sum = 0;
    for (const MemoryConsumer consumer : kAllConsumers) {
      REQUIRE(budget.quota(consumer) > 0);
      sum += budget.quota(consumer);
    }
    REQUIRE(sum < limit_mb * kMegabyte);
  }
  REQUIRE_FALSE(isOk(MemoryBudget::check(16)));
}

TEST_CASE("a consumer has room up to its quota", "[memory]") {
  MemoryBudget budget(130);
  const std::size_t quota = budget.quota(MemoryConsumer::kState);
  REQUIRE(budget.hasRoom(MemoryConsumer::kState, quota));
  budget.note(MemoryConsumer::kState, quota - 10);
  REQUIRE(budget.hasRoom(MemoryConsumer::kState, 10));
  REQUIRE_FALSE(budget.hasRoom(MemoryConsumer::kState, 11));
  REQUIRE(budget.hasRoom(MemoryConsumer::kRequests, 11));
}
