#include "process/fleet/group_host.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/start_timeline.hpp"

namespace hatchfork::fleet {

using connection::monotonicNow;
using consensus::GroupStatus;
using consensus::Role;

namespace {

constexpr Duration kTickInterval = fromMillis(25);
/// While the replica knows no leader, for this long after its start: votes are called for within milliseconds then.
constexpr Duration kStartTickInterval = fromMillis(5);
constexpr Duration kStartTicksFor = std::chrono::seconds(1);
constexpr Duration kPlanInterval = fromMillis(100);
constexpr Duration kReopenDelay = fromMillis(500);
constexpr Duration kReadTimeout = fromMillis(1500);
/// After the leader has refused a submission for its full log, none is passed on to it for this long.
constexpr Duration kLogFullPause = fromMillis(50);
/// Part of `max_log_bytes` that applied entries may take.
constexpr std::size_t kKeptShareOfLog = 8;

std::string_view roleName(Role role) {
  switch (role) {
    case Role::kLearner:
      return "learner";
    case Role::kFollower:
      return "follower";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "follower";
}

std::string describeMembership(const consensus::Membership& membership) {
  std::string text;
  for (const consensus::Member& member : membership.members) {
    if (!text.empty()) text += ',';
    text += member.id.value;
    if (!member.voter) text += ":learner";
  }
  return text;
}

}  // namespace

GroupHost::GroupHost(connection::asio::io_context& context, GroupHostOptions options, MachineFactory make_machine,
                     MachineAdopter adopt_machine, SendFunction send)
    : context_(context),
      options_(std::move(options)),
      make_machine_(std::move(make_machine)),
      adopt_machine_(std::move(adopt_machine)),
      send_(std::move(send)),
      tick_timer_(context),
      contacts_(options_.formation_members),
      self_(std::make_shared<GroupHost*>(this)) {}

GroupHost::~GroupHost() = default;

Status GroupHost::start() {
  auto post = [this, weak = std::weak_ptr<GroupHost*>(self_)](std::function<void()> work) {
    connection::asio::post(context_, [weak, work = std::move(work)] {
      const std::shared_ptr<GroupHost*> host = weak.lock();
      if (!host) return;
      work();
      (*host)->flush();
    });
  };
  disk_ = std::make_unique<PosixDisk>(options_.data_folder, post);
  const Status opened = openReplica();
  if (!isOk(opened)) return opened;
  started_at_ = monotonicNow();
  scheduleTick();
  return okStatus();
}

Status GroupHost::openReplica() {
  consensus::GroupOptions options;
  options.group = options_.group;
  options.self = options_.self;
  options.initial_members = options_.formation_members;
  options.may_form = options_.may_form;
  options.timing = options_.timing;
  if (options_.max_log_bytes > 0) options.max_kept_bytes = options_.max_log_bytes / kKeptShareOfLog;
  std::unique_ptr<consensus::StateMachine> machine = make_machine_();
  consensus::StateMachine* in_use = machine.get();
  auto opened = consensus::openReplicatedGroup(options, *disk_, std::move(machine), monotonicNow());
  if (!isOk(opened) && errorOf(opened).kind == ErrorKind::kStorageCorrupt) {
    logEvent(LogLevel::kError, "replica_folder_damaged",
             {{"group", options_.group}, {"error", describe(errorOf(opened))}, {"outcome", "emptied"}});
    const Status wiped = wipeFolder();
    if (!isOk(wiped)) return wiped;
    options.may_form = false;
    machine = make_machine_();
    in_use = machine.get();
    opened = consensus::openReplicatedGroup(options, *disk_, std::move(machine), monotonicNow());
  }
  if (!isOk(opened)) return errorOf(opened);
  adopt_machine_(*in_use);
  replica_ = std::move(valueOf(opened));
  replica_->setContacts(contacts_, announcers_);
  if (!initial_.members.empty()) replica_->formWith(monotonicNow(), initial_);
  const GroupStatus opened_status = replica_->status();
  logEvent(LogLevel::kInfo, "replica_opened",
           {{"group", options_.group},
            {"incarnation", opened_status.incarnation},
            {"joined", opened_status.joined},
            {"term", opened_status.term},
            {"last_index", opened_status.last_log_index},
            {"may_form", options_.may_form}});
  noteStartStep("log_read");
  return okStatus();
}

Status GroupHost::wipeFolder() {
  const std::string folder = fmt::format("group-{}", options_.group);
  const Result<std::vector<std::string>> files = disk_->list(folder);
  if (!isOk(files)) return errorOf(files);
  // The replica's record goes last: files without it are seen as damage again.
  std::vector<std::string> names = valueOf(files);
  std::stable_partition(names.begin(), names.end(),
                        [](const std::string& name) { return !name.ends_with("/replica"); });
  for (const std::string& name : names) {
    const Status removed = disk_->remove(name);
    if (!isOk(removed)) return removed;
  }
  return okStatus();
}

void GroupHost::scheduleTick() {
  const bool is_starting = !replica_->leader() && monotonicNow() < started_at_ + kStartTicksFor;
  tick_timer_.expires_after(is_starting ? kStartTickInterval : kTickInterval);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    tick();
    scheduleTick();
  });
}

void GroupHost::tick() {
  const Instant now = monotonicNow();
  reopenAfterFault(now);
  replica_->tick(now);
  planMembership(now);
  expire(now);
  flush();
}

/// The faulty replica stays until another one is open, but its state is empty from then on: two may not fit.
void GroupHost::reopenAfterFault(Instant now) {
  if (!replica_->hasFault()) return;
  if (!fault_seen_) {
    fault_seen_ = true;
    reopen_at_ = now + kReopenDelay;
    subjects_.clear();
    for (auto& [number, pending] : std::exchange(pending_, {})) {
      for (const Proposer& proposer : pending.proposers) proposer.done(ProposalOutcome{ProposalResult::kUnknown, ""});
      if (pending.read) pending.read(false);
    }
  }
  if (now < reopen_at_) return;
  fault_seen_ = false;
  replica_->releaseState();
  const Status opened = openReplica();
  if (isOk(opened)) return;
  logEvent(LogLevel::kError, "replica_open_failed", {{"group", options_.group}, {"error", describe(errorOf(opened))}});
  reopen_at_ = now + kReopenDelay;
}

void GroupHost::planMembership(Instant now) {
  if (now < next_plan_) return;
  next_plan_ = now + kPlanInterval;
  if (!replica_->isConfirmedLeader(now)) return;
  const GroupStatus status = replica_->status();
  if (!status.membership_committed) return;
  consensus::MembershipPlanInput input;
  input.current = status.membership;
  input.self = options_.self;
  input.peers = replica_->peerHealth(now);
  input.candidates = replica_->candidates(now);
  input.retiring = retiring_;
  input.least_release = least_release_;
  logTooOld(input.candidates);
  input.target_voters = consensus::wantedVoters(status.membership.members.size(), options_.most_voters);
  const std::optional<consensus::Membership> target = consensus::planMembershipChange(input);
  if (!target) return;
  const consensus::RequestNumber number = ++last_number_;
  const std::string text = describeMembership(*target);
  logEvent(LogLevel::kInfo, "membership_change",
           {{"group", options_.group}, {"from", describeMembership(status.membership)}, {"to", text}});
  auto done = [group = options_.group, text](const ProposalOutcome& outcome) {
    logEvent(LogLevel::kInfo, "membership_change_ended",
             {{"group", group}, {"to", text}, {"committed", outcome.result == ProposalResult::kApplied}});
  };
  pending_[number].proposers.push_back(Proposer{done, now + std::chrono::seconds(10)});
  replica_->changeMembership(now, number, *target);
}

void GroupHost::logTooOld(const std::vector<consensus::Candidate>& candidates) {
  for (const consensus::Candidate& candidate : candidates) {
    if (candidate.release >= least_release_ || !too_old_.insert(candidate.id).second) continue;
    logEvent(LogLevel::kWarning, "candidate_too_old",
             {{"group", options_.group},
              {"replica", candidate.id.value},
              {"release", candidate.release},
              {"least_release", least_release_}});
  }
}

void GroupHost::receive(const GroupFrame& frame) {
  if (!replica_) return;
  replica_->receive(monotonicNow(), consensus::PeerMessage{frame.group, frame.from, frame.to, frame.body});
  flushSoon();
}

void GroupHost::receive(const ProposalFrame& frame) {
  auto done = [this, to = frame.from, number = frame.number](const ProposalOutcome& outcome) {
    send_(to, ProposalReplyFrame{options_.group, number, outcome.result, outcome.reply});
  };
  proposeHere(frame.command, Proposer{done, monotonicNow() + kReadTimeout}, frame.subject);
}

void GroupHost::receive(const ProposalReplyFrame& frame) {
  const auto found = forwarded_.find(frame.number);
  if (found == forwarded_.end()) return;
  const Forwarded forwarded = std::move(found->second);
  forwarded_.erase(found);
  if (frame.result == ProposalResult::kNotRun && frame.reply == kLogFull) {
    leader_full_until_ = monotonicNow() + kLogFullPause;
  }
  for (const Proposer& proposer : forwarded.proposers) proposer.done(ProposalOutcome{frame.result, frame.reply});
}

void GroupHost::propose(std::string command, Duration timeout, ProposalHandler done, std::string subject) {
  Proposer proposer{std::move(done), monotonicNow() + timeout};
  const std::optional<ReplicaId> leading = leader();
  if (!leading) {
    proposer.done(ProposalOutcome{ProposalResult::kNotRun, ""});
  } else if (*leading == options_.self) {
    proposeHere(std::move(command), std::move(proposer), std::move(subject));
  } else {
    forward(*leading, std::move(command), std::move(proposer), std::move(subject));
  }
}

void GroupHost::forward(const ReplicaId& leader, std::string command, Proposer proposer, std::string subject) {
  const auto same = std::find_if(forwarded_.begin(), forwarded_.end(), [&](const auto& entry) {
    return !subject.empty() && entry.second.subject == subject && entry.second.leader == leader;
  });
  if (same != forwarded_.end()) {
    same->second.proposers.push_back(std::move(proposer));
    return;
  }
  if (!subject.empty() && monotonicNow() < leader_full_until_) {
    proposer.done(ProposalOutcome{ProposalResult::kNotRun, std::string(kLogFull)});
    return;
  }
  const std::uint64_t number = ++last_number_;
  if (!send_(leader, ProposalFrame{options_.group, options_.self, number, std::move(command), subject})) {
    proposer.done(ProposalOutcome{ProposalResult::kNotRun, ""});
    return;
  }
  Forwarded& forwarded = forwarded_[number];
  forwarded.proposers.push_back(std::move(proposer));
  forwarded.subject = std::move(subject);
  forwarded.leader = leader;
}

void GroupHost::proposeHere(std::string command, Proposer proposer, std::string subject) {
  if (!replica_) {
    proposer.done(ProposalOutcome{ProposalResult::kNotRun, ""});
    return;
  }
  if (!subject.empty() && joinsOrRefuses(command.size(), proposer, subject)) return;
  const consensus::RequestNumber number = ++last_number_;
  if (!subject.empty()) subjects_.emplace(subject, number);
  Pending& pending = pending_[number];
  pending.proposers.push_back(std::move(proposer));
  pending.subject = std::move(subject);
  replica_->propose(monotonicNow(), number, std::move(command));
  flushSoon();
}

bool GroupHost::joinsOrRefuses(std::size_t bytes, Proposer& proposer, const std::string& subject) {
  const auto first = subjects_.find(subject);
  const bool is_in_log = first != subjects_.end();
  if (!is_in_log && !isLogFull(bytes)) return false;
  logEvent(LogLevel::kInfo, is_in_log ? "proposal_joined" : "proposal_refused",
           {{"group", options_.group},
            {"subject", subject},
            {"bytes", bytes},
            {"log_bytes", logBytesInMemory()},
            {"max_log_bytes", options_.max_log_bytes},
            {"in_log", subjects_.size()}});
  if (is_in_log) {
    pending_[first->second].proposers.push_back(std::move(proposer));
  } else {
    proposer.done(ProposalOutcome{ProposalResult::kNotRun, std::string(kLogFull)});
  }
  return true;
}

/// A command larger than the limit is appended if no other one is in the log.
bool GroupHost::isLogFull(std::size_t bytes) const {
  if (options_.max_log_bytes == 0 || subjects_.empty()) return false;
  return logBytesInMemory() + bytes > options_.max_log_bytes;
}

void GroupHost::read(ReadHandler done) {
  if (!replica_) {
    done(false);
    return;
  }
  const Instant now = monotonicNow();
  const consensus::RequestNumber number = ++last_number_;
  Pending& pending = pending_[number];
  pending.read = std::move(done);
  pending.read_deadline = now + kReadTimeout;
  replica_->read(now, number);
  flushSoon();
}

void GroupHost::flushSoon() {
  if (std::exchange(flush_posted_, true)) return;
  connection::asio::post(context_, [weak = std::weak_ptr<GroupHost*>(self_)] {
    if (const std::shared_ptr<GroupHost*> host = weak.lock()) (*host)->flush();
  });
}

void GroupHost::flush() {
  flush_posted_ = false;
  if (!replica_) return;
  for (auto outcomes = replica_->takeOutcomes(); !outcomes.empty();) {
    for (const consensus::RequestOutcome& outcome : outcomes) finish(outcome);
    if (!replica_) return;
    outcomes = replica_->takeOutcomes();
  }
  for (consensus::PeerMessage& message : replica_->takeMessages()) {
    const ReplicaId to = message.to;
    send_(to, GroupFrame{message.group, std::move(message.from), std::move(message.to), std::move(message.body)});
  }
  for (const consensus::RequestOutcome& outcome : replica_->takeOutcomes()) finish(outcome);
  if (isConfirmedLeader()) noteStartStep("first_commit");
  logRoleChange();
  if (on_progress_) on_progress_();
  // Other work of this thread comes between two slices.
  if (replica_ && replica_->applyNextSlice(monotonicNow())) flushSoon();
}

void GroupHost::finish(const consensus::RequestOutcome& outcome) {
  const auto found = pending_.find(outcome.request);
  if (found == pending_.end()) return;
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  subjects_.erase(pending.subject);
  if (pending.read) {
    pending.read(std::holds_alternative<consensus::ReadReady>(outcome.result));
    return;
  }
  ProposalOutcome told;
  if (const auto* applied = std::get_if<consensus::Applied>(&outcome.result)) {
    told = ProposalOutcome{ProposalResult::kApplied, applied->reply};
  } else if (!std::holds_alternative<consensus::OutcomeUnknown>(outcome.result)) {
    told.result = ProposalResult::kNotRun;
  }
  for (const Proposer& proposer : pending.proposers) proposer.done(told);
}

void GroupHost::expire(Instant now) {
  std::vector<ReadHandler> late_reads;
  std::vector<ProposalHandler> late;
  const auto take_late = [&late](std::vector<Proposer>& proposers, Instant until) {
    std::erase_if(proposers, [&](Proposer& proposer) {
      if (proposer.deadline > until) return false;
      late.push_back(std::move(proposer.done));
      return true;
    });
  };
  for (auto& [number, pending] : pending_) {
    take_late(pending.proposers, now);
    if (!pending.read || pending.read_deadline > now) continue;
    late_reads.push_back(std::exchange(pending.read, nullptr));
  }
  std::erase_if(pending_, [](const auto& entry) {
    const Pending& pending = entry.second;
    return pending.proposers.empty() && pending.subject.empty() && !pending.read;
  });
  const std::optional<ReplicaId> leading = leader();
  for (auto& [number, forwarded] : forwarded_) {
    take_late(forwarded.proposers, leading == forwarded.leader ? now : Instant::max());
  }
  std::erase_if(forwarded_, [](const auto& entry) { return entry.second.proposers.empty(); });
  for (const ReadHandler& done : late_reads) done(false);
  for (const ProposalHandler& done : late) done(ProposalOutcome{ProposalResult::kUnknown, ""});
}

void GroupHost::setContacts(std::vector<ReplicaId> contacts, std::size_t announcers) {
  contacts_ = std::move(contacts);
  announcers_ = announcers;
  if (replica_) replica_->setContacts(contacts_, announcers_);
}

void GroupHost::formWith(const consensus::Membership& initial) {
  initial_ = initial;
  if (!replica_) return;
  replica_->formWith(monotonicNow(), initial);
  flushSoon();
}

void GroupHost::transferLeadership() {
  if (!replica_) return;
  replica_->transferLeadership(monotonicNow());
  flushSoon();
}

bool GroupHost::isConfirmedLeader() const {
  return replica_ != nullptr && replica_->isConfirmedLeader(monotonicNow());
}

GroupStatus GroupHost::status() const {
  return replica_ ? replica_->status() : GroupStatus{};
}

std::optional<ReplicaId> GroupHost::leader() const {
  return replica_ ? replica_->leader() : std::nullopt;
}

void GroupHost::logRoleChange() {
  const Role role = replica_->role();
  const std::optional<ReplicaId> leading = replica_->leader();
  const consensus::Term term = replica_->term();
  if (role == logged_role_ && leading == logged_leader_ && term == logged_term_) return;
  // A candidate without an outcome changes nothing that others rely on.
  if (role == Role::kCandidate && logged_role_ == Role::kCandidate) return;
  if (leading) noteStartStep("leader_known");
  logged_role_ = role;
  logged_leader_ = leading;
  logged_term_ = term;
  logEvent(LogLevel::kInfo, "group_role",
           {{"group", options_.group},
            {"role", roleName(role)},
            {"term", term},
            {"leader", leading ? leading->value : std::string("-")}});
}

}  // namespace hatchfork::fleet
