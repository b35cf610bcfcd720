#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"

namespace hatchfork {

/// Called on the control thread when a sync has ended.
using SyncCallback = std::function<void(Status)>;

/// File operations for durable state, below one data folder. Implemented by `PosixDisk` in the programs and by
/// `SimulatedDisk` in tests. Names are relative paths without "..". Nothing is durable before a `sync` has reported
/// success: a simulated crash loses, tears or keeps whatever was not synced.
///
/// Threading: used from the control thread only; `sync` may work on another thread but calls back on the control
/// thread.
class Disk {
 public:
  virtual ~Disk() = default;

  /// File names (not folders) below `folder`, sorted.
  virtual Result<std::vector<std::string>> list(const std::string& folder) = 0;
  /// Whole content of a file; `kNotFound` if absent.
  virtual Result<std::string> read(const std::string& name) = 0;
  /// Bytes of a file; `kNotFound` if absent.
  virtual Result<std::uint64_t> size(const std::string& name) = 0;
  /// Part of a file; shorter than `length` at the end of the file.
  virtual Result<std::string> readRange(const std::string& name, std::uint64_t offset, std::uint64_t length) = 0;
  /// Appends bytes; creates the file and its folders if absent.
  virtual Status append(const std::string& name, std::string_view bytes) = 0;
  /// Truncates a file to `size` bytes.
  virtual Status truncate(const std::string& name, std::uint64_t size) = 0;
  /// Replaces a file atomically: after a crash, the file has either the old or the new content. Durable on return.
  virtual Status replace(const std::string& name, std::string_view bytes) = 0;
  virtual Status remove(const std::string& name) = 0;
  /// Makes all data appended to `name` before this call durable, then calls `done`; callbacks run in call order.
  virtual void sync(const std::string& name, SyncCallback done) = 0;
};

}  // namespace hatchfork
