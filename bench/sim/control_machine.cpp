#include "bench/sim/control_machine.hpp"

#include <algorithm>
#include <utility>

#include "common/codec.hpp"
#include "process/consensus/messages.hpp"
#include "process/consensus/snapshot_store.hpp"

namespace hatchfork::sim {
namespace {

constexpr Duration kTickInterval = fromMillis(10);
constexpr Duration kAnnouncementInterval = fromMillis(1000);
constexpr std::uint64_t kNeverManyEntries = 1'000'000'000;

/// The state of a snapshot; absent where its file is not whole.
std::optional<std::string> readPieces(consensus::SnapshotReader& reader) {
  std::string state;
  while (true) {
    const Result<std::optional<std::string>> piece = reader.readPiece();
    if (!isOk(piece)) return std::nullopt;
    if (!valueOf(piece)) return state;
    state += *valueOf(piece);
  }
}

/// Empties the tables of remembered answers in all snapshots on a disk.
void forgetResendTables(SimulatedDisk& disk) {
  for (const std::string& name : disk.namesContaining("/snapshot-")) {
    consensus::SnapshotReader reader(disk, name);
    const Result<consensus::SnapshotHeader> header = reader.readHeader();
    if (!isOk(header)) continue;
    const std::optional<std::string> whole = readPieces(reader);
    if (!whole) continue;
    nlohmann::json state = valueOf(decodeCbor(*whole));
    for (const char* table : {"answers", "claims"}) {
      if (state.contains(table)) state[table] = nlohmann::json::array();
    }
    disk.replace(name, consensus::encodeSnapshotHeader(valueOf(header)) +
                           consensus::encodeSnapshotPiece(encodeCbor(state)) + consensus::encodeSnapshotEnd());
  }
}

/// For each pre-vote request, a real one that no live leader holds back.
std::vector<consensus::PeerMessage> disturbingVotes(const std::vector<consensus::PeerMessage>& messages) {
  std::vector<consensus::PeerMessage> votes;
  for (const consensus::PeerMessage& message : messages) {
    Result<consensus::Envelope> envelope = consensus::decodeEnvelope(message.body);
    auto* request = std::get_if<consensus::VoteRequest>(&valueOf(envelope).body);
    if (request == nullptr || !request->pre_vote) continue;
    request->pre_vote = false;
    request->leadership_transfer = true;
    votes.push_back(message);
    votes.back().body = consensus::encodeEnvelope(valueOf(envelope));
  }
  return votes;
}

}  // namespace

ControlMachine::ControlMachine(Simulation& simulation, control::ControlServiceOptions options, Lookup lookup)
    : simulation_(simulation),
      options_(std::move(options)),
      lookup_(std::move(lookup)),
      process_(simulation, options_.self.value),
      disk_(simulation.queue(), simulation.drawSeed()) {
  disk_.setPost([this](std::function<void()> work) {
    process_.run([this, work = std::move(work)] {
      work();
      drain();
    });
  });
}

Status ControlMachine::start() {
  kill();
  control::ControlServiceOptions options = options_;
  options.random_seed = simulation_.drawSeed();
  if (simulation_.has(Mutation::kNoSnapshots)) options.timing.snapshot_after_entries = kNeverManyEntries;
  if (simulation_.has(Mutation::kForgetResendTable)) forgetResendTables(disk_);
  disk_.setSyncsLie(simulation_.has(Mutation::kLyingSync));
  auto opened = control::ControlService::open(options, disk_, simulation_.now());
  if (!isOk(opened)) {
    simulation_.trace().add("{} cannot start: {}", name(), describe(errorOf(opened)));
    disk_.endProcess();
    return errorOf(opened);
  }
  service_ = std::move(valueOf(opened));
  process_.begin();
  simulation_.trace().add("{} started", name());
  tickLater();
  announceLater();
  return okStatus();
}

void ControlMachine::kill() {
  if (process_.isUp()) simulation_.trace().add("{} ended", name());
  process_.end();
  service_.reset();
  disk_.endProcess();
}

void ControlMachine::crash() {
  kill();
  disk_.crash();
}

void ControlMachine::crashWithTornTail() {
  kill();
  disk_.crashWithTornTail();
}

void ControlMachine::loseDisk() {
  simulation_.trace().add("{} loses its disk", name());
  kill();
  if (simulation_.has(Mutation::kKeepIncarnation)) {
    disk_.wipeExcept("/replica");
  } else {
    disk_.wipe();
  }
}

void ControlMachine::freeze() {
  simulation_.trace().add("{} paused", name());
  process_.freeze();
}

void ControlMachine::thaw() {
  simulation_.trace().add("{} goes on", name());
  process_.thaw();
}

std::optional<consensus::GroupStatus> ControlMachine::status(GroupId group) const {
  if (!process_.isUp()) return std::nullopt;
  return service_->status().at(group);
}

bool ControlMachine::isConfirmedLeader(GroupId group) const {
  return process_.isUp() && !process_.isFrozen() && service_->leads(simulation_.now(), group);
}

bool ControlMachine::hasFault() const {
  if (!process_.isUp()) return false;
  const auto statuses = service_->status();
  return std::any_of(statuses.begin(), statuses.end(), [](const auto& status) { return status.fault.has_value(); });
}

std::string ControlMachine::stateDigest(GroupId group) const {
  return process_.isUp() ? service_->stateDigest(group) : "";
}

void ControlMachine::tickLater() {
  process_.runLater(kTickInterval, [this] {
    service_->tick(simulation_.now());
    drain();
    tickLater();
  });
}

void ControlMachine::announceLater() {
  process_.runLater(kAnnouncementInterval, [this] {
    for (const ReplicaId& id : options_.initial_members) {
      ControlMachine* peer = lookup_(id);
      if (peer == nullptr || peer == this) continue;
      simulation_.network().send(name(), id.value, [this, peer, announcement = service_->announcement()] {
        peer->process_.run(
            [peer, announcement] { peer->service_->receiveAnnouncement(peer->simulation_.now(), announcement); });
      });
    }
    announceLater();
  });
}

void ControlMachine::drain() {
  const std::vector<consensus::PeerMessage> messages = service_->drain(simulation_.now());
  sendAll(messages);
  if (simulation_.has(Mutation::kNoPreVote)) sendAll(disturbingVotes(messages));
}

void ControlMachine::sendAll(const std::vector<consensus::PeerMessage>& messages) {
  for (const consensus::PeerMessage& message : messages) {
    ControlMachine* peer = lookup_(message.to);
    if (peer == nullptr) continue;
    simulation_.network().send(name(), message.to.value, [peer, message] {
      peer->process_.run([peer, message] {
        peer->service_->receivePeer(peer->simulation_.now(), message);
        peer->drain();
      });
    });
  }
}

void ControlMachine::handle(GroupId group, const control::ControlRequest& request, ReplyHandler reply) {
  process_.run([this, group, request, reply = std::move(reply)] {
    const auto* renew = std::get_if<control::RenewConfigurationRequest>(&request);
    if (renew != nullptr && simulation_.has(Mutation::kReadWithoutQuorum)) {
      reply(unconfirmedConfiguration(*renew));
      return;
    }
    service_->handle(simulation_.now(), group, mutated(request), mutatedHandler(reply));
    drain();
  });
}

control::ControlReply ControlMachine::unconfirmedConfiguration(
    const control::RenewConfigurationRequest& request) const {
  control::RenewConfigurationReply reply;
  reply.delta = service_->configuration().deltaSince(request.enforced);
  reply.lease_ms = static_cast<std::uint32_t>(toMillis(options_.configuration_lease));
  return reply;
}

control::ControlRequest ControlMachine::mutated(control::ControlRequest request) const {
  auto* apply = std::get_if<control::ApplyChangeRequest>(&request);
  if (apply != nullptr && simulation_.has(Mutation::kIgnoreBaseRevision)) {
    apply->change.base_revision = service_->configuration().configuration().revision;
  }
  return request;
}

ControlMachine::ReplyHandler ControlMachine::mutatedHandler(ReplyHandler reply) const {
  if (!simulation_.has(Mutation::kCallUnknownNotRun)) return reply;
  return [reply = std::move(reply)](control::ControlReply answer) {
    auto* refusal = std::get_if<control::ErrorReply>(&answer);
    if (refusal != nullptr) refusal->error.executed = Executed::kNo;
    reply(answer);
  };
}

void ControlMachine::changeMembership(GroupId group, const consensus::Membership& target, ReplyHandler reply) {
  process_.run([this, group, target, reply = std::move(reply)] {
    service_->changeMembership(simulation_.now(), group, target, reply);
    drain();
  });
}

void ControlMachine::transferLeadership() {
  process_.run([this] {
    service_->transferLeadership(simulation_.now());
    drain();
  });
}

}  // namespace hatchfork::sim
