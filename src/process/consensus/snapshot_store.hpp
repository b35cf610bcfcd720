#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/result.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/storage/disk.hpp"

namespace hatchfork::consensus {

/// Identifies the content of a snapshot: the state after the entry at `index`, and the membership in force there.
struct SnapshotHeader {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotHeader, index, term, membership)

/// The file of a snapshot: one record for the header, records of the state's pieces, and an empty record at the end, so
/// that truncation at a record boundary is detected. The same bytes travel in chunks.
std::string encodeSnapshotHeader(const SnapshotHeader& header);
std::string encodeSnapshotPiece(std::string_view piece);
std::string encodeSnapshotEnd();

/// Reads a snapshot's file record by record. Fails with `kStorageCorrupt` on a truncated or damaged file.
class SnapshotReader {
 public:
  SnapshotReader(Disk& disk, std::string file) : disk_(&disk), file_(std::move(file)) {}

  /// Reads the first record; call once, before the pieces.
  Result<SnapshotHeader> readHeader();
  /// Returns the next piece; absent after the last one, once the whole file was read.
  Result<std::optional<std::string>> readPiece();

 private:
  Result<std::string> readRecord();

  Disk* disk_;
  std::string file_;
  std::uint64_t offset_ = 0;
};

/// Keeps the newest snapshot of a group. The file `<folder>/snapshot-<index>` is written incrementally and synced in
/// the background, and counts only once the pointer file `<folder>/snapshot` names it; so a crash leaves the old or the
/// new one. Threading: control thread only.
class SnapshotStore {
 public:
  SnapshotStore(Disk& disk, std::string folder);

  /// Finds the snapshot that the pointer names; absent when there is none yet. Files it does not name are removed.
  Result<std::optional<SnapshotHeader>> load();
  /// Begins the file of a snapshot; abandons a file that was being written.
  Status begin(LogIndex index);
  /// Adds bytes of the file that was begun.
  Status append(std::string_view bytes);
  /// Ends the file; `done` is called once it is the durable current one, or with the disk's error.
  void finish(const SnapshotHeader& header, std::function<void(const Status&)> done);
  /// Abandons the file that is being written; its `done` is not called.
  void abandon();
  bool writing() const { return writing_index_ != 0; }
  /// True while a sync of appended bytes is running: further bytes would wait for the disk.
  bool isSyncing() const { return writing() && syncs_running_ > 0; }
  /// Index of the current snapshot; zero for none.
  LogIndex currentIndex() const { return current_.index; }
  const SnapshotHeader& current() const { return current_; }
  std::uint64_t currentBytes() const { return current_bytes_; }
  /// Part of the current snapshot's file, for a transfer.
  Result<std::string> readChunk(std::uint64_t offset, std::uint64_t length);
  /// A reader of the current snapshot's file, or of the one that is being written.
  SnapshotReader reader(LogIndex index) const { return SnapshotReader(disk_, fileName(index)); }

 private:
  std::string fileName(LogIndex index) const;
  std::string pointerName() const;
  Status removeOthers(LogIndex keep);
  Status makeCurrent(const SnapshotHeader& header, std::uint64_t bytes);
  void syncInBackground();

  Disk& disk_;
  std::string folder_;
  SnapshotHeader current_;
  std::uint64_t current_bytes_ = 0;
  /// Index of the snapshot that is being written, zero for none; its bytes so far, and its bytes not yet covered by a
  /// sync.
  LogIndex writing_index_ = 0;
  std::uint64_t written_bytes_ = 0;
  std::uint64_t unsynced_bytes_ = 0;
  std::size_t syncs_running_ = 0;
  /// The first failure of a sync of that file.
  std::optional<Error> sync_failure_;
  /// Distinguishes the callbacks of an abandoned file from those of its successor.
  std::uint64_t attempt_ = 0;
  /// Callbacks of the disk outlive this object; they hold a weak reference to it.
  std::shared_ptr<SnapshotStore*> self_;
};

}  // namespace hatchfork::consensus
