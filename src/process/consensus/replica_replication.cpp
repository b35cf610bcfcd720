#include <algorithm>
#include <utility>

#include "common/codec.hpp"
#include "process/consensus/replica.hpp"

// Heartbeats, log replication, commit and apply.
namespace hatchfork::consensus {
namespace {

/// Entries of one append request: limits of count and of payload bytes.
constexpr std::size_t kMaxEntriesPerRequest = 512;
constexpr std::uint64_t kMaxBytesPerRequest = 256 * 1024;
/// Unacknowledged requests to one peer: limits of count and of payload bytes.
constexpr std::size_t kMaxRequestsInFlight = 16;
constexpr std::uint64_t kMaxBytesInFlight = 768 * 1024;
/// Applied entries whose payloads stay in memory for members that are a little behind.
constexpr LogIndex kEntriesKeptInMemory = 12;
/// A slice of applying: some milliseconds on a third of a core. Further entries wait for the next slice.
constexpr std::uint64_t kMaxBytesAppliedAtOnce = 128 * 1024;
constexpr std::size_t kMaxEntriesAppliedAtOnce = 128;
/// Heartbeat intervals without progress after which a peer is probed again.
constexpr int kResendIntervals = 3;

}  // namespace

void Replica::sendHeartbeatRound() {
  ++round_;
  rounds_.push_back(HeartbeatRound{round_, now_});
  const Instant oldest = now_ - 2 * options_.timing.election_timeout;
  while (rounds_.front().sent_at < oldest) rounds_.pop_front();
  next_heartbeat_ = now_ + options_.timing.heartbeat_interval;
  for (auto& [peer, progress] : progress_) send(peer, Heartbeat{round_, std::min(committed_, progress.match)});
}

void Replica::handle(const Identity& from, const Envelope&, const Heartbeat& heartbeat) {
  becomeFollower(record_.term, from);
  leader_last_received_at_ = now_;
  startup_election_.reset();
  resetElectionDeadline();
  commitTo(std::min(heartbeat.committed, log_->lastIndex()));
  send(from, HeartbeatReply{heartbeat.round});
}

void Replica::handle(const Identity& from, const Envelope&, const HeartbeatReply& reply) {
  const auto found = progress_.find(from);
  if (role_ != Role::kLeader || found == progress_.end()) return;
  Progress& progress = found->second;
  progress.acknowledged_round = std::max(progress.acknowledged_round, reply.round);
  for (const HeartbeatRound& round : rounds_) {
    if (round.number == reply.round) progress.confirmed_at = std::max(progress.confirmed_at, round.sent_at);
  }
  const Duration resend_after = kResendIntervals * options_.timing.heartbeat_interval;
  const bool stalled = progress.match < log_->lastIndex() && now_ >= progress.progressed_at + resend_after;
  if (stalled && progress.state != ReplicationState::kSnapshot) progress.startProbe(now_);
  completeLeaderReads();
}

void Replica::replicateToPeers() {
  for (const Identity& peer : peers()) {
    const auto progress = progress_.find(peer);
    if (progress != progress_.end()) replicateTo(peer, progress->second);
    // A disk that cannot be read ends the leadership, and with it the table of peers.
    if (fault_) return;
  }
}

void Replica::replicateTo(const Identity& peer, Progress& progress) {
  const bool entry_gone = progress.next < log_->firstIndex() || !log_->termAt(progress.next - 1);
  if (progress.state == ReplicationState::kSnapshot || entry_gone) {
    sendSnapshotChunk(peer, progress);
    return;
  }
  if (progress.state == ReplicationState::kProbe) {
    if (progress.probe_sent) return;
    progress.probe_sent = true;
    sendAppend(peer, progress);
    return;
  }
  while (progress.next <= log_->lastIndex() && progress.in_flight.size() < kMaxRequestsInFlight &&
         progress.in_flight_bytes < kMaxBytesInFlight) {
    sendAppend(peer, progress);
  }
}

void Replica::sendAppend(const Identity& peer, Progress& progress) {
  AppendRequest request;
  request.previous_index = progress.next - 1;
  request.previous_term = log_->termAt(progress.next - 1).value_or(0);
  request.committed = committed_;
  std::uint64_t bytes = 0;
  LogIndex index = progress.next;
  while (index <= log_->lastIndex() && request.entries.size() < kMaxEntriesPerRequest && bytes < kMaxBytesPerRequest) {
    Result<LogEntry> entry = log_->read(index);
    if (!isOk(entry)) {
      setFault(errorOf(entry));
      return;
    }
    request.entries.push_back(valueOf(std::move(entry)));
    bytes += request.entries.back().payload.size();
    ++index;
  }
  if (progress.state == ReplicationState::kReplicate) {
    if (progress.in_flight.empty()) progress.progressed_at = now_;
    progress.next = index;
    progress.in_flight.push_back(SentBatch{index - 1, bytes, now_});
    progress.in_flight_bytes += bytes;
  }
  send(peer, std::move(request));
}

bool Replica::refuseUnlessMatching(const Identity& from, const AppendRequest& request) {
  const LogIndex previous = request.previous_index;
  const std::optional<Term> held = log_->termAt(previous);
  if (held && *held == request.previous_term) return false;
  LogIndex hint = std::min(previous > 0 ? previous - 1 : 0, log_->lastIndex());
  // Skip the whole conflicting term in one step.
  while (held && hint > committed_ && log_->termAt(hint) == held) --hint;
  // Committed entries are equal everywhere, so there is never a need to go back before them.
  send(from, AppendReply{false, std::max(hint, committed_)});
  return true;
}

void Replica::handle(const Identity& from, const Envelope&, const AppendRequest& request) {
  becomeFollower(record_.term, from);
  leader_last_received_at_ = now_;
  startup_election_.reset();
  resetElectionDeadline();
  if (incoming_ && incoming_->writing) return;
  if (refuseUnlessMatching(from, request)) return;
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= committed_ || log_->termAt(entry.index) == entry.term) continue;
    storeEntry(entry);
    if (fault_) return;
  }
  const LogIndex matched = request.previous_index + request.entries.size();
  if (!pending_acknowledgement_ || pending_acknowledgement_->leader != from)
    pending_acknowledgement_ = PendingAcknowledgement{from, 0};
  pending_acknowledgement_->index = std::max(pending_acknowledgement_->index, matched);
  commitTo(std::min(request.committed, matched));
  if (!fault_) acknowledgeSynced();
}

void Replica::storeEntry(const LogEntry& entry) {
  memberships_.truncateFrom(entry.index);
  log_->append(entry);
  if (entry.kind != EntryKind::kMembership) return;
  const Result<Membership> membership = decodeStruct<Membership>(entry.payload);
  if (isOk(membership)) memberships_.append(entry.index, valueOf(membership));
}

void Replica::acknowledgeSynced() {
  if (!pending_acknowledgement_) return;
  const LogIndex synced = std::min(pending_acknowledgement_->index, log_->syncedIndex());
  // A partial acknowledgement is still useful to the leader; the rest follows with a later sync.
  send(pending_acknowledgement_->leader, AppendReply{true, synced});
  if (synced == pending_acknowledgement_->index) pending_acknowledgement_.reset();
}

void Replica::onSynced() {
  if (fault_) return;
  if (role_ == Role::kLeader) {
    advanceCommit();
  } else {
    acknowledgeSynced();
  }
}

void Replica::handle(const Identity& from, const Envelope&, const AppendReply& reply) {
  const auto found = progress_.find(from);
  if (role_ != Role::kLeader || found == progress_.end()) return;
  Progress& progress = found->second;
  if (!reply.accepted) {
    if (progress.state == ReplicationState::kSnapshot) return;
    const LogIndex next = std::min(std::max(reply.index, progress.match) + 1, log_->lastIndex() + 1);
    // The probe in flight already starts there: the refusal is outdated, or the peer lost what it had acknowledged.
    // Sending again at once would never end, and would multiply with each repeated message; heartbeats send it again.
    if (progress.probe_sent && progress.next == next) return;
    progress.startProbe(now_);
    progress.next = next;
    return;
  }
  progress.acknowledge(std::min(reply.index, log_->lastIndex()), now_);
  const bool snapshot_done = progress.state == ReplicationState::kSnapshot && progress.match >= progress.snapshot_index;
  if (progress.state == ReplicationState::kProbe || snapshot_done) {
    progress.startProbe(now_);
    progress.state = ReplicationState::kReplicate;
  }
  advanceCommit();
  tryTransfer();
}

LogIndex Replica::appendOwnEntry(EntryKind kind, std::string payload) {
  const LogIndex index = log_->lastIndex() + 1;
  storeEntry(LogEntry{index, record_.term, kind, std::move(payload)});
  return index;
}

void Replica::propose(Instant now, RequestNumber request, std::string command) {
  now_ = now;
  if (fault_ || role_ != Role::kLeader || transfer_) {
    const bool leading = role_ == Role::kLeader;
    finish(request, NotLeader{leading && transfer_ ? std::optional(transfer_->target.id) : leaderName()});
    return;
  }
  // The proposal is registered before the entry is appended: if the disk fails during the append, the proposer must
  // receive an unknown outcome.
  proposals_[log_->lastIndex() + 1] = request;
  appendOwnEntry(EntryKind::kCommand, std::move(command));
}

void Replica::advanceCommit() {
  if (role_ != Role::kLeader) return;
  const LogIndex index =
      quorumValue<LogIndex>(log_->syncedIndex(), 0, [](const Progress& progress) { return progress.match; });
  // Only entries of the own term are committed by counting; committing them commits all earlier entries.
  if (index <= committed_ || log_->termAt(index) != record_.term) return;
  commitTo(index);
}

void Replica::commitTo(LogIndex index) {
  if (index <= committed_) return;
  committed_ = index;
  applyCommitted();
}

bool Replica::applyNextSlice(Instant now) {
  now_ = now;
  if (fault_ || applied_ >= committed_) return false;
  applyCommitted();
  return !fault_ && applied_ < committed_;
}

bool Replica::applyNextEntry(std::uint64_t& bytes) {
  const LogIndex next = applied_ + 1;
  if (!log_->isReleased(next)) {
    applied_ = next;
    bytes += log_->at(next).payload.size();
    applyEntry(log_->at(next));
    return true;
  }
  const Result<LogEntry> entry = log_->read(next);
  if (!isOk(entry)) {
    setFault(errorOf(entry));
    return false;
  }
  applied_ = next;
  bytes += valueOf(entry).payload.size();
  applyEntry(valueOf(entry));
  return true;
}

void Replica::applyCommitted() {
  if (restoring_) restoreSlice();
  if (restoring_ || fault_) return;
  std::uint64_t bytes = 0;
  std::size_t entries = 0;
  while (applied_ < committed_ && !fault_ && bytes < kMaxBytesAppliedAtOnce && entries < kMaxEntriesAppliedAtOnce) {
    if (!applyNextEntry(bytes)) return;
    ++entries;
  }
  if (fault_) return;
  bytes_since_snapshot_ += bytes;
  // Members that are far behind are served from the file.
  log_->release(lastEntryToRelease());
  completeFollowerReads();
  completeLeaderReads();
  if (role_ == Role::kLeader) {
    tryTransfer();
    const bool removed = memberships_.latestIndex() <= committed_ && !isSelfVoter();
    if (removed) becomeFollower(record_.term, std::nullopt, "removed");
  }
  takeSnapshotIfDue();
  if (machine_->snapshotBytesHeld() > kMaxBufferedSnapshotBytes) writeSnapshotSlice();
}

LogIndex Replica::lastEntryToRelease() const {
  LogIndex index = applied_;
  std::size_t kept_bytes = 0;
  while (index >= log_->firstIndex() && applied_ - index < kEntriesKeptInMemory && !log_->isReleased(index)) {
    kept_bytes += log_->at(index).payload.size();
    if (kept_bytes > options_.max_kept_bytes) break;
    --index;
  }
  return index;
}

void Replica::applyEntry(const LogEntry& entry) {
  std::string reply;
  if (entry.kind == EntryKind::kCommand) reply = machine_->apply(entry.index, entry.payload);
  const auto proposal = proposals_.find(entry.index);
  if (proposal == proposals_.end()) return;
  finish(proposal->second, Applied{std::move(reply)});
  proposals_.erase(proposal);
}

}  // namespace hatchfork::consensus
