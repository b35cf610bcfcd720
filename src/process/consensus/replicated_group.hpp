#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "process/consensus/state_machine.hpp"
#include "process/storage/disk.hpp"
#include "version/release.hpp"

namespace hatchfork::consensus {

/// Random number drawn when a data folder is formatted. An empty folder gets a new one, so a replica that lost its disk
/// cannot vote as its former incarnation.
using Incarnation = std::uint64_t;

/// One replica named in a group's membership.
struct Member {
  ReplicaId id;
  /// Zero until the member's data folder is known.
  Incarnation incarnation = 0;
  bool voter = true;
  bool operator==(const Member&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Member, id, incarnation, voter)

struct Membership {
  std::vector<Member> members;
  bool operator==(const Membership&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Membership, members)

/// Timing of a group. All durations are measured on the replica's own monotonic clock.
struct Timing {
  Duration heartbeat_interval = fromMillis(100);
  /// A follower starts a pre-vote after a random time in [election_timeout, 2 * election_timeout) without a leader.
  Duration election_timeout = fromMillis(500);
  /// Entries kept behind a snapshot for slow followers, and applied entries between two snapshots.
  std::uint64_t snapshot_after_entries = 5000;
  /// Bytes of commands applied between two snapshots, where that comes first. The threshold is higher for a large
  /// state.
  std::uint64_t snapshot_after_bytes = 16 << 20;
};

struct GroupOptions {
  GroupId group = 0;
  ReplicaId self;
  /// The members a new cluster forms with; used only while the data folder is empty.
  std::vector<ReplicaId> initial_members;
  /// False where the cluster has formed before: an empty replica then only waits to be added as a member. Read when the
  /// folder is formatted, and stored there.
  bool may_form = true;
  Timing timing;
  /// Payload bytes of applied entries that stay in memory for members that are a little behind.
  std::size_t max_kept_bytes = std::size_t{4} << 20;
  /// Draws incarnations and election times. Zero takes the operating system's random numbers; simulations pass another
  /// one at each opening, since a wiped replica must draw a new incarnation.
  std::uint64_t random_seed = 0;
};

/// A message between two replicas of one group. `body` is the typed consensus message, encoded by the group.
struct PeerMessage {
  GroupId group = 0;
  ReplicaId from;
  ReplicaId to;
  std::string body;
};

/// Identifies one call of `propose` or `read` at this replica.
using RequestNumber = std::uint64_t;

/// The command was committed and applied; `reply` is what the state machine returned.
struct Applied {
  std::string reply;
};
/// The command was never appended here: provably not run.
struct NotLeader {
  std::optional<ReplicaId> leader;
};
/// The command was appended, then leadership was lost: it may or may not be applied later.
struct OutcomeUnknown {};
/// The state machine is now at least as fresh as the moment of the `read` call; read it before the next call.
struct ReadReady {};
/// A membership change that was refused and never appended; `error` contains the remedy.
struct MembershipRejected {
  Error error;
};

struct RequestOutcome {
  RequestNumber request = 0;
  std::variant<Applied, NotLeader, OutcomeUnknown, ReadReady, MembershipRejected> result;
};

/// A replica that announced itself recently and may be added to the membership.
struct Candidate {
  ReplicaId id;
  Incarnation incarnation = 0;
  /// True if it belonged to the cluster before, for example one that was removed while it was away.
  bool formed = false;
  ReleaseNumber release = kUnknownRelease;
};

/// A leader's view of another member.
struct PeerHealth {
  ReplicaId id;
  Incarnation incarnation = 0;
  /// Time since the leader last confirmed that the member answers, or since its election.
  Duration silent_for{};
  /// True if the member holds every committed entry and answered within the election timeout.
  bool caught_up = false;
};

enum class Role { kLearner, kFollower, kCandidate, kLeader };

/// State of a group at one replica, for operators.
struct GroupStatus {
  GroupId group = 0;
  Role role = Role::kFollower;
  Term term = 0;
  std::optional<ReplicaId> leader;
  LogIndex committed = 0;
  LogIndex applied = 0;
  LogIndex first_log_index = 0;
  LogIndex last_log_index = 0;
  Membership membership;
  /// False until this replica has learned that the change to `membership` is committed. A repair is complete only once
  /// the leader reports the new voter in a committed membership.
  bool membership_committed = true;
  /// This replica's own incarnation, drawn when its folder was formatted.
  Incarnation incarnation = 0;
  /// False while an empty replica waits for its cluster to form, or for a membership change that adds it.
  bool joined = false;
  /// At the leader: learners that hold everything committed, so that they may be made voters.
  std::vector<ReplicaId> caught_up_learners;
  /// Bytes of log and snapshot on this disk.
  std::uint64_t log_bytes = 0;
  std::uint64_t snapshot_bytes = 0;
  /// Set, with the remedy, when the disk failed or its data is damaged: the replica no longer participates.
  std::optional<Error> fault;
};

/// One replica of one replicated group: consensus, durable log, snapshots and the state machine. Free of I/O except for
/// the `Disk`; the driver calls `tick` about every 10 ms, passes messages in, and drains the outputs after every call
/// and after every sync callback of the disk (a sync releases acknowledgements and outcomes). Threading: control thread
/// only.
class ReplicatedGroup {
 public:
  virtual ~ReplicatedGroup() = default;

  virtual void tick(Instant now) = 0;
  virtual void receive(Instant now, const PeerMessage& message) = 0;
  /// Starts the replication of a command. The outcome comes through `takeOutcomes`.
  virtual void propose(Instant now, RequestNumber request, std::string command) = 0;
  /// Requests a linearizable read (read index; also served by followers through the leader).
  virtual void read(Instant now, RequestNumber request) = 0;
  /// Makes `target` the membership, which may differ from the present one in a single member: add a learner, turn a
  /// caught-up learner into a voter, remove a member, or replace a voter by a learner of the same name (a lost disk:
  /// the empty replica comes back under a new incarnation). Incarnation zero means the present one, and for learners
  /// the one that the empty replica announced. The outcome comes through `takeOutcomes`: `Applied` with an empty reply
  /// when the new membership is committed, else `MembershipRejected`, `NotLeader` or `OutcomeUnknown`.
  virtual void changeMembership(Instant now, RequestNumber request, const Membership& target) = 0;
  /// Transfers leadership to the most caught-up voter; for planned stops.
  virtual void transferLeadership(Instant now) = 0;

  /// Sets the replicas that this replica announces itself to while it belongs to no cluster or sees no leader.
  /// `announcers`: number of replicas that may announce themselves to them; the interval grows with it, which bounds
  /// the announcements that a contact receives each second.
  virtual void setContacts(std::vector<ReplicaId> contacts, std::size_t announcers) = 0;
  /// Forms the cluster with exactly these members, which an authority outside of the group has fixed permanently.
  /// Does nothing at a replica that has joined, that agreed to another membership, or that is not named.
  virtual void formWith(Instant now, const Membership& initial) = 0;
  /// Replicas that announced themselves within the last seconds and are not members under that incarnation.
  virtual std::vector<Candidate> candidates(Instant now) const = 0;
  /// The other members as the leader sees them; empty elsewhere.
  virtual std::vector<PeerHealth> peerHealth(Instant now) const = 0;

  /// Committed entries are applied in slices, so that a long log never blocks message handling. Applies the next slice;
  /// false once all are applied. Each `tick` applies one as well.
  virtual bool applyNextSlice(Instant now) = 0;

  /// Empties the state of a replica that has stopped, so that it uses no memory beside the replica that is reopened.
  virtual void releaseState() = 0;

  virtual std::vector<PeerMessage> takeMessages() = 0;
  virtual std::vector<RequestOutcome> takeOutcomes() = 0;
  virtual GroupStatus status() const = 0;
  /// Number of log bytes held in memory. Iterates over all entries.
  virtual std::size_t logBytesInMemory() const = 0;
  // Parts of the status that drivers read often.
  virtual Role role() const = 0;
  virtual Term term() const = 0;
  virtual std::optional<ReplicaId> leader() const = 0;
  virtual bool hasFault() const = 0;
  /// Calls `visit` for each unapplied command that the log holds in memory. Some may never be committed, so use them
  /// only for facts that hold without agreement. The views are valid during the call only.
  virtual void visitUnapplied(const std::function<void(std::string_view command)>& visit) const = 0;
  /// True while this replica leads, has applied an entry of its own term (so that it has applied all entries committed
  /// before) and a quorum has confirmed it within the election timeout, counted from when it sent the heartbeat.
  virtual bool isConfirmedLeader(Instant now) const = 0;
};

/// Opens the replica from its files below `group-<n>/`, or formats an empty folder. Damaged files are
/// `kStorageCorrupt`.
Result<std::unique_ptr<ReplicatedGroup>> openReplicatedGroup(const GroupOptions& options, Disk& disk,
                                                             std::unique_ptr<StateMachine> machine, Instant now);

}  // namespace hatchfork::consensus
