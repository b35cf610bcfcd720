#include "process/consensus/replica.hpp"

#include <utility>

#include "common/log.hpp"

namespace hatchfork::consensus {
namespace {

std::uint64_t seedOrRandom(std::uint64_t seed) {
  if (seed != 0) return seed;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

Replica::Replica(const GroupOptions& options, Disk& disk, std::unique_ptr<StateMachine> machine, Instant now)
    : options_(options),
      disk_(disk),
      machine_(std::move(machine)),
      folder_("group-" + std::to_string(options.group)),
      snapshots_(disk, folder_),
      random_(seedOrRandom(options.random_seed)),
      now_(now),
      contacts_(options.initial_members) {
  self_.id = options.self;
}

Result<std::unique_ptr<Replica>> Replica::open(const GroupOptions& options, Disk& disk,
                                               std::unique_ptr<StateMachine> machine, Instant now) {
  std::unique_ptr<Replica> replica(new Replica(options, disk, std::move(machine), now));
  const Status loaded = replica->load();
  if (!isOk(loaded)) return errorOf(loaded);
  return replica;
}

Result<std::unique_ptr<ReplicatedGroup>> openReplicatedGroup(const GroupOptions& options, Disk& disk,
                                                             std::unique_ptr<StateMachine> machine, Instant now) {
  Result<std::unique_ptr<Replica>> replica = Replica::open(options, disk, std::move(machine), now);
  if (!isOk(replica)) return errorOf(replica);
  return std::unique_ptr<ReplicatedGroup>(valueOf(std::move(replica)));
}

Status Replica::loadRecord() {
  const Result<std::optional<ReplicaRecord>> record = loadReplicaRecord(disk_, folder_);
  if (!isOk(record)) return errorOf(record);
  if (valueOf(record)) {
    record_ = *valueOf(record);
  } else {
    while (record_.incarnation == 0) record_.incarnation = random_();
    record_.may_form = options_.may_form;
  }
  ++record_.boots;
  self_.incarnation = record_.incarnation;
  next_read_number_ = record_.boots << 32;
  return saveReplicaRecord(disk_, folder_, record_);
}

Status Replica::load() {
  const Status record_loaded = loadRecord();
  if (!isOk(record_loaded)) return record_loaded;
  const Result<std::optional<SnapshotHeader>> loaded = snapshots_.load();
  if (!isOk(loaded)) return errorOf(loaded);
  SnapshotHeader header;
  if (record_.joined) header.membership = record_.pinned;
  if (valueOf(loaded)) {
    header = *valueOf(loaded);
    const Status restored = restoreWhole(header);
    if (!isOk(restored)) return restored;
  }
  committed_ = header.index;
  applied_ = header.index;
  planNextSnapshot();
  Log::Callbacks callbacks{[this] { onSynced(); }, [this](const Error& error) { setFault(error); }};
  Result<std::unique_ptr<Log>> log = Log::open(disk_, folder_, header.index, header.term, std::move(callbacks));
  if (!isOk(log)) return errorOf(log);
  log_ = valueOf(std::move(log));
  rebuildMemberships(header);
  compactLog();
  if (fault_) return *fault_;
  resetElectionDeadline();
  scheduleStartupElection();
  next_hello_ = now_;
  return okStatus();
}

void Replica::tick(Instant now) {
  now_ = now;
  detectOwnStall();
  if (fault_) return;
  if (!record_.joined) {
    tickFormation();
    return;
  }
  if (role_ == Role::kLeader) {
    checkQuorum();
    tickTransfer();
    if (role_ == Role::kLeader && now_ >= next_heartbeat_) sendHeartbeatRound();
  } else {
    tickElection();
    tickWithoutLeader();
  }
  tickFollowerReads();
  if (!fault_ && applied_ < committed_) applyCommitted();
  if (!fault_) writeSnapshotSlice();
}

void Replica::receive(Instant now, const PeerMessage& message) {
  now_ = now;
  if (fault_ || message.group != options_.group || message.to != self_.id) return;
  const Result<Envelope> decoded = decodeEnvelope(message.body);
  if (!isOk(decoded)) {
    logEvent(LogLevel::kWarning, "peer_message_refused",
             {{"group", options_.group}, {"from", message.from.value}, {"error", describe(errorOf(decoded))}});
    return;
  }
  const Envelope& envelope = valueOf(decoded);
  dispatch(Identity{message.from, envelope.from_incarnation}, envelope);
}

void Replica::dispatch(const Identity& from, const Envelope& envelope) {
  if (const auto* hello = std::get_if<Hello>(&envelope.body)) {
    handle(from, envelope, *hello);
    return;
  }
  // Messages for a former incarnation of this folder get no answer.
  if (envelope.to_incarnation != self_.incarnation) return;
  if (!record_.joined) {
    const bool from_leader = std::holds_alternative<Heartbeat>(envelope.body) ||
                             std::holds_alternative<AppendRequest>(envelope.body) ||
                             std::holds_alternative<SnapshotChunk>(envelope.body);
    // A replica that agreed to an initial membership joins by that agreement, which also names the first members.
    if (!from_leader || !record_.pinned.members.empty()) return;
    // A leader writes only to members of its membership: this incarnation has been added.
    joinCluster();
  }
  if (fault_ || !updateTerm(from, envelope) || fault_) return;
  std::visit([&](const auto& body) { handle(from, envelope, body); }, envelope.body);
}

bool Replica::updateTerm(const Identity& from, const Envelope& envelope) {
  // Vote requests settle the term themselves: a live leader is not disturbed by them.
  if (std::holds_alternative<VoteRequest>(envelope.body)) return true;
  if (envelope.term > record_.term) {
    becomeFollower(envelope.term, std::nullopt);
    return true;
  }
  if (envelope.term == record_.term) return true;
  // Informs a leader of an old term about the new term.
  if (std::holds_alternative<Heartbeat>(envelope.body)) send(from, HeartbeatReply{});
  if (std::holds_alternative<AppendRequest>(envelope.body)) send(from, AppendReply{});
  if (std::holds_alternative<SnapshotChunk>(envelope.body)) send(from, AppendReply{});
  return false;
}

void Replica::send(const Identity& to, MessageBody body) {
  Envelope envelope{self_.incarnation, to.incarnation, record_.term, std::move(body)};
  messages_.push_back(PeerMessage{options_.group, self_.id, to.id, encodeEnvelope(envelope)});
}

void Replica::finish(RequestNumber request, decltype(RequestOutcome::result) result) {
  outcomes_.push_back(RequestOutcome{request, std::move(result)});
}

void Replica::setFault(const Error& error) {
  if (fault_) return;
  fault_ = error;
  logEvent(LogLevel::kError, "replica_stopped", {{"group", options_.group}, {"error", describe(error)}});
  if (role_ == Role::kLeader) leaveLeadership("disk_fault");
  role_ = Role::kFollower;
  leader_.reset();
  failReads();
  messages_.clear();
}

bool Replica::saveRecord() {
  const Status saved = saveReplicaRecord(disk_, folder_, record_);
  if (!isOk(saved)) setFault(errorOf(saved));
  return isOk(saved);
}

std::vector<Identity> Replica::peers() const {
  std::vector<Identity> identities;
  for (const Member& member : membership().members) {
    const Identity identity{member.id, member.incarnation};
    if (identity != self_) identities.push_back(identity);
  }
  return identities;
}

std::optional<ReplicaId> Replica::leaderName() const {
  if (!leader_) return std::nullopt;
  return leader_->id;
}

std::vector<PeerMessage> Replica::takeMessages() {
  if (role_ == Role::kLeader && !fault_) {
    scheduleLeaderReads();
    replicateToPeers();
    completeLeaderReads();
  }
  return std::exchange(messages_, {});
}

std::vector<RequestOutcome> Replica::takeOutcomes() {
  return std::exchange(outcomes_, {});
}

Role Replica::role() const {
  const bool learner = role_ == Role::kFollower && !isSelfVoter();
  return learner ? Role::kLearner : role_;
}

GroupStatus Replica::status() const {
  GroupStatus status;
  status.group = options_.group;
  status.role = role();
  status.term = record_.term;
  status.leader = leaderName();
  status.committed = committed_;
  status.applied = applied_;
  status.first_log_index = log_->firstIndex();
  status.last_log_index = log_->lastIndex();
  status.membership = membership();
  status.membership_committed = memberships_.latestIndex() <= committed_;
  status.incarnation = self_.incarnation;
  status.joined = record_.joined;
  for (const Identity& learner_identity : caughtUpLearners()) {
    status.caught_up_learners.push_back(learner_identity.id);
  }
  status.log_bytes = log_->diskBytes();
  status.snapshot_bytes = snapshots_.currentBytes();
  status.fault = fault_;
  return status;
}

void Replica::visitUnapplied(const std::function<void(std::string_view command)>& visit) const {
  for (LogIndex index = std::max(applied_ + 1, log_->firstIndex()); index <= log_->lastIndex(); ++index) {
    if (log_->isReleased(index)) continue;
    const LogEntry& entry = log_->at(index);
    if (entry.kind == EntryKind::kCommand) visit(entry.payload);
  }
}

bool Replica::isConfirmedLeader(Instant now) const {
  if (!hasCommittedInTerm() || applied_ < leadership_index_) return false;
  return isSelfVoter() && quorumSize(membership()) == 1
             ? true
             : quorumConfirmedAt() != Instant::min() && quorumConfirmedAt() + options_.timing.election_timeout > now;
}

}  // namespace hatchfork::consensus
