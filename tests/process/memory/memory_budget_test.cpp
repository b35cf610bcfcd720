#include "process/memory/memory_budget.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::memory;

namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr MemoryHolder kAll[kHolders] = {MemoryHolder::kState, MemoryHolder::kSnapshot, MemoryHolder::kLog,
                                         MemoryHolder::kRequests, MemoryHolder::kOutboxes};

}  // namespace

TEST_CASE("all parts of a process's memory together fit into it", "[memory]") {
  for (const std::uint32_t limit_mb : {24u, 59u, 130u, 270u, 4096u}) {
    INFO(limit_mb);
    REQUIRE(isOk(MemoryBudget::check(limit_mb)));
    const MemoryBudget budget(limit_mb);
    std::size_t sum = 0;
    for (const MemoryHolder holder : kAll) {
      REQUIRE(budget.part(holder) > 0);
      sum += budget.part(holder);
    }
    REQUIRE(sum < limit_mb * kMegabyte);
  }
  REQUIRE_FALSE(isOk(MemoryBudget::check(16)));
}

TEST_CASE("a holder has room up to its part", "[memory]") {
  MemoryBudget budget(130);
  const std::size_t part = budget.part(MemoryHolder::kState);
  REQUIRE(budget.hasRoom(MemoryHolder::kState, part));
  budget.note(MemoryHolder::kState, part - 10);
  REQUIRE(budget.hasRoom(MemoryHolder::kState, 10));
  REQUIRE_FALSE(budget.hasRoom(MemoryHolder::kState, 11));
  REQUIRE(budget.hasRoom(MemoryHolder::kRequests, 11));
}
