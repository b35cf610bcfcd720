#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/result.hpp"

namespace hatchfork::memory {

/// What a store holds that grows with its input.
enum class MemoryHolder : std::uint8_t {
  /// Bodies, results and progress of jobs.
  kState,
  /// What a snapshot under way keeps of jobs that change, and the pieces that are being written or taken up.
  kSnapshot,
  /// Payloads of the log that are kept in memory.
  kLog,
  /// Submissions between their arrival and their entry in the log being applied.
  kRequests,
  /// Frames that peers have not taken yet.
  kOutboxes,
};
constexpr std::size_t kHolders = 5;
std::string_view nameOf(MemoryHolder holder);

/// Divides the memory of a process between what it holds, so that all of it together fits. Each holder tells what it
/// holds; whoever adds to it asks before. Counted bytes become more in memory (allocator, tables), which the division
/// allows for. Belongs to one thread; no I/O, no clock.
class MemoryBudget {
 public:
  /// `limit_mb`: what the process may use, in megabytes.
  explicit MemoryBudget(std::uint32_t limit_mb);

  /// False where the parts would be too small to serve with: `kInvalidArgument`, with the least that is enough.
  static Status check(std::uint32_t limit_mb);

  /// Counted bytes that the holder may have.
  std::size_t part(MemoryHolder holder) const { return uses_[index(holder)].part; }
  std::size_t held(MemoryHolder holder) const { return uses_[index(holder)].held; }
  bool hasRoom(MemoryHolder holder, std::size_t more) const { return held(holder) + more <= part(holder); }
  /// Logs one line as the holder reaches its part, and one as it is well below it again.
  void note(MemoryHolder holder, std::size_t held);

 private:
  struct Use {
    std::size_t part = 0;
    std::size_t held = 0;
    bool is_full = false;
  };

  static std::size_t index(MemoryHolder holder) { return static_cast<std::size_t>(holder); }

  std::array<Use, kHolders> uses_;
};

}  // namespace hatchfork::memory
