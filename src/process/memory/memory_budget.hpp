#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/result.hpp"

namespace hatchfork::memory {

/// Consumers of memory in a store that grow with its input.
enum class MemoryConsumer : std::uint8_t {
  /// Bodies, results and progress of jobs.
  kState,
  /// Former state of changed jobs for a snapshot in progress, and the pieces that are being written or restored.
  kSnapshot,
  /// Payloads of log entries that are kept in memory.
  kLog,
  /// Submissions that have arrived and are not applied yet.
  kRequests,
  /// Frames that are not sent to their peers yet.
  kOutboxes,
};
constexpr std::size_t kMemoryConsumers = 5;
std::string_view nameOf(MemoryConsumer consumer);

/// Divides the memory of a process between its consumers, so that all of them together fit. Each consumer reports its
/// use, and callers check for room before they add to it. The quotas leave room for the overhead of counted bytes in
/// memory (allocator, tables). Not thread-safe; no I/O, no clock.
class MemoryBudget {
 public:
  /// `limit_mb`: memory limit of the process, in megabytes.
  explicit MemoryBudget(std::uint32_t limit_mb);

  /// Returns `kInvalidArgument`, with the minimum, if the limit is too low to serve with.
  static Status check(std::uint32_t limit_mb);

  /// Maximum number of counted bytes for the consumer.
  std::size_t quota(MemoryConsumer consumer) const { return uses_[index(consumer)].quota; }
  std::size_t held(MemoryConsumer consumer) const { return uses_[index(consumer)].held; }
  bool hasRoom(MemoryConsumer consumer, std::size_t more) const { return held(consumer) + more <= quota(consumer); }
  /// Records the use of a consumer in bytes. Logs an event when the consumer reaches its limit, and when its use is
  /// well below the limit again.
  void note(MemoryConsumer consumer, std::size_t held);

 private:
  struct Use {
    std::size_t quota = 0;
    std::size_t held = 0;
    bool is_full = false;
  };

  static std::size_t index(MemoryConsumer consumer) { return static_cast<std::size_t>(consumer); }

  std::array<Use, kMemoryConsumers> uses_;
};

}  // namespace hatchfork::memory
