#include "process/consensus/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/codec.hpp"
#include "common/text_memory.hpp"
#include "process/storage/record.hpp"

namespace hatchfork::consensus {
namespace {

constexpr std::string_view kSegmentPrefix = "log-";
/// A segment is closed once it has grown beyond this.
constexpr std::uint64_t kSegmentBytes = 1 << 20;
/// Minimum size of a command's payload that is released from memory; smaller payloads stay in memory.
constexpr std::size_t kReleasedBytes = 1024;
/// A batch's buffer is kept for the next one up to this size.
constexpr std::size_t kMaxSpareBytes = 64 * 1024;

std::string segmentName(std::uint64_t number) {
  return fmt::format("{}{:020}", kSegmentPrefix, number);
}

bool isWorthReleasing(const LogEntry& entry) {
  return entry.kind == EntryKind::kCommand && entry.payload.size() >= kReleasedBytes;
}

std::string baseName(const std::string& path) {
  return path.substr(path.find_last_of('/') + 1);
}

}  // namespace

Log::Log(Disk& disk, std::string folder, Callbacks callbacks)
    : disk_(disk), folder_(std::move(folder)), callbacks_(std::move(callbacks)), self_(std::make_shared<Log*>(this)) {}

Result<std::unique_ptr<Log>> Log::open(Disk& disk, std::string folder, LogIndex base, Term base_term,
                                       Callbacks callbacks) {
  std::unique_ptr<Log> log(new Log(disk, std::move(folder), std::move(callbacks)));
  const Status loaded = log->load(base, base_term);
  if (!isOk(loaded)) return errorOf(loaded);
  return log;
}

Status Log::load(LogIndex base, Term base_term) {
  const Result<std::vector<std::string>> listed = disk_.list(folder_);
  if (!isOk(listed)) return errorOf(listed);
  std::vector<std::string> names;
  for (const std::string& path : valueOf(listed)) {
    const std::string name = baseName(path);
    if (name.rfind(kSegmentPrefix, 0) == 0) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  first_index_ = base + 1;
  base_term_ = base_term;
  for (std::size_t i = 0; i < names.size(); ++i) {
    const Status status = loadSegment(names[i], i + 1 == names.size());
    if (!isOk(status)) return status;
  }
  // A snapshot that covers or contradicts the log was installed by a leader: it replaces the log.
  const bool behind = lastIndex() < base;
  const bool contradicted = !behind && base >= first_index_ && termAt(base) != base_term;
  if (behind || contradicted) return resetTo(base, base_term);
  if (first_index_ > base + 1) return storageCorruptError(folder_, "log entries are missing after the snapshot");
  if (first_index_ == base + 1) base_term_ = base_term;
  synced_index_ = base;
  if (entries_.empty()) return okStatus();
  batch_running_ = true;
  batch_end_ = lastIndex();
  disk_.sync(segments_.back().name, [self = std::weak_ptr<Log*>(self_)](const Status& status) {
    if (const auto log = self.lock()) (*log)->finishBatch(status);
  });
  return okStatus();
}

Status Log::loadSegment(const std::string& name, bool last) {
  const std::string path = folder_ + "/" + name;
  const Result<std::string> content = disk_.read(path);
  if (!isOk(content)) return errorOf(content);
  const std::string& bytes = valueOf(content);
  const Result<ScannedRecords> scanned = scanRecords(bytes, path);
  if (!isOk(scanned)) return errorOf(scanned);
  const ScannedRecords& records = valueOf(scanned);
  if (records.torn_tail && !last)
    return storageCorruptError(path, "a segment that was closed ends in a truncated record");
  if (records.torn_tail) {
    const Status cut = disk_.replace(path, std::string_view(bytes).substr(0, records.whole_bytes));
    if (!isOk(cut)) return cut;
  }
  Segment segment{path, 0, records.whole_bytes};
  const auto file = std::make_shared<const std::string>(path);
  for (const std::string_view body : records.bodies) {
    Result<LogEntry> entry = decodeStruct<LogEntry>(body);
    if (!isOk(entry)) return storageCorruptError(path, "a record is not a log entry: " + errorOf(entry).message);
    segment.highest_index = std::max(segment.highest_index, valueOf(entry).index);
    StoredEntry held;
    held.entry = valueOf(std::move(entry));
    held.file = file;
    held.offset = static_cast<std::uint64_t>(body.data() - bytes.data());
    held.bytes = body.size();
    if (isWorthReleasing(held.entry)) releasePayload(held);
    const Status placed = place(std::move(held), path);
    if (!isOk(placed)) return placed;
  }
  segments_.push_back(segment);
  next_segment_number_ = std::stoull(name.substr(kSegmentPrefix.size())) + 1;
  return okStatus();
}

void Log::releasePayload(StoredEntry& held) {
  releaseMemory(held.entry.payload);
  held.released = true;
}

Status Log::place(StoredEntry held, const std::string& file) {
  const LogEntry& entry = held.entry;
  if (entries_.empty() && entry.index != first_index_) {
    first_index_ = entry.index;
    base_term_.reset();
  }
  if (entry.index > lastIndex() + 1) return storageCorruptError(file, "log entries are missing");
  if (entry.index < first_index_) {
    entries_.clear();
    first_index_ = entry.index;
    base_term_.reset();
  }
  entries_.resize(entry.index - first_index_);
  entries_.push_back(std::move(held));
  return okStatus();
}

Result<LogEntry> Log::read(LogIndex index) const {
  const StoredEntry& held = entries_[index - first_index_];
  if (!held.released) return held.entry;
  const Result<std::string> body = disk_.readRange(*held.file, held.offset, held.bytes);
  if (!isOk(body)) return errorOf(body);
  Result<LogEntry> entry = decodeStruct<LogEntry>(valueOf(body));
  const bool same = isOk(entry) && valueOf(entry).index == index && valueOf(entry).term == held.entry.term;
  if (!same) return storageCorruptError(*held.file, "a record that was intact before cannot be read again");
  return entry;
}

void Log::release(LogIndex index) {
  const LogIndex last = std::min({index, synced_index_, lastIndex()});
  for (LogIndex at = std::max(released_to_ + 1, first_index_); at <= last; ++at) {
    StoredEntry& held = entries_[at - first_index_];
    if (isWorthReleasing(held.entry) && held.file && !held.released) releasePayload(held);
  }
  released_to_ = std::max(released_to_, last);
}

void Log::setPendingOffsets(const Segment& segment) {
  const auto file = std::make_shared<const std::string>(segment.name);
  for (auto held = entries_.rbegin(); held != entries_.rend() && !held->file; ++held) {
    held->file = file;
    held->offset += segment.bytes;
  }
}

Term Log::lastTerm() const {
  return termAt(lastIndex()).value_or(0);
}

std::optional<Term> Log::termAt(LogIndex index) const {
  if (index + 1 == first_index_) return base_term_;
  if (index < first_index_ || index > lastIndex()) return std::nullopt;
  return at(index).term;
}

std::uint64_t Log::diskBytes() const {
  std::uint64_t bytes = pending_.size();
  for (const Segment& segment : segments_) bytes += segment.bytes;
  return bytes;
}

std::size_t Log::payloadBytesHeld() const {
  std::size_t bytes = pending_.size();
  for (const StoredEntry& held : entries_) bytes += held.entry.payload.size();
  return bytes;
}

LogIndex Log::firstIndexOfLast(std::uint64_t bytes) const {
  std::uint64_t counted = 0;
  for (auto segment = segments_.rbegin(); segment != segments_.rend(); ++segment) {
    if (counted >= bytes) return segment->highest_index + 1;
    counted += segment->bytes;
  }
  return first_index_;
}

void Log::append(LogEntry entry) {
  if (failed_) return;
  const LogIndex before = entry.index - 1;
  synced_index_ = std::min(synced_index_, before);
  batch_end_ = std::min(batch_end_, before);
  released_to_ = std::min(released_to_, before);
  entries_.resize(entry.index - first_index_);
  const std::string body = encodeStruct(entry);
  appendRecord(pending_, body);
  StoredEntry held;
  held.entry = std::move(entry);
  held.offset = pending_.size() - body.size();
  held.bytes = body.size();
  entries_.push_back(std::move(held));
  startBatch();
}

Log::Segment& Log::segmentForWriting() {
  if (!segment_open_ || segments_.back().bytes >= kSegmentBytes) {
    segments_.push_back(Segment{folder_ + "/" + segmentName(next_segment_number_++), 0, 0});
    segment_open_ = true;
  }
  return segments_.back();
}

void Log::startBatch() {
  if (batch_running_ || failed_ || pending_.empty()) return;
  Segment& segment = segmentForWriting();
  const Status written = disk_.append(segment.name, pending_);
  if (!isOk(written)) {
    fail(errorOf(written));
    return;
  }
  setPendingOffsets(segment);
  segment.bytes += pending_.size();
  segment.highest_index = std::max(segment.highest_index, lastIndex());
  pending_.capacity() > kMaxSpareBytes ? releaseMemory(pending_) : pending_.clear();
  batch_running_ = true;
  batch_end_ = lastIndex();
  disk_.sync(segment.name, [self = std::weak_ptr<Log*>(self_)](const Status& status) {
    if (const auto log = self.lock()) (*log)->finishBatch(status);
  });
}

void Log::finishBatch(const Status& status) {
  batch_running_ = false;
  if (failed_) return;
  if (!isOk(status)) {
    fail(errorOf(status));
    return;
  }
  synced_index_ = std::max(synced_index_, batch_end_);
  startBatch();
  callbacks_.synced();
}

void Log::fail(const Error& error) {
  failed_ = true;
  callbacks_.failed(error);
}

Status Log::resetTo(LogIndex base, Term base_term) {
  entries_.clear();
  released_to_ = 0;
  pending_.clear();
  first_index_ = base + 1;
  base_term_ = base_term;
  synced_index_ = base;
  batch_end_ = 0;
  segment_open_ = false;
  // Newest first: the segments that a crash leaves behind end before the snapshot, and are dropped at the next start.
  while (!segments_.empty()) {
    const Status removed = disk_.remove(segments_.back().name);
    if (!isOk(removed)) return removed;
    segments_.pop_back();
  }
  return okStatus();
}

Status Log::compactBefore(LogIndex index) {
  if (index <= first_index_ || index > lastIndex() + 1) return okStatus();
  base_term_ = termAt(index - 1);
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(index - first_index_));
  first_index_ = index;
  // The next entries get a new segment, so that this one can be removed as a whole later.
  segment_open_ = false;
  while (segments_.size() > 1 && segments_.front().highest_index < index) {
    const Status removed = disk_.remove(segments_.front().name);
    if (!isOk(removed)) return removed;
    segments_.pop_front();
  }
  return okStatus();
}

}  // namespace hatchfork::consensus
