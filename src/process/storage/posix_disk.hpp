#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "process/storage/disk.hpp"

namespace hatchfork {

/// Disk on the file system of the machine, below one data folder. Reads, writes and `replace` run on the calling
/// thread; syncs run in order on one background thread, so that a slow disk never blocks the control thread.
///
/// Threading: all functions must be called on the control thread. Sync callbacks are passed to `post`, which must run
/// them on the control thread; `post` itself is called from the background thread.
class PosixDisk final : public Disk {
 public:
  using Post = std::function<void(std::function<void()>)>;

  /// `folder` is created if absent.
  PosixDisk(std::string folder, Post post);
  /// Stops the background thread after the current sync; callbacks that were not posted yet are dropped.
  ~PosixDisk() override;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;

  Result<std::vector<std::string>> list(const std::string& folder) override;
  Result<std::string> read(const std::string& name) override;
  Result<std::uint64_t> size(const std::string& name) override;
  Result<std::string> readRange(const std::string& name, std::uint64_t offset, std::uint64_t length) override;
  Status append(const std::string& name, std::string_view bytes) override;
  Status truncate(const std::string& name, std::uint64_t size) override;
  Status replace(const std::string& name, std::string_view bytes) override;
  /// Durable on return; `kNotFound` if the file is absent.
  Status remove(const std::string& name) override;
  void sync(const std::string& name, SyncCallback done) override;

  /// Number of syncs requested since the start; for metrics.
  std::uint64_t syncCount() const { return sync_count_; }

 private:
  struct SyncJob {
    /// Duplicated descriptor that the job owns; negative if opening failed with `error_number`.
    int descriptor = -1;
    int error_number = 0;
    std::string name;
    /// Folder that must be synced too, since the file may be new; empty if not needed.
    std::string folder;
    SyncCallback done;
  };

  std::string pathOf(const std::string& name) const;
  /// Returns the descriptor that is kept open for appends to `name`, or a negative error number.
  int appendDescriptor(const std::string& name);
  void closeDescriptor(const std::string& name);
  void runSyncs();
  Status runSync(const SyncJob& job) const;

  std::string folder_;
  Post post_;
  std::map<std::string, int> descriptors_;
  /// Files whose folder entry this process has made durable, by a sync of the folder.
  std::set<std::string> linked_;
  std::uint64_t sync_count_ = 0;

  std::mutex mutex_;
  std::condition_variable work_arrived_;
  std::deque<SyncJob> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hatchfork
