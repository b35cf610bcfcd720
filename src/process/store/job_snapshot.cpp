#include "process/store/job_snapshot.hpp"

#include <utility>

#include "common/cbor_writer.hpp"
#include "common/codec.hpp"

namespace hatchfork::store {
namespace {

using Json = nlohmann::json;

/// CBOR initial bytes of maps and lists of indefinite length, and the break byte (RFC 8949, section 3.2.2).
constexpr char kBeginMap = static_cast<char>(0xbf);
constexpr char kBeginList = static_cast<char>(0x9f);
constexpr char kBreak = static_cast<char>(0xff);
/// Small jobs are combined into pieces of about this size.
constexpr std::size_t kPieceBytes = 64 * 1024;

void appendCbor(std::string& out, const Json& value) {
  Json::to_cbor(value, out);
}

/// Appends the name of a field and the start of a list of indefinite length.
void beginListField(std::string& out, std::string_view name) {
  appendCbor(out, Json(name));
  out += kBeginList;
}

/// Appends all fields of a submission except the items.
void appendFieldsExceptItems(std::string& out, const JobSubmission& submission) {
  JobSubmission head;
  head.id = submission.id;
  head.tenant = submission.tenant;
  head.host = submission.host;
  head.path = submission.path;
  head.submitted_at = submission.submitted_at;
  head.configuration_version = submission.configuration_version;
  const Json fields = head;
  for (const auto& [name, value] : fields.items()) {
    if (name == "items") continue;
    appendCbor(out, Json(name));
    appendCbor(out, value);
  }
}

const OpaqueItem& itemOf(const StoredJob& job, const JobPreImage* before, std::size_t position) {
  if (before != nullptr) {
    const auto listed = before->listed.find(position);
    if (listed != before->listed.end()) return listed->second;
  }
  return job.submission.items[position];
}

/// Returns null if the item had no progress.
const ItemRunProgress* progressOf(const StoredJob& job, const JobPreImage* before, std::size_t position) {
  if (before != nullptr) {
    const auto kept = before->progress.find(position);
    if (kept != before->progress.end()) return kept->second ? &*kept->second : nullptr;
  }
  const auto held = job.progress.find(job.submission.items[position].id);
  return held == job.progress.end() ? nullptr : &held->second;
}

// The field names below must match the serialization macros of these types.

void appendItem(std::string& out, const OpaqueItem& item) {
  cbor::beginMap(out, 5);
  cbor::appendField(out, "id", item.id);
  cbor::appendField(out, "target", item.target);
  cbor::appendText(out, "headers");
  cbor::beginList(out, item.headers.size());
  for (const ItemHeader& header : item.headers) {
    cbor::beginMap(out, 2);
    cbor::appendField(out, "name", header.name);
    cbor::appendField(out, "value", header.value);
  }
  cbor::appendField(out, "body", item.body);
  cbor::appendField(out, "tokens", item.tokens);
}

void appendResult(std::string& out, const ItemResult& result) {
  cbor::beginMap(out, 3);
  cbor::appendField(out, "id", result.id);
  appendCbor(out, Json("outcome"));
  appendCbor(out, Json(result.outcome));
  cbor::appendField(out, "text", result.text);
}

/// Appends the progress in the format of `ItemProgress`, with no preceding event.
void appendProgress(std::string& out, const JobId& job, const std::string& item, const ItemRunProgress& progress) {
  cbor::beginMap(out, 10);
  cbor::appendField(out, "job", job.value);
  cbor::appendField(out, "item", item);
  cbor::appendField(out, "after_event", std::uint64_t{0});
  cbor::appendField(out, "after_chain", std::uint64_t{0});
  cbor::appendField(out, "last_event", progress.last_event);
  cbor::appendField(out, "chain", progress.chain);
  cbor::appendField(out, "text", progress.text);
  cbor::appendField(out, "failures", std::uint64_t{progress.failures});
  cbor::appendText(out, "failed_runs");
  cbor::beginList(out, progress.failed_runs.size());
  for (const std::uint64_t run : progress.failed_runs) cbor::appendUnsigned(out, run);
  cbor::appendField(out, "build", progress.build.value);
}

std::size_t textBytes(const std::optional<ItemRunProgress>& progress) {
  return progress ? progress->text.size() : 0;
}

}  // namespace

std::string_view snapshotHead() {
  static const std::string head = [] {
    std::string bytes(1, kBeginMap);
    beginListField(bytes, "jobs");
    return bytes;
  }();
  return head;
}

std::string encodeTail(const SnapshotTail& tail) {
  std::string bytes(1, kBreak);
  const Json fields = tail;
  for (const auto& [name, value] : fields.items()) {
    appendCbor(bytes, Json(name));
    appendCbor(bytes, value);
  }
  bytes += kBreak;
  return bytes;
}

bool isTail(std::string_view piece) {
  return piece.starts_with(kBreak);
}

Result<SnapshotTail> decodeTail(std::string_view piece) {
  return decodeStruct<SnapshotTail>(std::string(1, kBeginMap).append(piece.substr(1)));
}

Result<std::vector<JobSnapshot>> decodeJobs(std::string_view piece) {
  std::string list;
  list.reserve(piece.size() + 2);
  list += kBeginList;
  list += piece;
  list += kBreak;
  return decodeStruct<std::vector<JobSnapshot>>(list);
}

void appendJob(std::string& piece, const StoredJob& job, const JobPreImage* before) {
  const JobSubmission& submission = job.submission;
  const std::size_t results = before == nullptr ? job.results.size() : before->results;
  piece += kBeginMap;
  appendCbor(piece, Json("ended"));
  appendCbor(piece, Json(before == nullptr ? job.ended : before->ended));
  beginListField(piece, "progress");
  for (std::size_t position = 0; position < submission.items.size(); ++position) {
    const ItemRunProgress* progress = progressOf(job, before, position);
    if (progress != nullptr) appendProgress(piece, submission.id, submission.items[position].id, *progress);
  }
  piece += kBreak;
  beginListField(piece, "results");
  for (std::size_t position = 0; position < results; ++position) appendResult(piece, job.results[position]);
  piece += kBreak;
  appendCbor(piece, Json("submission"));
  piece += kBeginMap;
  appendFieldsExceptItems(piece, submission);
  beginListField(piece, "items");
  for (std::size_t position = 0; position < submission.items.size(); ++position) {
    appendItem(piece, itemOf(job, before, position));
  }
  piece += kBreak;
  piece += kBreak;
  piece += kBreak;
}

JobSnapshotWriter::JobSnapshotWriter(const std::map<JobId, StoredJob>& jobs, const SnapshotTail& tail)
    : tail_(encodeTail(tail)) {
  for (const auto& [id, job] : jobs) {
    JobPreImage before;
    before.results = job.results.size();
    before.ended = job.ended;
    pending_.emplace_hint(pending_.end(), id, std::move(before));
  }
}

std::optional<std::string> JobSnapshotWriter::nextPiece(const std::map<JobId, StoredJob>& jobs) {
  if (!std::exchange(head_written_, true)) return std::string(snapshotHead());
  if (pending_.empty()) {
    if (std::exchange(tail_written_, true)) return std::nullopt;
    return tail_;
  }
  std::string piece;
  while (!pending_.empty() && piece.size() < kPieceBytes) appendNext(piece, jobs);
  return piece;
}

void JobSnapshotWriter::appendNext(std::string& piece, const std::map<JobId, StoredJob>& jobs) {
  const JobId id = changed_.empty() ? pending_.begin()->first : *changed_.begin();
  const auto next = pending_.find(id);
  const JobPreImage& before = next->second;
  appendJob(piece, before.dropped ? *before.dropped : jobs.at(id), &before);
  for (const auto& [position, item] : before.listed) bytes_held_ -= item.body.size();
  for (const auto& [position, progress] : before.progress) bytes_held_ -= textBytes(progress);
  if (before.dropped) bytes_held_ -= before.dropped->textBytes();
  changed_.erase(id);
  pending_.erase(next);
}

JobPreImage* JobSnapshotWriter::preImageOf(const JobId& job) {
  const auto found = pending_.find(job);
  if (found == pending_.end() || found->second.dropped) return nullptr;
  changed_.insert(job);
  return &found->second;
}

void JobSnapshotWriter::beforeListing(const StoredJob& job, std::size_t position, OpaqueItem& item) {
  beforeProgress(job, position);
  JobPreImage* before = preImageOf(job.submission.id);
  if (before == nullptr) return;
  OpaqueItem kept{item.id, item.target, std::move(item.headers), std::move(item.body), item.tokens};
  bytes_held_ += kept.body.size();
  before->listed.emplace(position, std::move(kept));
}

void JobSnapshotWriter::beforeProgress(const StoredJob& job, std::size_t position) {
  JobPreImage* before = preImageOf(job.submission.id);
  if (before == nullptr || before->progress.contains(position)) return;
  std::optional<ItemRunProgress> kept;
  const auto held = job.progress.find(job.submission.items[position].id);
  if (held != job.progress.end()) kept = held->second;
  bytes_held_ += textBytes(kept);
  before->progress.emplace(position, std::move(kept));
}

void JobSnapshotWriter::beforeDrop(StoredJob& job) {
  JobPreImage* before = preImageOf(job.submission.id);
  if (before == nullptr) return;
  bytes_held_ += job.textBytes();
  before->dropped = std::move(job);
}

}  // namespace hatchfork::store
