#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/sim/event_queue.hpp"
#include "process/storage/disk.hpp"

namespace hatchfork::sim {

/// A disk in memory that outlives its process and fails as real ones do. Unsynced bytes survive a process's end but not
/// a machine's crash, which keeps, cuts or zero-fills them at random. `replace`, `truncate` and `remove` are durable on
/// return.
class SimulatedDisk final : public Disk {
 public:
  SimulatedDisk(EventQueue& queue, std::uint64_t seed) : queue_(queue), random_(seed) {}

  Result<std::vector<std::string>> list(const std::string& folder) override;
  Result<std::string> read(const std::string& name) override;
  Result<std::uint64_t> size(const std::string& name) override;
  Result<std::string> readRange(const std::string& name, std::uint64_t offset, std::uint64_t length) override;
  Status append(const std::string& name, std::string_view bytes) override;
  Status truncate(const std::string& name, std::uint64_t size) override;
  Status replace(const std::string& name, std::string_view bytes) override;
  Status remove(const std::string& name) override;
  void sync(const std::string& name, SyncCallback done) override;

  /// Where sync callbacks run; by default at once when the sync ends.
  void setPost(std::function<void(std::function<void()>)> post) { post_ = std::move(post); }
  /// Time a sync takes.
  void setSyncLatency(Duration latency) { sync_latency_ = latency; }
  /// From now on syncs and replacements report failure.
  void setSyncsFail(bool fail) { syncs_fail_ = fail; }
  /// From now on syncs report success without making anything durable.
  void setSyncsLie(bool lie) { syncs_lie_ = lie; }
  /// From now on nothing can be written.
  void setFull(bool full) { full_ = full; }

  /// The process ended: its callbacks are gone, its written bytes are still there.
  void endProcess() {
    ++epoch_;
    bytes_read_ = 0;
  }
  /// The machine went down: whatever was not synced is lost, cut or zeroed.
  void crash();
  /// The machine went down and unsynced bytes were cut in the middle, if there were any.
  void crashWithTornTail();
  /// A new, empty disk.
  void wipe();
  /// As `wipe`, but files whose names end in `suffix` stay.
  void wipeExcept(const std::string& suffix);
  /// Inverts one bit of the file. Returns false if there is no such file or it is empty.
  bool flipBit(const std::string& name, std::uint64_t byte);

  /// Names of all files whose path contains `part`.
  std::vector<std::string> namesContaining(const std::string& part) const;
  std::uint64_t syncCount() const { return sync_count_; }
  std::uint64_t totalBytes() const;
  /// Bytes read since the process began.
  std::uint64_t bytesRead() const { return bytes_read_; }

 private:
  struct File {
    std::string content;
    std::uint64_t synced_bytes = 0;
    /// False until a sync has made the file's name durable.
    bool linked = false;
  };

  Error failure(const std::string& what) const;
  void loseUnsynced(File& file);

  EventQueue& queue_;
  std::mt19937_64 random_;
  std::map<std::string, File> files_;
  std::function<void(std::function<void()>)> post_ = [](const std::function<void()>& work) { work(); };
  Duration sync_latency_ = fromMillis(2);
  /// Syncs end in order: the last one ends at this time.
  Instant last_sync_end_{};
  bool syncs_fail_ = false;
  bool syncs_lie_ = false;
  bool full_ = false;
  std::uint64_t epoch_ = 0;
  std::uint64_t sync_count_ = 0;
  std::uint64_t bytes_read_ = 0;
};

}  // namespace hatchfork::sim
