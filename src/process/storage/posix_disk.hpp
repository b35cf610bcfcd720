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

/// The machine's file system below one data folder. Reads, writes and `replace` run on the calling thread; syncs run in
/// order on one background thread, so that a slow disk never stops the control thread.
///
/// Threading: every function is called on the control thread. Sync callbacks are handed to `post`, which must run them
/// on the control thread; `post` itself is called from the background thread.
class PosixDisk final : public Disk {
 public:
  using Post = std::function<void(std::function<void()>)>;

  /// `folder` is created when absent.
  PosixDisk(std::string folder, Post post);
  /// Ends the background thread after the sync it is in; callbacks that were not posted yet are dropped.
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
  /// Durable on return. A file that is absent is `kNotFound`.
  Status remove(const std::string& name) override;
  void sync(const std::string& name, SyncCallback done) override;

  /// Syncs asked for since the start; for metrics.
  std::uint64_t syncCount() const { return sync_count_; }

 private:
  struct SyncJob {
    /// A duplicate that the job owns; negative where opening failed with `error_number`.
    int descriptor = -1;
    int error_number = 0;
    std::string name;
    /// Folder that must be synced too, since the file may be new; empty for none.
    std::string folder;
    SyncCallback done;
  };

  std::string pathOf(const std::string& name) const;
  /// The descriptor kept open for appends to `name`, or a negative error number.
  int appendDescriptor(const std::string& name);
  void closeDescriptor(const std::string& name);
  void runSyncs();
  Status runSync(const SyncJob& job) const;

  std::string folder_;
  Post post_;
  std::map<std::string, int> descriptors_;
  /// Files whose folder this process has synced, so that their names are durable.
  std::set<std::string> linked_;
  std::uint64_t sync_count_ = 0;

  std::mutex mutex_;
  std::condition_variable work_arrived_;
  std::deque<SyncJob> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace hatchfork
