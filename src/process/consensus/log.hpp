#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "process/consensus/log_entry.hpp"
#include "process/storage/disk.hpp"

namespace hatchfork::consensus {

/// The replicated log: entries in memory, and the same entries in append-only segment files `<folder>/log-<number>`.
/// Large payloads of rarely read entries may be released from memory; opening a log releases them from the start. A
/// released payload is read from its file.
///
/// A record whose index is not above the last one replaces it and all that follow, so conflicting entries are
/// overwritten by appending and no file is ever truncated while in use. Entries appended while a sync runs are written
/// together and share the next sync (group commit); so a crash can tear at most the last batch of the last file.
///
/// Threading: control thread only.
class Log {
 public:
  struct Callbacks {
    /// More entries are durable: `syncedIndex` has grown.
    std::function<void()> synced;
    /// The disk failed; nothing more is written.
    std::function<void(const Error&)> failed;
  };

  /// Reads the segments below `folder`, on top of a snapshot at `base` (zero for none). The entries read count as
  /// synced only after a first sync, since the previous process may have exited before it synced them.
  static Result<std::unique_ptr<Log>> open(Disk& disk, std::string folder, LogIndex base, Term base_term,
                                           Callbacks callbacks);

  LogIndex firstIndex() const { return first_index_; }
  LogIndex lastIndex() const { return first_index_ + entries_.size() - 1; }
  Term lastTerm() const;
  /// Index up to which every entry is durable on this disk.
  LogIndex syncedIndex() const { return synced_index_; }
  /// Returns the term of an entry; absent except for entries of the log and the entry right before the first one.
  std::optional<Term> termAt(LogIndex index) const;
  /// `index` must be in the log, and not released.
  const LogEntry& at(LogIndex index) const { return entries_[index - first_index_].entry; }
  bool isReleased(LogIndex index) const { return entries_[index - first_index_].released; }
  /// Returns the entry, from its file if its payload was released. `index` must be in the log.
  Result<LogEntry> read(LogIndex index) const;
  /// Frees large payloads of commands that are durable, up to this index.
  void release(LogIndex index);
  std::uint64_t diskBytes() const;
  /// Number of payload bytes held in memory. Iterates over all entries.
  std::size_t payloadBytesHeld() const;
  /// Returns the first index of the newest segments that hold at least `bytes`, or of the whole log if smaller.
  LogIndex firstIndexOfLast(std::uint64_t bytes) const;

  /// Adds an entry at its index; entries from there on are replaced. Durable after a later `synced` callback.
  void append(LogEntry entry);
  /// Drops all entries; the log continues after a snapshot at `base`.
  Status resetTo(LogIndex base, Term base_term);
  /// Drops entries before `index`, and removes segments that hold no others.
  Status compactBefore(LogIndex index);

 private:
  /// An entry, and the file and offset of its record's body once written.
  struct StoredEntry {
    LogEntry entry;
    std::shared_ptr<const std::string> file;
    std::uint64_t offset = 0;
    std::size_t bytes = 0;
    bool released = false;
  };
  struct Segment {
    std::string name;
    LogIndex highest_index = 0;
    std::uint64_t bytes = 0;
  };

  Log(Disk& disk, std::string folder, Callbacks callbacks);
  Status load(LogIndex base, Term base_term);
  Status loadSegment(const std::string& name, bool last);
  Status place(StoredEntry held, const std::string& file);
  static void releasePayload(StoredEntry& held);
  /// Sets the file and offset of the entries in the batch being written.
  void setPendingOffsets(const Segment& segment);
  void startBatch();
  void finishBatch(const Status& status);
  void fail(const Error& error);
  Segment& segmentForWriting();

  Disk& disk_;
  std::string folder_;
  Callbacks callbacks_;
  std::deque<StoredEntry> entries_;
  LogIndex released_to_ = 0;
  LogIndex first_index_ = 1;
  /// Term of the entry before `first_index_`; absent when it is not known.
  std::optional<Term> base_term_ = 0;
  LogIndex synced_index_ = 0;
  std::deque<Segment> segments_;
  std::uint64_t next_segment_number_ = 1;
  bool segment_open_ = false;
  /// Encoded records queued for the next batch.
  std::string pending_;
  /// Last index of the batch being synced, lowered when its entries are replaced meanwhile.
  LogIndex batch_end_ = 0;
  bool batch_running_ = false;
  bool failed_ = false;
  /// Callbacks of the disk outlive this object; they hold a weak reference to it.
  std::shared_ptr<Log*> self_;
};

}  // namespace hatchfork::consensus
