#include "process/control/control_service.hpp"

#include <algorithm>
#include <type_traits>

#include "common/sha256.hpp"

namespace hatchfork::control {
namespace {

constexpr std::size_t kMostPendingPerGroup = 20000;
/// Encoded pages of the configuration are kept until they are this far behind; edits make up the rest.
constexpr Revision kMostRevisionsBehind = 100;
constexpr Duration kRetrySoon = fromMillis(200);
constexpr Duration kAnnouncementLifetime = fromMillis(5000);

template <class T, class... Options>
constexpr bool isOneOf = (std::is_same_v<T, Options> || ...);

/// Requests answered from fresh state; all others are commands of the group's state machine.
bool isRead(const ControlRequest& request) {
  return std::visit(
      [](const auto& body) {
        return isOneOf<std::decay_t<decltype(body)>, RenewConfigurationRequest, GetJobRequest, FindJobRequest,
                       GetResultsRequest, LeaseItemsRequest>;
      },
      request);
}

bool isForConfigurationGroup(const ControlRequest& request) {
  return std::holds_alternative<RenewConfigurationRequest>(request) ||
         std::holds_alternative<ApplyChangeRequest>(request) || std::holds_alternative<RecordActionRequest>(request);
}

ErrorReply errorReply(ErrorKind kind, std::string message, std::string remedy, Executed executed) {
  return ErrorReply{Error{kind, std::move(message), std::move(remedy), executed, kRetrySoon}, ReplicaId()};
}

ErrorReply unknownOutcome() {
  return errorReply(ErrorKind::kOutcomeUnknown, "the leader was lost before the outcome was known",
                    "send the same request again: it is recognised and not applied twice", Executed::kUnknown);
}

ErrorReply readUnavailable() {
  return errorReply(ErrorKind::kUnavailable, "no quorum confirmed a fresh read in time",
                    "ask again or ask another replica", Executed::kNo);
}

}  // namespace

ControlService::ControlService(ControlServiceOptions options) : options_(std::move(options)) {}

Result<std::unique_ptr<ControlService>> ControlService::open(ControlServiceOptions options, Disk& disk, Instant now) {
  std::unique_ptr<ControlService> service(new ControlService(std::move(options)));
  for (GroupId group = kConfigurationGroup; group <= service->options_.batch_groups; ++group) {
    const Status opened = service->openGroup(group, disk, now);
    if (!isOk(opened)) return errorOf(opened);
  }
  return service;
}

Status ControlService::openGroup(GroupId number, Disk& disk, Instant now) {
  consensus::GroupOptions group_options;
  group_options.group = number;
  group_options.self = options_.self;
  group_options.initial_members = options_.initial_members;
  group_options.timing = options_.timing;
  group_options.random_seed = options_.random_seed + number;
  Group group;
  std::unique_ptr<consensus::StateMachine> machine;
  if (number == kConfigurationGroup) {
    auto configuration = std::make_unique<ConfigurationStateMachine>();
    configuration_ = configuration.get();
    machine = std::move(configuration);
  } else {
    auto batch = std::make_unique<batch::BatchStateMachine>(number);
    group.batch = batch.get();
    machine = std::move(batch);
  }
  auto opened = consensus::openReplicatedGroup(group_options, disk, std::move(machine), now);
  if (!isOk(opened)) return errorOf(opened);
  group.replica = std::move(valueOf(opened));
  groups_.emplace(number, std::move(group));
  return okStatus();
}

void ControlService::tick(Instant now) {
  registry_.expire(now, options_.configuration_lease);
  fleet_.take(now, announcement());
  fleet_.expire(now, kAnnouncementLifetime);
  for (auto& [number, group] : groups_) {
    group.replica->tick(now);
    maintainLeases(now, group);
    timeOutPending(now, group);
  }
}

void ControlService::receivePeer(Instant now, const consensus::PeerMessage& message) {
  const auto found = groups_.find(message.group);
  if (found == groups_.end()) return;
  found->second.replica->receive(now, message);
}

void ControlService::receiveAnnouncement(Instant now, const GatewayAnnouncement& announcement) {
  fleet_.take(now, announcement);
}

void ControlService::handle(Instant now, GroupId number, ControlRequest request, ReplyHandler reply) {
  const auto found = groups_.find(number);
  const bool fits = isForConfigurationGroup(request) == (number == kConfigurationGroup);
  if (found == groups_.end() || !fits) {
    reply(errorReply(ErrorKind::kInvalidArgument, "the request names a group that does not serve it",
                     "check the number of batch groups in the settings of both sides", Executed::kNo));
    return;
  }
  Group& group = found->second;
  if (group.pending.size() >= kMostPendingPerGroup) {
    reply(
        errorReply(ErrorKind::kOverloaded, "too many requests wait for this group", "ask again later", Executed::kNo));
    return;
  }
  if (!isRead(request)) {
    propose(now, group, std::move(request), std::move(reply));
    return;
  }
  Pending pending;
  pending.request = std::move(request);
  pending.reply = std::move(reply);
  startRead(now, group, std::move(pending));
}

void ControlService::readFresh(Instant now, GroupId number, ReadHandler done) {
  const auto found = groups_.find(number);
  if (found == groups_.end()) {
    done(errorReply(ErrorKind::kInvalidArgument, "no such group", "name a group of this cluster", Executed::kNo).error);
    return;
  }
  Pending pending;
  pending.read = std::move(done);
  startRead(now, found->second, std::move(pending));
}

void ControlService::startRead(Instant now, Group& group, Pending pending) {
  const consensus::RequestNumber number = ++last_request_;
  pending.is_read = true;
  pending.deadline = now + options_.request_timeout;
  group.pending.emplace(number, std::move(pending));
  group.replica->read(now, number);
}

std::optional<Error> ControlService::checkChange(const ApplyChangeRequest& request) const {
  if (!options_.check_policy) return std::nullopt;
  for (const ConfigurationEdit& edit : request.change.edits) {
    const PutPolicy* put = std::get_if<PutPolicy>(&edit);
    if (put == nullptr) continue;
    const Status checked = options_.check_policy(put->policy);
    if (!isOk(checked)) return errorOf(checked);
  }
  return std::nullopt;
}

void ControlService::propose(Instant now, Group& group, ControlRequest request, ReplyHandler reply) {
  if (const ApplyChangeRequest* change = std::get_if<ApplyChangeRequest>(&request)) {
    const std::optional<Error> refused = checkChange(*change);
    if (refused) {
      reply(ErrorReply{*refused, ReplicaId()});
      return;
    }
  }
  if (const CompleteItemsRequest* complete = std::get_if<CompleteItemsRequest>(&request)) {
    if (group.leases && !complete->returned.empty()) {
      group.leases->giveBack(complete->gateway, complete->session, complete->job, complete->returned, *group.batch);
    }
  }
  const consensus::RequestNumber number = ++last_request_;
  Pending pending;
  pending.reply = std::move(reply);
  pending.deadline = now + options_.request_timeout;
  std::string command = encodeTagged(request);
  pending.request = std::move(request);
  group.pending.emplace(number, std::move(pending));
  group.replica->propose(now, number, std::move(command));
}

void ControlService::changeMembership(Instant now, GroupId number, const consensus::Membership& target,
                                      ReplyHandler reply) {
  const auto found = groups_.find(number);
  if (found == groups_.end()) {
    reply(errorReply(ErrorKind::kInvalidArgument, "no such group", "name a group of this cluster", Executed::kNo));
    return;
  }
  Pending pending;
  pending.reply = std::move(reply);
  pending.deadline = now + options_.request_timeout;
  const consensus::RequestNumber request = ++last_request_;
  found->second.pending.emplace(request, std::move(pending));
  found->second.replica->changeMembership(now, request, target);
}

void ControlService::transferLeadership(Instant now) {
  for (auto& [number, group] : groups_) group.replica->transferLeadership(now);
}

std::string ControlService::stateDigest(GroupId group) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) return "";
  const batch::BatchStateMachine* batch = found->second.batch;
  return sha256Hex(batch != nullptr ? batch->snapshot() : configuration_->snapshot());
}

bool ControlService::leadsAny(Instant now) const {
  return std::any_of(groups_.begin(), groups_.end(),
                     [&](const auto& entry) { return entry.second.replica->isConfirmedLeader(now); });
}

bool ControlService::leads(Instant now, GroupId group) const {
  const auto found = groups_.find(group);
  return found != groups_.end() && found->second.replica->isConfirmedLeader(now);
}

std::vector<consensus::PeerMessage> ControlService::drain(Instant now) {
  std::vector<consensus::PeerMessage> messages;
  for (auto& [number, group] : groups_) {
    // A reply handler may send the next request, whose outcome may be ready at once.
    for (std::vector<consensus::RequestOutcome> outcomes = group.replica->takeOutcomes(); !outcomes.empty();
         outcomes = group.replica->takeOutcomes()) {
      for (const consensus::RequestOutcome& outcome : outcomes) finish(now, group, outcome);
    }
    std::vector<consensus::PeerMessage> of_group = group.replica->takeMessages();
    std::move(of_group.begin(), of_group.end(), std::back_inserter(messages));
  }
  return messages;
}

void ControlService::finish(Instant now, Group& group, const consensus::RequestOutcome& outcome) {
  const auto found = group.pending.find(outcome.request);
  if (found == group.pending.end()) return;
  Pending pending = std::move(found->second);
  group.pending.erase(found);
  if (pending.read) {
    const bool ready = std::holds_alternative<consensus::ReadReady>(outcome.result);
    pending.read(ready ? okStatus() : Status(readUnavailable().error));
    return;
  }
  if (const auto* applied = std::get_if<consensus::Applied>(&outcome.result)) {
    if (applied->reply.empty()) {
      pending.reply(ApplyChangeReply{});
      return;
    }
    Result<ControlReply> reply = decodeTagged<ControlReply>(applied->reply);
    pending.reply(isOk(reply) ? std::move(valueOf(reply)) : ControlReply(ErrorReply{errorOf(reply), ReplicaId()}));
    return;
  }
  if (std::holds_alternative<consensus::ReadReady>(outcome.result)) {
    pending.reply(answerRead(now, group, *pending.request));
    return;
  }
  if (const auto* rejected = std::get_if<consensus::MembershipRejected>(&outcome.result)) {
    pending.reply(ErrorReply{rejected->error, ReplicaId()});
    return;
  }
  const bool unknown = std::holds_alternative<consensus::OutcomeUnknown>(outcome.result);
  pending.reply(unknown ? unknownOutcome() : notLeader(group));
}

ControlReply ControlService::answerRead(Instant now, Group& group, const ControlRequest& request) {
  if (const auto* renew = std::get_if<RenewConfigurationRequest>(&request)) return renewConfiguration(now, *renew);
  if (const auto* get_job = std::get_if<GetJobRequest>(&request)) return group.batch->getJob(*get_job);
  if (const auto* find_job = std::get_if<FindJobRequest>(&request)) return group.batch->findNamedJob(*find_job);
  if (const auto* get_results = std::get_if<GetResultsRequest>(&request)) return group.batch->getResults(*get_results);
  const auto* lease = std::get_if<LeaseItemsRequest>(&request);
  if (lease == nullptr) return errorReply(ErrorKind::kInternal, "not a read", "report this", Executed::kNo);
  maintainLeases(now, group);
  if (!group.leases || !group.replica->isConfirmedLeader(now)) return notLeader(group);
  return group.leases->lease(now, *lease, *group.batch);
}

ControlReply ControlService::renewConfiguration(Instant now, const RenewConfigurationRequest& request) {
  registry_.record(now, request);
  fleet_.take(now, announcement());
  RenewConfigurationReply reply;
  reply.delta = configurationFor(request);
  reply.lease_ms = static_cast<std::uint32_t>(toMillis(options_.configuration_lease));
  reply.busy_groups = busyGroups();
  reply.fleet_version = fleet_.version();
  if (reply.fleet_version != request.fleet_version) {
    reply.gateways = fleet_.gateways();
    reply.leaving = fleet_.leaving();
  }
  return reply;
}

std::vector<GroupId> ControlService::busyGroups() const {
  std::vector<GroupId> busy;
  for (const auto& [number, group] : groups_) {
    if (group.batch != nullptr && group.batch->hasRunningJobs()) busy.push_back(number);
  }
  return busy;
}

ConfigurationDelta ControlService::configurationFor(const RenewConfigurationRequest& request) {
  const Revision current = configuration_->configuration().revision;
  const bool wants_edits = request.held > 0 || current == 0;
  if (wants_edits && configuration_->covers(request.held)) return configuration_->deltaSince(request.held);
  const bool usable =
      pages_ && current - pages_->revision() <= kMostRevisionsBehind && configuration_->covers(pages_->revision());
  if (!usable) pages_.emplace(configuration_->configuration());
  ConfigurationDelta delta;
  delta.current_revision = current;
  delta.page = pages_->page(wants_edits ? 0 : request.next_shard);
  return delta;
}

ErrorReply ControlService::notLeader(const Group& group) const {
  ErrorReply reply = errorReply(ErrorKind::kNotLeader, "this replica does not lead the group",
                                "ask the named leader, or another replica where none is named", Executed::kNo);
  reply.leader = group.replica->status().leader.value_or(ReplicaId());
  return reply;
}

void ControlService::timeOutPending(Instant now, Group& group) {
  std::vector<Pending> late;
  std::erase_if(group.pending, [&](auto& entry) {
    if (entry.second.deadline > now) return false;
    late.push_back(std::move(entry.second));
    return true;
  });
  for (Pending& pending : late) {
    if (pending.read) {
      pending.read(readUnavailable().error);
      continue;
    }
    pending.reply(pending.is_read ? readUnavailable() : unknownOutcome());
  }
}

void ControlService::maintainLeases(Instant now, Group& group) {
  if (group.batch == nullptr) return;
  const consensus::GroupStatus status = group.replica->status();
  if (status.role != consensus::Role::kLeader) {
    group.leases.reset();
    return;
  }
  if (!group.leases || group.leases_term != status.term) {
    batch::ItemLeasesOptions lease_options;
    lease_options.lease = options_.item_lease;
    lease_options.grace = status.term == 1 ? Duration::zero() : options_.item_lease;
    lease_options.term = status.term;
    lease_options.started = now;
    group.leases.emplace(lease_options);
    group.leases_term = status.term;
  }
  for (CompleteItemsRequest& lost : group.leases->expire(now, *group.batch)) {
    propose(now, group, std::move(lost), [](const ControlReply&) {});
  }
}

GatewayAnnouncement ControlService::announcement() const {
  return GatewayAnnouncement{options_.self, registry_.live()};
}

std::vector<batch::JobStatus> ControlService::runningJobs() const {
  std::vector<batch::JobStatus> jobs;
  for (const auto& [number, group] : groups_) {
    if (group.batch == nullptr) continue;
    for (const batch::Job* job : group.batch->runningJobsAfter(0)) jobs.push_back(job->status());
  }
  return jobs;
}

std::vector<consensus::GroupStatus> ControlService::status() const {
  std::vector<consensus::GroupStatus> statuses;
  for (const auto& [number, group] : groups_) statuses.push_back(group.replica->status());
  return statuses;
}

}  // namespace hatchfork::control
