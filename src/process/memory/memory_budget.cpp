#include "process/memory/memory_budget.hpp"

#include <fmt/format.h>

#include "common/log.hpp"

namespace hatchfork::memory {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
/// Memory of code, threads, the view of the fleet, and messages that are being decoded.
constexpr std::size_t kProgramBytes = 8 * kMegabyte;
constexpr std::uint32_t kMinLimitMb = 24;
/// Bytes of memory per counted byte, including the overhead of the allocator.
constexpr double kMemoryPerCountedByte = 1.1;
/// A consumer that was full counts as free again below this share of its quota.
constexpr double kFreeShare = 0.9;

/// Shares of the memory besides `kProgramBytes`. The rest is for the texts of runs, whose number is bounded.
constexpr std::array<double, kMemoryConsumers> kShares = {0.55, 0.06, 0.08, 0.12, 0.12};

}  // namespace

std::string_view nameOf(MemoryConsumer consumer) {
  switch (consumer) {
    case MemoryConsumer::kState:
      return "state";
    case MemoryConsumer::kSnapshot:
      return "snapshot";
    case MemoryConsumer::kLog:
      return "log";
    case MemoryConsumer::kRequests:
      return "requests";
    case MemoryConsumer::kOutboxes:
      return "outboxes";
  }
  return "unknown";
}

MemoryBudget::MemoryBudget(std::uint32_t limit_mb) {
  const std::size_t limit = limit_mb * kMegabyte;
  const double divided = limit > kProgramBytes ? static_cast<double>(limit - kProgramBytes) : 0;
  for (std::size_t consumer = 0; consumer < kMemoryConsumers; ++consumer) {
    uses_[consumer].quota = static_cast<std::size_t>(kShares[consumer] * divided / kMemoryPerCountedByte);
  }
}

Status MemoryBudget::check(std::uint32_t limit_mb) {
  if (limit_mb >= kMinLimitMb) return okStatus();
  return Error{ErrorKind::kInvalidArgument,
               fmt::format("memory_mb is {}, which is too low for the state of a store", limit_mb),
               fmt::format("set memory_mb to {} or more", kMinLimitMb),
               Executed::kNo,
               {}};
}

void MemoryBudget::note(MemoryConsumer consumer, std::size_t held) {
  Use& use = uses_[index(consumer)];
  use.held = held;
  const bool was_full = use.is_full;
  if (held >= use.quota) use.is_full = true;
  if (static_cast<double>(held) < kFreeShare * static_cast<double>(use.quota)) use.is_full = false;
  if (use.is_full == was_full) return;
  logEvent(use.is_full ? LogLevel::kWarning : LogLevel::kInfo, use.is_full ? "memory_part_full" : "memory_part_free",
           {{"holder", nameOf(consumer)}, {"held", held}, {"part", use.quota}});
}

}  // namespace hatchfork::memory
