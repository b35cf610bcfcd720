#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "connection/asio.hpp"
#include "process/consensus/membership_plan.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "process/storage/posix_disk.hpp"

namespace hatchfork::fleet {

struct GroupHostOptions {
  GroupId group = 0;
  ReplicaId self;
  std::string data_folder;
  /// The replicas that form a new group; empty where `formWith` names them.
  std::vector<ReplicaId> formation_members;
  bool may_form = false;
  /// Upper bound of the wanted voters; odd.
  std::size_t most_voters = 3;
  consensus::Timing timing{fromMillis(50), fromMillis(200)};
  /// Payload bytes of the log in memory beyond which the leader appends no further command with a subject; zero for no
  /// limit.
  std::size_t max_log_bytes = 0;
};

/// Reply of a proposal that was not run because the leader's log is at `max_log_bytes`.
inline constexpr std::string_view kLogFull = "log_full";

/// Outcome of a proposal; `reply` is the state machine's, or the cause for `kNotRun`.
struct ProposalOutcome {
  ProposalResult result = ProposalResult::kUnknown;
  std::string reply;
};

/// Drives one replica of one group with the real disk and the clock, keeps the membership at its wanted size while it
/// leads, passes proposals on to the leader, and opens the replica again after a failure of its disk. A damaged folder
/// counts as lost: it is emptied and joins anew. Threading: the thread of `context`; only disk syncs run on another.
class GroupHost {
 public:
  using MachineFactory = std::function<std::unique_ptr<consensus::StateMachine>()>;
  /// Learns of the state machine in use, at the start and whenever the replica is opened anew.
  using MachineAdopter = std::function<void(consensus::StateMachine&)>;
  /// Sends a frame to the replica of that name; false if it was surely not sent.
  using SendFunction = std::function<bool(const ReplicaId& to, const FleetMessage& message)>;
  using ProposalHandler = std::function<void(ProposalOutcome)>;
  using ReadHandler = std::function<void(bool fresh)>;

  GroupHost(connection::asio::io_context& context, GroupHostOptions options, MachineFactory make_machine,
            MachineAdopter adopt_machine, SendFunction send);
  ~GroupHost();

  /// Opens the replica and starts to drive it. The error of a disk that can't be used.
  Status start();

  void receive(const GroupFrame& frame);
  void receive(const ProposalFrame& frame);
  void receive(const ProposalReplyFrame& frame);

  /// Replicates a command, here or at the leader. Calls back exactly once, within `timeout`.
  ///
  /// `subject` names what a caller's command is about, for example the job that it submits: while a command with the
  /// same subject is in the leader's log and not applied, a further one is not appended and shares its outcome. Such
  /// commands are refused while the log in memory is at `max_log_bytes`.
  void propose(std::string command, Duration timeout, ProposalHandler done, std::string subject = {});
  /// Calls back once the state machine here is at least as fresh as this call, or with false.
  void read(ReadHandler done);

  /// See `ReplicatedGroup::visitUnapplied`.
  void visitUnapplied(const std::function<void(std::string_view command)>& visit) const {
    if (replica_) replica_->visitUnapplied(visit);
  }

  void setContacts(std::vector<ReplicaId> contacts, std::size_t announcers);
  /// The leader adds no replica of an older release to the group.
  void setLeastRelease(ReleaseNumber release) { least_release_ = release; }
  void setRetiring(std::set<ReplicaId> retiring) { retiring_ = std::move(retiring); }
  void formWith(const consensus::Membership& initial);
  /// Hands leadership to another voter; for planned stops.
  void transferLeadership();

  bool isOpen() const { return replica_ != nullptr; }
  bool isConfirmedLeader() const;
  /// Leads as far as this replica knows, confirmed by a quorum or not.
  bool isLeader() const { return replica_ && replica_->role() == consensus::Role::kLeader; }
  consensus::GroupStatus status() const;
  /// Proposals and reads without an outcome, those that were passed on to the leader included.
  std::size_t proposalsInFlight() const { return pending_.size() + forwarded_.size(); }
  std::size_t logBytesInMemory() const { return replica_ ? replica_->logBytesInMemory() : 0; }
  std::optional<ReplicaId> leader() const;
  consensus::Term term() const { return replica_ ? replica_->term() : 0; }
  /// Runs after each change of role, outcome or applied entry that this host has processed.
  void setProgressHandler(std::function<void()> on_progress) { on_progress_ = std::move(on_progress); }

 private:
  /// A proposer that waits for an outcome.
  struct Proposer {
    ProposalHandler done;
    Instant deadline;
  };
  struct Pending {
    /// Several share one entry. Entries with a subject stay pending until their outcome, also without proposers.
    std::vector<Proposer> proposers;
    std::string subject;
    ReadHandler read;
    Instant read_deadline = Instant::max();
  };
  struct Forwarded {
    std::vector<Proposer> proposers;
    std::string subject;
    /// Whom it was passed on to; another leader knows nothing of it.
    ReplicaId leader;
  };

  Status openReplica();
  Status wipeFolder();
  void scheduleTick();
  void tick();
  void flush();
  void flushSoon();
  void finish(const consensus::RequestOutcome& outcome);
  void expire(Instant now);
  void reopenAfterFault(Instant now);
  void planMembership(Instant now);
  void logTooOld(const std::vector<consensus::Candidate>& candidates);
  void logRoleChange();
  /// Passes a proposal on to the leader, unless one with its subject is under way there.
  void forward(const ReplicaId& leader, std::string command, Proposer proposer, std::string subject);
  void proposeHere(std::string command, Proposer proposer, std::string subject);
  /// Adds the proposer to the entry of its subject, or refuses it if the log is full; false if it is to be appended.
  bool joinsOrRefuses(std::size_t bytes, Proposer& proposer, const std::string& subject);
  /// True if no further command of this size with a subject may be appended.
  bool isLogFull(std::size_t bytes) const;

  connection::asio::io_context& context_;
  GroupHostOptions options_;
  MachineFactory make_machine_;
  MachineAdopter adopt_machine_;
  SendFunction send_;
  std::function<void()> on_progress_;
  std::unique_ptr<PosixDisk> disk_;
  std::unique_ptr<consensus::ReplicatedGroup> replica_;
  connection::Timer tick_timer_;
  std::vector<ReplicaId> contacts_;
  std::size_t announcers_ = 0;
  std::set<ReplicaId> retiring_;
  ReleaseNumber least_release_ = kUnknownRelease;
  /// Replicas that were not added for their release, each logged once.
  std::set<ReplicaId> too_old_;
  consensus::Membership initial_;
  std::map<consensus::RequestNumber, Pending> pending_;
  /// Numbers of the pending proposals with a subject.
  std::map<std::string, consensus::RequestNumber> subjects_;
  std::map<std::uint64_t, Forwarded> forwarded_;
  /// Until when commands with a subject are not passed on, since the leader's log was full.
  Instant leader_full_until_ = Instant::min();
  std::uint64_t last_number_ = 0;
  Instant started_at_{};
  Instant next_plan_{};
  Instant reopen_at_{};
  bool fault_seen_ = false;
  bool flush_posted_ = false;
  consensus::Role logged_role_ = consensus::Role::kFollower;
  consensus::Term logged_term_ = 0;
  std::optional<ReplicaId> logged_leader_;
  /// Callbacks of the disk's thread outlive this object.
  std::shared_ptr<GroupHost*> self_;
};

}  // namespace hatchfork::fleet
