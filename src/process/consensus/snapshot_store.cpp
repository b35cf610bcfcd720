#include "process/consensus/snapshot_store.hpp"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "common/codec.hpp"
#include "process/storage/record.hpp"

namespace hatchfork::consensus {
namespace {

constexpr std::string_view kFilePrefix = "snapshot-";
/// Unsynced bytes after which a snapshot is synced, so that no sync of the log waits long behind that of a whole
/// snapshot.
constexpr std::uint64_t kBytesBetweenSyncs = 256 * 1024;

/// Content of the pointer file.
struct SnapshotPointer {
  LogIndex index = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotPointer, index)

std::string recordOf(std::string_view body) {
  std::string bytes;
  bytes.reserve(kRecordHeaderBytes + body.size());
  appendRecord(bytes, body);
  return bytes;
}

}  // namespace

std::string encodeSnapshotHeader(const SnapshotHeader& header) {
  return recordOf(encodeStruct(header));
}

std::string encodeSnapshotPiece(std::string_view piece) {
  return recordOf(piece);
}

std::string encodeSnapshotEnd() {
  return recordOf({});
}

Result<std::string> SnapshotReader::readRecord() {
  const Result<std::string> header_bytes = disk_->readRange(file_, offset_, kRecordHeaderBytes);
  if (!isOk(header_bytes)) {
    if (errorOf(header_bytes).kind != ErrorKind::kNotFound) return errorOf(header_bytes);
    return storageCorruptError(file_, "the snapshot is missing");
  }
  const std::optional<RecordHeader> header = readRecordHeader(valueOf(header_bytes));
  if (!header) return storageCorruptError(file_, "the snapshot is truncated or damaged");
  Result<std::string> body = disk_->readRange(file_, offset_ + kRecordHeaderBytes, header->body_bytes);
  if (!isOk(body)) return errorOf(body);
  if (!header->matches(valueOf(body))) return storageCorruptError(file_, "the snapshot is truncated or damaged");
  offset_ += kRecordHeaderBytes + header->body_bytes;
  return body;
}

Result<SnapshotHeader> SnapshotReader::readHeader() {
  const Result<std::string> body = readRecord();
  if (!isOk(body)) return errorOf(body);
  const Result<SnapshotHeader> header = decodeStruct<SnapshotHeader>(valueOf(body));
  if (!isOk(header)) return storageCorruptError(file_, "the snapshot's header cannot be read");
  return header;
}

Result<std::optional<std::string>> SnapshotReader::readPiece() {
  Result<std::string> body = readRecord();
  if (!isOk(body)) return errorOf(body);
  if (!valueOf(body).empty()) return std::optional<std::string>(valueOf(std::move(body)));
  const Result<std::uint64_t> bytes = disk_->size(file_);
  if (!isOk(bytes)) return errorOf(bytes);
  if (valueOf(bytes) != offset_) return storageCorruptError(file_, "unexpected data after the end of the snapshot");
  return std::optional<std::string>();
}

SnapshotStore::SnapshotStore(Disk& disk, std::string folder)
    : disk_(disk), folder_(std::move(folder)), self_(std::make_shared<SnapshotStore*>(this)) {}

std::string SnapshotStore::fileName(LogIndex index) const {
  return fmt::format("{}/{}{:020}", folder_, kFilePrefix, index);
}

std::string SnapshotStore::pointerName() const {
  return folder_ + "/snapshot";
}

Result<std::optional<SnapshotHeader>> SnapshotStore::load() {
  const Result<std::string> pointer_bytes = disk_.read(pointerName());
  if (!isOk(pointer_bytes)) {
    if (errorOf(pointer_bytes).kind != ErrorKind::kNotFound) return errorOf(pointer_bytes);
    const Status removed = removeOthers(0);
    if (!isOk(removed)) return errorOf(removed);
    return std::optional<SnapshotHeader>();
  }
  const Result<ScannedRecords> scanned = scanRecords(valueOf(pointer_bytes), pointerName());
  if (!isOk(scanned)) return errorOf(scanned);
  if (valueOf(scanned).bodies.size() != 1) return storageCorruptError(pointerName(), "the pointer cannot be read");
  const Result<SnapshotPointer> pointer = decodeStruct<SnapshotPointer>(valueOf(scanned).bodies.front());
  if (!isOk(pointer)) return storageCorruptError(pointerName(), "the pointer cannot be read");
  const LogIndex index = valueOf(pointer).index;
  Result<SnapshotHeader> header = reader(index).readHeader();
  if (!isOk(header)) return errorOf(header);
  const Result<std::uint64_t> bytes = disk_.size(fileName(index));
  if (!isOk(bytes)) return errorOf(bytes);
  current_ = valueOf(std::move(header));
  current_bytes_ = valueOf(bytes);
  const Status removed = removeOthers(current_.index);
  if (!isOk(removed)) return errorOf(removed);
  return std::optional<SnapshotHeader>(current_);
}

Status SnapshotStore::begin(LogIndex index) {
  abandon();
  // A previous attempt at the same index may have left a partial file.
  const Status removed = disk_.remove(fileName(index));
  if (!isOk(removed) && errorOf(removed).kind != ErrorKind::kNotFound) return removed;
  writing_index_ = index;
  written_bytes_ = 0;
  unsynced_bytes_ = 0;
  syncs_running_ = 0;
  sync_failure_.reset();
  ++attempt_;
  return okStatus();
}

Status SnapshotStore::append(std::string_view bytes) {
  const Status written = disk_.append(fileName(writing_index_), bytes);
  if (!isOk(written)) return written;
  written_bytes_ += bytes.size();
  unsynced_bytes_ += bytes.size();
  if (unsynced_bytes_ >= kBytesBetweenSyncs) syncInBackground();
  return okStatus();
}

void SnapshotStore::syncInBackground() {
  unsynced_bytes_ = 0;
  ++syncs_running_;
  auto on_synced = [self = std::weak_ptr<SnapshotStore*>(self_), attempt = attempt_](const Status& synced) {
    const auto store = self.lock();
    if (!store || (*store)->attempt_ != attempt) return;
    --(*store)->syncs_running_;
    if (!isOk(synced)) (*store)->sync_failure_ = errorOf(synced);
  };
  disk_.sync(fileName(writing_index_), std::move(on_synced));
}

void SnapshotStore::finish(const SnapshotHeader& header, std::function<void(const Status&)> done) {
  auto on_synced = [self = std::weak_ptr<SnapshotStore*>(self_), attempt = attempt_, header,
                    done = std::move(done)](const Status& synced) {
    const auto store = self.lock();
    if (!store || (*store)->attempt_ != attempt || !(*store)->writing()) return;
    (*store)->writing_index_ = 0;
    Status outcome = synced;
    if ((*store)->sync_failure_) outcome = *(*store)->sync_failure_;
    done(isOk(outcome) ? (*store)->makeCurrent(header, (*store)->written_bytes_) : outcome);
  };
  disk_.sync(fileName(writing_index_), std::move(on_synced));
}

void SnapshotStore::abandon() {
  if (!writing()) return;
  // Files that cannot be removed now are removed with the next snapshot, or at the next start.
  disk_.remove(fileName(writing_index_));
  writing_index_ = 0;
  ++attempt_;
}

Status SnapshotStore::makeCurrent(const SnapshotHeader& header, std::uint64_t bytes) {
  std::string pointer;
  appendRecord(pointer, encodeStruct(SnapshotPointer{header.index}));
  const Status replaced = disk_.replace(pointerName(), pointer);
  if (!isOk(replaced)) return replaced;
  current_ = header;
  current_bytes_ = bytes;
  return removeOthers(header.index);
}

Status SnapshotStore::removeOthers(LogIndex keep) {
  const Result<std::vector<std::string>> names = disk_.list(folder_);
  if (!isOk(names)) return errorOf(names);
  for (const std::string& path : valueOf(names)) {
    const std::string name = path.substr(path.find_last_of('/') + 1);
    const bool is_snapshot = name.rfind(kFilePrefix, 0) == 0;
    if (!is_snapshot || folder_ + "/" + name == fileName(keep)) continue;
    const Status removed = disk_.remove(folder_ + "/" + name);
    if (!isOk(removed)) return removed;
  }
  return okStatus();
}

Result<std::string> SnapshotStore::readChunk(std::uint64_t offset, std::uint64_t length) {
  return disk_.readRange(fileName(current_.index), offset, length);
}

}  // namespace hatchfork::consensus
