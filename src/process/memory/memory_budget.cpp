#include "process/memory/memory_budget.hpp"

#include <fmt/format.h>

#include "common/log.hpp"

namespace hatchfork::memory {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
/// Code, threads, the view of the fleet, and what is decoded at one moment.
constexpr std::size_t kProgramBytes = 8 * kMegabyte;
constexpr std::uint32_t kLeastLimitMb = 24;
/// Memory that a counted byte takes: the allocator's part.
constexpr double kOverhead = 1.1;
/// A holder that was full is well below its part again from here on.
constexpr double kFreeAgain = 0.9;

/// Shares of what the program leaves; the rest is for texts of runs, which are bounded by their number.
constexpr std::array<double, kHolders> kShares = {0.55, 0.06, 0.08, 0.12, 0.12};

}  // namespace

std::string_view nameOf(MemoryHolder holder) {
  switch (holder) {
    case MemoryHolder::kState:
      return "state";
    case MemoryHolder::kSnapshot:
      return "snapshot";
    case MemoryHolder::kLog:
      return "log";
    case MemoryHolder::kRequests:
      return "requests";
    case MemoryHolder::kOutboxes:
      return "outboxes";
  }
  return "unknown";
}

MemoryBudget::MemoryBudget(std::uint32_t limit_mb) {
  const std::size_t limit = limit_mb * kMegabyte;
  const double divided = limit > kProgramBytes ? static_cast<double>(limit - kProgramBytes) : 0;
  for (std::size_t holder = 0; holder < kHolders; ++holder) {
    uses_[holder].part = static_cast<std::size_t>(kShares[holder] * divided / kOverhead);
  }
}

Status MemoryBudget::check(std::uint32_t limit_mb) {
  if (limit_mb >= kLeastLimitMb) return okStatus();
  return Error{ErrorKind::kInvalidArgument,
               fmt::format("memory_mb is {}: too little for the state of a store", limit_mb),
               fmt::format("give the process {} MB or more", kLeastLimitMb),
               Executed::kNo,
               {}};
}

void MemoryBudget::note(MemoryHolder holder, std::size_t held) {
  Use& use = uses_[index(holder)];
  use.held = held;
  const bool was_full = use.is_full;
  if (held >= use.part) use.is_full = true;
  if (static_cast<double>(held) < kFreeAgain * static_cast<double>(use.part)) use.is_full = false;
  if (use.is_full == was_full) return;
  logEvent(use.is_full ? LogLevel::kWarning : LogLevel::kInfo, use.is_full ? "memory_part_full" : "memory_part_free",
           {{"holder", nameOf(holder)}, {"held", held}, {"part", use.part}});
}

}  // namespace hatchfork::memory
