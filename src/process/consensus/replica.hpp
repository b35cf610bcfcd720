#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/consensus/log.hpp"
#include "process/consensus/membership.hpp"
#include "process/consensus/messages.hpp"
#include "process/consensus/progress.hpp"
#include "process/consensus/replica_record.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/consensus/snapshot_store.hpp"
#include "process/storage/record.hpp"

namespace hatchfork::consensus {

/// A Raft replica (Ongaro's dissertation, 2014) with pre-vote, check-quorum, read index, leadership transfer and
/// single-server membership changes. Implemented in `replica*.cpp`: opening and dispatch, election, replication,
/// reads, membership, snapshots.
///
/// Invariants beyond plain Raft: a server is the pair of name and incarnation, so an emptied folder is another server;
/// term and vote are durable before any answer that depends on them; an entry counts for a quorum, also at the leader
/// itself, only after its sync.
class Replica final : public ReplicatedGroup {
 public:
  static Result<std::unique_ptr<Replica>> open(const GroupOptions& options, Disk& disk,
                                               std::unique_ptr<StateMachine> machine, Instant now);

  void tick(Instant now) override;
  void receive(Instant now, const PeerMessage& message) override;
  void propose(Instant now, RequestNumber request, std::string command) override;
  void read(Instant now, RequestNumber request) override;
  void changeMembership(Instant now, RequestNumber request, const Membership& target) override;
  void transferLeadership(Instant now) override;
  void setContacts(std::vector<ReplicaId> contacts, std::size_t announcers) override;
  void formWith(Instant now, const Membership& initial) override;
  std::vector<Candidate> candidates(Instant now) const override;
  std::vector<PeerHealth> peerHealth(Instant now) const override;
  bool applyNextSlice(Instant now) override;
  void releaseState() override { machine_->beginRestore(); }
  std::vector<PeerMessage> takeMessages() override;
  std::vector<RequestOutcome> takeOutcomes() override;
  GroupStatus status() const override;
  std::size_t logBytesInMemory() const override { return log_->payloadBytesHeld(); }
  Role role() const override;
  Term term() const override { return record_.term; }
  std::optional<ReplicaId> leader() const override { return leaderName(); }
  bool hasFault() const override { return fault_.has_value(); }
  bool isConfirmedLeader(Instant now) const override;
  void visitUnapplied(const std::function<void(std::string_view command)>& visit) const override;

 private:
  /// The last `Hello` received from another replica.
  struct Announcement {
    Incarnation incarnation = 0;
    bool formed = false;
    Membership pinned;
    Instant received_at{};
    ReleaseNumber release = kUnknownRelease;
  };
  struct HeartbeatRound {
    std::uint64_t number = 0;
    Instant sent_at{};
  };
  /// A read pending at the leader until a heartbeat round is confirmed.
  struct LeaderRead {
    /// The requesting follower; absent for a read of this replica's own driver.
    std::optional<Identity> requester;
    std::uint64_t number = 0;
    LogIndex index = 0;
    /// Zero until the leader has committed in its own term.
    std::uint64_t round = 0;
  };
  /// A read of this replica's driver for which a read index was requested from the leader.
  struct FollowerRead {
    RequestNumber request = 0;
    Instant deadline{};
    Instant resend_at{};
    std::optional<LogIndex> index;
  };
  struct Transfer {
    Identity target;
    Instant deadline{};
    bool sent = false;
  };
  /// Entries accepted from a leader that are to be acknowledged once they are synced.
  struct PendingAcknowledgement {
    Identity leader;
    LogIndex index = 0;
  };
  /// Schedule of the early pre-votes after a start: the next one, the pause after it, and when full election timeouts
  /// apply again.
  struct StartupElection {
    Instant next{};
    Duration pause{};
    Instant until{};
  };
  /// A snapshot that a leader sends; its bytes are written to its file as they arrive.
  struct IncomingSnapshot {
    Identity leader;
    LogIndex index = 0;
    Term term = 0;
    std::uint64_t total_bytes = 0;
    std::uint64_t received_bytes = 0;
    RecordStreamCheck check;
    bool writing = false;
  };
  /// A snapshot of this replica's own state that is being written.
  struct OwnSnapshot {
    SnapshotHeader header;
    Instant began_at{};
    /// Bytes of the commands applied since the previous snapshot.
    std::uint64_t log_bytes = 0;
    bool finished = false;
  };
  /// The snapshot that the state machine is restoring; `applied_` is zero meanwhile, so that no read is served from it.
  struct Restoring {
    SnapshotHeader header;
    SnapshotReader reader;
  };

  Replica(const GroupOptions& options, Disk& disk, std::unique_ptr<StateMachine> machine, Instant now);

  // Opening, dispatch and outputs (replica.cpp).
  Status load();
  Status loadRecord();
  /// Restores the current snapshot without slicing: no messages are pending while a replica is being opened.
  Status restoreWhole(const SnapshotHeader& header);
  void dispatch(const Identity& from, const Envelope& envelope);
  /// False if the message belongs to an old term and is to be ignored.
  bool updateTerm(const Identity& from, const Envelope& envelope);
  void send(const Identity& to, MessageBody body);
  void finish(RequestNumber request, decltype(RequestOutcome::result) result);
  void setFault(const Error& error);
  bool saveRecord();
  const Membership& membership() const { return memberships_.latest(); }
  bool isSelfVoter() const { return isVoter(membership(), self_); }
  std::vector<Identity> peers() const;
  std::optional<ReplicaId> leaderName() const;

  // Election (replica_election.cpp).
  void tickElection();
  void resetElectionDeadline();
  /// Schedules early pre-votes after a start instead of a full election timeout; the last leader starts its own at
  /// once.
  void scheduleStartupElection();
  /// Delays the next early pre-vote by `pause` plus a random share of it.
  void postponeStartupPreVote(Duration pause);
  void tickStartupElection();
  /// True if this replica leads, or was the last leader according to its disk.
  bool wasLastLeader() const;
  bool hasLiveLeader() const;
  void startPreVote();
  void startElection(bool leadership_transfer);
  void requestVotes(bool pre_vote, bool leadership_transfer);
  void handle(const Identity& from, const Envelope& envelope, const VoteRequest& request);
  void handle(const Identity& from, const Envelope& envelope, const VoteReply& reply);
  void handle(const Identity& from, const Envelope& envelope, const TimeoutNow& order);
  /// Adjusts this replica's own early pre-votes to a pre-vote received from another replica.
  void handleStartupPreVote(const Identity& from, const VoteRequest& request, bool granted);
  bool isLogUpToDate(const VoteRequest& request) const;
  void becomeFollower(Term term, std::optional<Identity> leader, std::string_view cause = "newer_term");
  void becomeLeader();
  /// `cause` is logged only.
  void leaveLeadership(std::string_view cause);
  void checkQuorum();
  /// True if the leader was heard from within the time for which a busy replica waits for it.
  bool hasRecentLeaderMessage() const;
  /// True if this replica stalled recently or is applying a long log, so that received messages may still be unread.
  bool isStalled() const;
  /// Records a stall of this replica itself, after which heartbeats and replies may still be unread.
  void detectOwnStall();
  void tickTransfer();
  void tryTransfer();
  /// The greatest value that a quorum of voters has reached; `value(peer)` for peers, `own` for this replica.
  template <class Value, class Function>
  Value quorumValue(Value own, Value least, Function value) const;
  Instant quorumConfirmedAt() const;
  /// Time at which a quorum was last sent a heartbeat or entries that it has acknowledged.
  Instant quorumHeardAt() const;

  // Replication (replica_replication.cpp).
  void sendHeartbeatRound();
  void replicateToPeers();
  void replicateTo(const Identity& peer, Progress& progress);
  void sendAppend(const Identity& peer, Progress& progress);
  void handle(const Identity& from, const Envelope& envelope, const Heartbeat& heartbeat);
  void handle(const Identity& from, const Envelope& envelope, const HeartbeatReply& reply);
  void handle(const Identity& from, const Envelope& envelope, const AppendRequest& request);
  void handle(const Identity& from, const Envelope& envelope, const AppendReply& reply);
  bool refuseUnlessMatching(const Identity& from, const AppendRequest& request);
  LogIndex appendOwnEntry(EntryKind kind, std::string payload);
  void storeEntry(const LogEntry& entry);
  void acknowledgeSynced();
  void onSynced();
  void advanceCommit();
  void commitTo(LogIndex index);
  /// Applies committed entries up to the size of a slice.
  void applyCommitted();
  /// Applies the next entry; false if it can't be read.
  bool applyNextEntry(std::uint64_t& bytes);
  void applyEntry(const LogEntry& entry);
  /// Last applied entry whose payload need not stay in memory.
  LogIndex lastEntryToRelease() const;

  // Reads (replica_read.cpp).
  void handle(const Identity& from, const Envelope& envelope, const ReadIndexRequest& request);
  void handle(const Identity& from, const Envelope& envelope, const ReadIndexReply& reply);
  void scheduleLeaderReads();
  void completeLeaderReads();
  void completeFollowerReads();
  void tickFollowerReads();
  void requestReadIndex(std::uint64_t number, FollowerRead& read);
  void failReads();
  bool hasCommittedInTerm() const { return role_ == Role::kLeader && committed_ >= leadership_index_; }

  // Membership (replica_membership.cpp).
  void tickFormation();
  void tickWithoutLeader();
  /// How often a replica without a cluster announces itself.
  Duration helloInterval() const;
  void announceToContacts();
  void handle(const Identity& from, const Envelope& envelope, const Hello& hello);
  void announce(const ReplicaId& to, bool answer_wanted);
  void pinInitialMembership();
  void joinIfAgreed();
  void discardObsoleteAgreement(const Hello& hello);
  void joinCluster();
  Membership resolveIncarnations(const Membership& target) const;
  std::vector<Identity> caughtUpLearners() const;
  void followMembership();

  // Snapshots (replica_snapshot.cpp).
  void takeSnapshotIfDue();
  bool isSnapshotDue() const;
  /// Draws the random delay of the next snapshot.
  void planNextSnapshot();
  void beginSnapshot();
  /// Writes the next pieces of the snapshot in progress, up to the size of a slice.
  void writeSnapshotSlice();
  void finishSnapshot();
  void abandonOwnSnapshot(std::string_view cause);
  /// True if a peer is being sent the current snapshot, whose file a newer one would remove.
  bool isSendingSnapshot() const;
  /// Returns the first index that the log must keep.
  LogIndex firstIndexKept() const;
  void compactLog();
  void sendSnapshotChunk(const Identity& peer, Progress& progress);
  void handle(const Identity& from, const Envelope& envelope, const SnapshotChunk& chunk);
  void handle(const Identity& from, const Envelope& envelope, const SnapshotChunkReply& reply);
  Status storeChunk(const SnapshotChunk& chunk);
  void finishIncomingSnapshot();
  /// Continues the log after the snapshot, which is the durable current one, and starts restoring the state from it.
  void installSnapshot(const SnapshotHeader& header);
  Status beginRestore(const SnapshotHeader& header);
  /// Restores the next pieces, up to the size of a slice.
  void restoreSlice();
  Status restoreNextPiece(std::uint64_t& bytes);
  void rebuildMemberships(const SnapshotHeader& header);

  /// Limit of the bytes that the state buffers for a snapshot in progress; beyond it, pieces are written at once.
  static constexpr std::size_t kMaxBufferedSnapshotBytes = 2 << 20;

  GroupOptions options_;
  Disk& disk_;
  std::unique_ptr<StateMachine> machine_;
  std::string folder_;
  Identity self_;
  ReplicaRecord record_;
  SnapshotStore snapshots_;
  std::unique_ptr<Log> log_;
  MembershipHistory memberships_;
  std::mt19937_64 random_;
  Instant now_;
  std::optional<Error> fault_;
  std::vector<PeerMessage> messages_;
  std::vector<RequestOutcome> outcomes_;

  Role role_ = Role::kFollower;
  std::optional<Identity> leader_;
  LogIndex committed_ = 0;
  LogIndex applied_ = 0;
  Instant election_deadline_{};
  /// Absent once there was a leader, or after the startup period has passed.
  std::optional<StartupElection> startup_election_;
  /// When this replica last received a message from the leader of its term.
  Instant leader_last_received_at_ = Instant::min();
  bool pre_vote_running_ = false;
  std::set<Identity> votes_;

  std::map<Identity, Progress> progress_;
  /// Index of the first entry of this replica's leadership.
  LogIndex leadership_index_ = 0;
  Instant elected_at_{};
  Instant ticked_at_{};
  /// When this replica last resumed after a stall.
  Instant resumed_at_ = Instant::min();
  Instant next_heartbeat_{};
  std::uint64_t round_ = 0;
  std::uint64_t last_read_round_ = 0;
  std::deque<HeartbeatRound> rounds_;
  std::map<LogIndex, RequestNumber> proposals_;
  std::optional<Transfer> transfer_;
  std::deque<LeaderRead> leader_reads_;

  std::map<std::uint64_t, FollowerRead> follower_reads_;
  std::uint64_t next_read_number_ = 0;
  std::optional<PendingAcknowledgement> pending_acknowledgement_;
  std::optional<IncomingSnapshot> incoming_;
  std::optional<OwnSnapshot> own_snapshot_;
  std::optional<Restoring> restoring_;
  /// Bytes of commands applied since the current snapshot, or since the one that is being written began.
  std::uint64_t bytes_since_snapshot_ = 0;
  /// Delay of the next snapshot beyond the minimum amount of applied bytes, as a share of it; drawn by each member, so
  /// that members take their snapshots at different times.
  double snapshot_delay_ = 0;
  /// No snapshot is begun before this time.
  Instant next_snapshot_ = Instant::min();

  std::vector<ReplicaId> contacts_;
  std::size_t announcers_ = 0;
  std::map<ReplicaId, Announcement> announcements_;
  Instant next_hello_{};
};

template <class Value, class Function>
Value Replica::quorumValue(Value own, Value least, Function value) const {
  std::vector<Value> values;
  for (const Member& member : membership().members) {
    if (!member.voter) continue;
    const Identity identity{member.id, member.incarnation};
    const auto progress = progress_.find(identity);
    if (identity == self_) {
      values.push_back(own);
    } else {
      values.push_back(progress == progress_.end() ? least : value(progress->second));
    }
  }
  if (values.empty()) return least;
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[quorumSize(membership()) - 1];
}

}  // namespace hatchfork::consensus
