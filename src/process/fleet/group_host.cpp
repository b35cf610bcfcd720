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
    for (auto& [number, pending] : std::exchange(pending_, {})) {
      if (pending.proposal) pending.proposal(ProposalOutcome{ProposalResult::kUnknown, ""});
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
  input.target_voters = consensus::wantedVoters(status.membership.members.size(), options_.most_voters);
  const std::optional<consensus::Membership> target = consensus::planMembershipChange(input);
  if (!target) return;
  const consensus::RequestNumber number = ++last_number_;
  const std::string text = describeMembership(*target);
  logEvent(LogLevel::kInfo, "membership_change",
           {{"group", options_.group}, {"from", describeMembership(status.membership)}, {"to", text}});
  Pending pending;
  pending.proposal = [group = options_.group, text](const ProposalOutcome& outcome) {
    logEvent(LogLevel::kInfo, "membership_change_ended",
             {{"group", group}, {"to", text}, {"committed", outcome.result == ProposalResult::kApplied}});
  };
  pending.deadline = now + std::chrono::seconds(10);
  pending_.emplace(number, std::move(pending));
  replica_->changeMembership(now, number, *target);
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
  proposeHere(frame.command, monotonicNow() + kReadTimeout, done);
}

void GroupHost::receive(const ProposalReplyFrame& frame) {
  const auto found = forwarded_.find(frame.number);
  if (found == forwarded_.end()) return;
  const ProposalHandler done = std::move(found->second.done);
  forwarded_.erase(found);
  done(ProposalOutcome{frame.result, frame.reply});
}

void GroupHost::propose(std::string command, Duration timeout, ProposalHandler done) {
  const Instant deadline = monotonicNow() + timeout;
  const std::optional<ReplicaId> leading = leader();
  if (!leading) {
    done(ProposalOutcome{ProposalResult::kNotRun, ""});
    return;
  }
  if (*leading == options_.self) {
    proposeHere(std::move(command), deadline, std::move(done));
    return;
  }
  const std::uint64_t number = ++last_number_;
  if (!send_(*leading, ProposalFrame{options_.group, options_.self, number, std::move(command)})) {
    done(ProposalOutcome{ProposalResult::kNotRun, ""});
    return;
  }
  forwarded_.emplace(number, Forwarded{std::move(done), deadline, *leading});
}

void GroupHost::proposeHere(std::string command, Instant deadline, ProposalHandler done) {
  if (!replica_) {
    done(ProposalOutcome{ProposalResult::kNotRun, ""});
    return;
  }
  const consensus::RequestNumber number = ++last_number_;
  pending_.emplace(number, Pending{std::move(done), nullptr, deadline});
  replica_->propose(monotonicNow(), number, std::move(command));
  flushSoon();
}

void GroupHost::read(ReadHandler done) {
  if (!replica_) {
    done(false);
    return;
  }
  const Instant now = monotonicNow();
  const consensus::RequestNumber number = ++last_number_;
  pending_.emplace(number, Pending{nullptr, std::move(done), now + kReadTimeout});
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
  if (pending.read) {
    pending.read(std::holds_alternative<consensus::ReadReady>(outcome.result));
    return;
  }
  if (const auto* applied = std::get_if<consensus::Applied>(&outcome.result)) {
    pending.proposal(ProposalOutcome{ProposalResult::kApplied, applied->reply});
    return;
  }
  const bool unknown = std::holds_alternative<consensus::OutcomeUnknown>(outcome.result);
  pending.proposal(ProposalOutcome{unknown ? ProposalResult::kUnknown : ProposalResult::kNotRun, ""});
}

void GroupHost::expire(Instant now) {
  std::vector<Pending> late;
  std::erase_if(pending_, [&](auto& entry) {
    if (entry.second.deadline > now) return false;
    late.push_back(std::move(entry.second));
    return true;
  });
  std::vector<ProposalHandler> late_forwards;
  const std::optional<ReplicaId> leading = leader();
  std::erase_if(forwarded_, [&](auto& entry) {
    if (entry.second.deadline > now && leading == entry.second.leader) return false;
    late_forwards.push_back(std::move(entry.second.done));
    return true;
  });
  for (Pending& pending : late) {
    if (pending.read) pending.read(false);
    if (pending.proposal) pending.proposal(ProposalOutcome{ProposalResult::kUnknown, ""});
  }
  for (ProposalHandler& done : late_forwards) done(ProposalOutcome{ProposalResult::kUnknown, ""});
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
