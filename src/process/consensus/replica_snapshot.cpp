#include <algorithm>
#include <utility>

#include "common/codec.hpp"
#include "common/log.hpp"
#include "process/consensus/replica.hpp"

// Snapshots, log compaction and snapshot transfer.
namespace hatchfork::consensus {
namespace {

constexpr std::uint64_t kChunkBytes = 256 * 1024;
/// A chunk without an answer is sent again after this many heartbeat intervals.
constexpr int kChunkResendIntervals = 3;
/// Slice size for writing or restoring a snapshot: some milliseconds on a third of a core.
constexpr std::uint64_t kSliceBytes = 64 * 1024;
/// Maximum number of slices of a snapshot; a large snapshot is written in larger slices.
constexpr std::uint64_t kMaxSlices = 400;
/// Limit of the applied bytes before a snapshot of a large state, as a multiple of those before one of a small state.
constexpr std::uint64_t kMaxIntervals = 3;
/// Log kept behind a snapshot for members that are slightly behind, as a multiple of `snapshot_after_bytes`.
constexpr std::uint64_t kIntervalsKept = 1;
/// Limit of the bytes that the state buffers while the disk is blocked; beyond it the snapshot is
/// abandoned and retried later.
constexpr std::size_t kMaxBytesBufferedForDisk = 4 << 20;
constexpr Duration kPauseAfterAbandoned = std::chrono::seconds(5);
/// Maximum random delay of a snapshot, as a share of the minimum amount applied before it.
constexpr double kMaxSnapshotDelay = 0.25;
/// A snapshot is delayed by a transfer of the previous one until this multiple of that amount is applied.
constexpr double kMaxTransferDelay = 2.0;

}  // namespace

void Replica::planNextSnapshot() {
  snapshot_delay_ = std::uniform_real_distribution<double>(0, kMaxSnapshotDelay)(random_);
}

bool Replica::isSendingSnapshot() const {
  const Duration resend_after = kChunkResendIntervals * options_.timing.heartbeat_interval;
  return std::any_of(progress_.begin(), progress_.end(), [&](const auto& entry) {
    const Progress& progress = entry.second;
    return progress.state == ReplicationState::kSnapshot && now_ < progress.chunk_sent_at + 2 * resend_after;
  });
}

bool Replica::isSnapshotDue() const {
  const double waits = isSendingSnapshot() ? kMaxTransferDelay : 1 + snapshot_delay_;
  const auto entries = static_cast<double>(applied_ - std::min(applied_, snapshots_.currentIndex()));
  if (entries >= waits * static_cast<double>(options_.timing.snapshot_after_entries)) return true;
  // As much as the snapshot itself, so that snapshots cost no more writing than the log does; bounded, so that a start
  // reads no long log and the disk holds no long log beside two snapshots.
  const std::uint64_t least_bytes = std::clamp(snapshots_.currentBytes(), options_.timing.snapshot_after_bytes,
                                               kMaxIntervals * options_.timing.snapshot_after_bytes);
  return static_cast<double>(bytes_since_snapshot_) >= waits * static_cast<double>(least_bytes);
}

void Replica::takeSnapshotIfDue() {
  if (own_snapshot_ || incoming_ || restoring_ || snapshots_.writing() || now_ < next_snapshot_) return;
  if (isSnapshotDue()) beginSnapshot();
}

void Replica::beginSnapshot() {
  const std::optional<Term> term = log_->termAt(applied_);
  if (!term) return;
  const Status begun = snapshots_.begin(applied_);
  if (!isOk(begun)) {
    setFault(errorOf(begun));
    return;
  }
  const SnapshotHeader header{applied_, *term, memberships_.at(applied_)};
  own_snapshot_ = OwnSnapshot{header, now_, std::exchange(bytes_since_snapshot_, 0), false};
  logEvent(LogLevel::kInfo, "snapshot_started",
           {{"group", options_.group},
            {"index", applied_},
            {"entries", applied_ - snapshots_.currentIndex()},
            {"log_bytes", own_snapshot_->log_bytes},
            {"last_bytes", snapshots_.currentBytes()}});
  machine_->beginSnapshot();
  const Status written = snapshots_.append(encodeSnapshotHeader(own_snapshot_->header));
  if (!isOk(written)) setFault(errorOf(written));
}

void Replica::writeSnapshotSlice() {
  if (!own_snapshot_ || own_snapshot_->finished) return;
  if (snapshots_.isSyncing()) {
    const bool held_too_long = machine_->snapshotBytesHeld() > kMaxBytesBufferedForDisk;
    if (held_too_long) abandonOwnSnapshot("the disk is slow");
    return;
  }
  const std::uint64_t slice_bytes = std::max(kSliceBytes, snapshots_.currentBytes() / kMaxSlices);
  std::uint64_t bytes = 0;
  while (bytes < slice_bytes || machine_->snapshotBytesHeld() > kMaxBufferedSnapshotBytes) {
    const std::optional<std::string> piece = machine_->nextSnapshotPiece();
    if (!piece) {
      finishSnapshot();
      return;
    }
    const Status written = snapshots_.append(encodeSnapshotPiece(*piece));
    if (!isOk(written)) {
      setFault(errorOf(written));
      return;
    }
    bytes += piece->size();
  }
}

void Replica::finishSnapshot() {
  const Status written = snapshots_.append(encodeSnapshotEnd());
  if (!isOk(written)) {
    setFault(errorOf(written));
    return;
  }
  own_snapshot_->finished = true;
  snapshots_.finish(own_snapshot_->header, [this](const Status& durable) {
    const OwnSnapshot taken = *std::exchange(own_snapshot_, std::nullopt);
    if (!isOk(durable)) {
      setFault(errorOf(durable));
      return;
    }
    logEvent(LogLevel::kInfo, "snapshot_written",
             {{"group", options_.group},
              {"index", taken.header.index},
              {"bytes", snapshots_.currentBytes()},
              {"took_ms", toMillis(now_ - taken.began_at)}});
    planNextSnapshot();
    compactLog();
  });
}

void Replica::abandonOwnSnapshot(std::string_view cause) {
  if (!own_snapshot_) return;
  logEvent(LogLevel::kInfo, "snapshot_abandoned",
           {{"group", options_.group}, {"index", own_snapshot_->header.index}, {"cause", cause}});
  bytes_since_snapshot_ += own_snapshot_->log_bytes;
  own_snapshot_.reset();
  next_snapshot_ = now_ + kPauseAfterAbandoned;
  machine_->abandonSnapshot();
  snapshots_.abandon();
}

LogIndex Replica::firstIndexKept() const {
  const LogIndex kept = options_.timing.snapshot_after_entries;
  const LogIndex snapshot_index = snapshots_.currentIndex();
  const LogIndex by_entries = snapshot_index <= kept ? 1 : snapshot_index - kept + 1;
  const LogIndex by_bytes = log_->firstIndexOfLast(kIntervalsKept * options_.timing.snapshot_after_bytes);
  return std::max(by_entries, std::min(by_bytes, snapshot_index + 1));
}

void Replica::compactLog() {
  const LogIndex first = firstIndexKept();
  if (first <= 1) return;
  memberships_.compactTo(first - 1);
  const Status compacted = log_->compactBefore(first);
  if (!isOk(compacted)) setFault(errorOf(compacted));
}

void Replica::sendSnapshotChunk(const Identity& peer, Progress& progress) {
  const Duration resend_after = kChunkResendIntervals * options_.timing.heartbeat_interval;
  const bool current =
      progress.state == ReplicationState::kSnapshot && progress.snapshot_index == snapshots_.currentIndex();
  if (!current) {
    progress.state = ReplicationState::kSnapshot;
    progress.snapshot_index = snapshots_.currentIndex();
    progress.snapshot_offset = 0;
    logEvent(LogLevel::kInfo, "snapshot_send_started",
             {{"group", options_.group},
              {"to", peer.id.value},
              {"index", progress.snapshot_index},
              {"bytes", snapshots_.currentBytes()}});
  } else if (progress.chunk_sent && now_ < progress.chunk_sent_at + resend_after) {
    return;
  }
  Result<std::string> data = snapshots_.readChunk(progress.snapshot_offset, kChunkBytes);
  if (!isOk(data)) {
    setFault(errorOf(data));
    return;
  }
  progress.chunk_sent = true;
  progress.chunk_sent_at = now_;
  SnapshotChunk chunk;
  chunk.last_index = snapshots_.current().index;
  chunk.last_term = snapshots_.current().term;
  chunk.total_bytes = snapshots_.currentBytes();
  chunk.offset = progress.snapshot_offset;
  chunk.data = valueOf(std::move(data));
  send(peer, std::move(chunk));
}

void Replica::handle(const Identity& from, const Envelope&, const SnapshotChunkReply& reply) {
  const auto found = progress_.find(from);
  if (role_ != Role::kLeader || found == progress_.end()) return;
  Progress& progress = found->second;
  if (progress.state != ReplicationState::kSnapshot || progress.snapshot_index != reply.last_index) return;
  const bool at_end = reply.next_offset >= snapshots_.currentBytes() && progress.snapshot_offset == reply.next_offset;
  progress.snapshot_offset = reply.next_offset;
  // At the end the receiver is writing the snapshot: no need to resend soon.
  if (!at_end) progress.chunk_sent = false;
}

void Replica::handle(const Identity& from, const Envelope&, const SnapshotChunk& chunk) {
  becomeFollower(record_.term, from);
  leader_last_received_at_ = now_;
  resetElectionDeadline();
  if (incoming_ && incoming_->writing) return;
  if (chunk.last_index <= committed_) {
    if (incoming_) snapshots_.abandon();
    incoming_.reset();
    send(from, AppendReply{true, std::min(committed_, log_->syncedIndex())});
    return;
  }
  const Status stored = storeChunk(chunk);
  if (!isOk(stored)) {
    setFault(errorOf(stored));
    return;
  }
  send(from, SnapshotChunkReply{chunk.last_index, incoming_->received_bytes});
  if (incoming_->received_bytes == incoming_->total_bytes) finishIncomingSnapshot();
}

Status Replica::storeChunk(const SnapshotChunk& chunk) {
  const bool continues = incoming_ && leader_ && incoming_->leader == *leader_ &&
                         incoming_->index == chunk.last_index && incoming_->term == chunk.last_term &&
                         incoming_->total_bytes == chunk.total_bytes;
  if (!continues) {
    abandonOwnSnapshot("a leader sends one");
    const Status begun = snapshots_.begin(chunk.last_index);
    if (!isOk(begun)) return begun;
    incoming_ = IncomingSnapshot{*leader_, chunk.last_index, chunk.last_term, chunk.total_bytes, 0, {}, false};
    logEvent(LogLevel::kInfo, "snapshot_receive_started",
             {{"group", options_.group}, {"index", chunk.last_index}, {"bytes", chunk.total_bytes}});
  }
  if (chunk.offset != incoming_->received_bytes) return okStatus();
  incoming_->received_bytes += chunk.data.size();
  incoming_->check.take(chunk.data);
  return snapshots_.append(chunk.data);
}

void Replica::finishIncomingSnapshot() {
  const Result<SnapshotHeader> header = snapshots_.reader(incoming_->index).readHeader();
  const bool is_meant = isOk(header) && valueOf(header).index == incoming_->index;
  if (!is_meant || !incoming_->check.endsWithEmptyRecord()) {
    logEvent(LogLevel::kWarning, "snapshot_transfer_restarted", {{"group", options_.group}});
    incoming_.reset();
    snapshots_.abandon();
    return;
  }
  incoming_->writing = true;
  snapshots_.finish(valueOf(header), [this, header = valueOf(header)](const Status& written) {
    incoming_.reset();
    if (!isOk(written)) {
      setFault(errorOf(written));
      return;
    }
    if (!fault_) installSnapshot(header);
  });
}

void Replica::installSnapshot(const SnapshotHeader& header) {
  if (header.index > applied_ || restoring_) {
    committed_ = std::max(committed_, header.index);
    if (log_->termAt(header.index) != header.term) {
      const Status reset = log_->resetTo(header.index, header.term);
      if (!isOk(reset)) {
        setFault(errorOf(reset));
        return;
      }
    }
    rebuildMemberships(header);
    const Status begun = beginRestore(header);
    if (!isOk(begun)) {
      setFault(errorOf(begun));
      return;
    }
    applyCommitted();
  }
  if (leader_ && role_ == Role::kFollower) send(*leader_, AppendReply{true, header.index});
}

void Replica::restoreSlice() {
  std::uint64_t bytes = 0;
  while (restoring_ && bytes < kSliceBytes) {
    const Status restored = restoreNextPiece(bytes);
    if (isOk(restored)) continue;
    setFault(errorOf(restored));
    return;
  }
}

Status Replica::restoreNextPiece(std::uint64_t& bytes) {
  Result<std::optional<std::string>> piece = restoring_->reader.readPiece();
  if (!isOk(piece)) return errorOf(piece);
  if (valueOf(piece)) {
    bytes += valueOf(piece)->size();
    return machine_->restorePiece(*valueOf(std::move(piece)));
  }
  const Status restored = machine_->endRestore();
  if (!isOk(restored)) return restored;
  applied_ = restoring_->header.index;
  bytes_since_snapshot_ = 0;
  restoring_.reset();
  planNextSnapshot();
  logEvent(LogLevel::kInfo, "snapshot_restored",
           {{"group", options_.group}, {"index", applied_}, {"bytes", snapshots_.currentBytes()}});
  return okStatus();
}

Status Replica::beginRestore(const SnapshotHeader& header) {
  applied_ = 0;
  restoring_.emplace(Restoring{header, snapshots_.reader(header.index)});
  machine_->beginRestore();
  const Result<SnapshotHeader> first = restoring_->reader.readHeader();
  return isOk(first) ? okStatus() : Status(errorOf(first));
}

Status Replica::restoreWhole(const SnapshotHeader& header) {
  const Status begun = beginRestore(header);
  if (!isOk(begun)) return begun;
  std::uint64_t bytes = 0;
  while (restoring_) {
    const Status restored = restoreNextPiece(bytes);
    if (!isOk(restored)) return restored;
  }
  return okStatus();
}

void Replica::rebuildMemberships(const SnapshotHeader& header) {
  memberships_.reset(header.index, header.membership);
  for (LogIndex index = std::max(header.index + 1, log_->firstIndex()); index <= log_->lastIndex(); ++index) {
    const LogEntry& entry = log_->at(index);
    if (entry.kind != EntryKind::kMembership) continue;
    const Result<Membership> membership = decodeStruct<Membership>(entry.payload);
    if (isOk(membership)) memberships_.append(index, valueOf(membership));
  }
}

}  // namespace hatchfork::consensus
