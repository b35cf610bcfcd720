#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cstdio>
#include <map>

#include "common/codec.hpp"
#include "process/ctl/change_submission.hpp"
#include "process/ctl/commands.hpp"
#include "process/ctl/fleet_status.hpp"
#include "process/ctl/replica_plan.hpp"
#include "version/admin_action.hpp"

namespace hatchfork::ctl {
namespace {

constexpr GroupId kFirstBatchGroup = 1;
constexpr Duration kStepInterval = fromMillis(300);
constexpr Duration kAskTimeout = fromMillis(1500);
constexpr Duration kMembershipTimeout = fromMillis(5000);

/// The groups with their leaders' views; groups without a known leader are left out.
std::map<GroupId, ReplicaGroupView> readViews(const std::vector<ServerAnswer>& answers, const ReplicaId& replica) {
  std::map<GroupId, ReplicaGroupView> views;
  const nlohmann::json fleet = mergeStatus(answers, nullptr, nullptr);
  for (const nlohmann::json& row : fleet.at("groups")) {
    const auto membership = structFromJson<consensus::Membership>(row.value("membership", nlohmann::json::object()));
    if (!row.value("led", false) || !isOk(membership)) continue;
    ReplicaGroupView view;
    view.group = row.value("group", GroupId{0});
    view.membership = valueOf(membership);
    view.membership_committed = row.value("membership_committed", false);
    view.caught_up_learners = row.value("caught_up_learners", std::vector<ReplicaId>());
    views.emplace(view.group, std::move(view));
  }
  for (const ServerAnswer& answer : answers) {
    if (!isOk(answer.answer) || valueOf(answer.answer).value("replica", "") != replica.value) continue;
    for (const nlohmann::json& own : valueOf(answer.answer).value("groups", nlohmann::json::array())) {
      const auto view = views.find(own.value("group", GroupId{0}));
      if (view != views.end()) view->second.own_incarnation = own.value("incarnation", consensus::Incarnation{0});
    }
  }
  return views;
}

/// All groups that any replica hosts: the goal must be reached in each.
std::size_t countGroups(const std::vector<ServerAnswer>& answers) {
  std::size_t count = 0;
  for (const ServerAnswer& answer : answers) {
    if (isOk(answer.answer)) count = std::max(count, valueOf(answer.answer).value("groups", nlohmann::json()).size());
  }
  return count;
}

/// Brings one replica to its goal in every group, step by step, until it is committed everywhere.
class ReplicaOperation {
 public:
  ReplicaOperation(const CommandContext& context, ReplicaGoal goal, std::string verb)
      : context_(context),
        api_(context.common),
        replica_(context.text("replica")),
        goal_(goal),
        verb_(std::move(verb)) {}

  CommandResult run() {
    const Status recorded = record();
    if (!isOk(recorded)) return errorOf(recorded);
    const Instant give_up = connection::monotonicNow() + context_.common.patience;
    while (!step()) {
      if (connection::monotonicNow() >= give_up) return givenUp();
      api_.sleep(kStepInterval);
    }
    CommandOutput output;
    output.text = fmt::format("{}: {} in all {} groups, committed\n", replica_.value, verb_, groups_);
    output.json = nlohmann::json{{"replica", replica_}, {"done", verb_}, {"groups", groups_}, {"committed", true}};
    return output;
  }

 private:
  /// Records who does what and why, before it is done.
  Status record() {
    action_.id = context_.has("change-id") ? ChangeId(context_.text("change-id")) : drawChangeId();
    action_.author = authorOf(context_);
    action_.reason = context_.text("reason");
    action_.description = "replica " + replica_.value + " " + verb_;
    ApiCall call;
    call.method = "POST";
    call.target = "/v1/audit/actions";
    call.body = nlohmann::json(action_).dump();
    call.mutates = true;
    const Result<nlohmann::json> answer = api_.callJson(call);
    if (!isOk(answer)) return errorOf(answer);
    return okStatus();
  }

  /// True once every group has reached the goal.
  bool step() {
    const std::vector<ServerAnswer> answers = api_.getFromEach("/v1/status", kAskTimeout);
    const std::map<GroupId, ReplicaGroupView> views = readViews(answers, replica_);
    groups_ = countGroups(answers);
    open_.clear();
    if (groups_ == 0) open_.push_back("no control replica answers");
    for (const GroupId group : groupsInOrder()) {
      // Group 0 is a step of its own, see groupsInOrder.
      const bool crosses_group_0 = group == (goal_ == ReplicaGoal::kAbsent ? kConfigurationGroup : kFirstBatchGroup);
      if (crosses_group_0 && !open_.empty()) break;
      const auto view = views.find(group);
      if (view == views.end()) {
        open_.push_back(fmt::format("group {} has no leader", group));
        continue;
      }
      stepGroup(view->second);
    }
    return open_.empty();
  }

  /// A leader of any group must be able to read group 0, for the rights of those who ask it. So a replica joins group 0
  /// before all others, and leaves it after all others.
  std::vector<GroupId> groupsInOrder() const {
    std::vector<GroupId> order;
    for (GroupId group = kConfigurationGroup; group < groups_; ++group) order.push_back(group);
    if (goal_ == ReplicaGoal::kAbsent && !order.empty()) std::rotate(order.begin(), order.begin() + 1, order.end());
    return order;
  }

  void stepGroup(const ReplicaGroupView& view) {
    const ReplicaStep next = nextReplicaStep(replica_, goal_, view);
    if (std::holds_alternative<GoalReached>(next)) return;
    if (const auto* wait = std::get_if<WaitFor>(&next)) {
      open_.push_back(fmt::format("group {} waits for {}", view.group, wait->what));
      return;
    }
    const auto& change = std::get<ChangeMembership>(next);
    ApiCall call;
    call.method = "POST";
    call.target = fmt::format("/v1/groups/{}/membership", view.group);
    nlohmann::json body = change.target;
    body["action"] = action_.id;
    call.body = body.dump();
    call.mutates = true;
    call.attempt_timeout = kMembershipTimeout;
    call.longest = kMembershipTimeout;
    const Result<nlohmann::json> answer = api_.callJson(call);
    if (isOk(answer)) {
      fmt::print(stderr, "group {}: {} {}\n", view.group, replica_.value, change.what);
      open_.push_back(fmt::format("group {} is not shown as done yet", view.group));
      return;
    }
    open_.push_back(fmt::format("group {}: {}", view.group, describe(errorOf(answer))));
  }

  /// Steps that were committed stay; running the command again goes on from there.
  Error givenUp() const {
    return Error{ErrorKind::kOutcomeUnknown,
                 fmt::format("not done in time: {}", fmt::join(open_, "; ")),
                 "mend what is named and run the command again: it goes on where it stopped",
                 Executed::kUnknown,
                 {}};
  }

  const CommandContext& context_;
  ApiClient api_;
  ReplicaId replica_;
  ReplicaGoal goal_;
  std::string verb_;
  AdminAction action_;
  std::size_t groups_ = 0;
  /// What keeps the operation from being done, group by group.
  std::vector<std::string> open_;
};

Command makeCommand(const std::string& word, const std::string& description) {
  Command command;
  command.name = "replica " + word;
  command.description = description;
  command.positional = {"replica"};
  command.required = 1;
  command.default_timeout_s = 300;
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("change-id", "identifier of the act in the audit", cxxopts::value<std::string>())(
        "author", "who does it; default: the user's name", cxxopts::value<std::string>())(
        "reason", "why it is done", cxxopts::value<std::string>());
  };
  return command;
}

Command addCommand() {
  Command command = makeCommand("add", "takes a started, empty replica into every group as a voter");
  const auto add_common = command.add_options;
  command.add_options = [add_common](cxxopts::Options& options) {
    add_common(options);
    options.add_options()("learner", "keep it as a learner: it holds all data and does not vote");
  };
  command.run = [](const CommandContext& context) {
    const ReplicaGoal goal = context.has("learner") ? ReplicaGoal::kLearner : ReplicaGoal::kVoter;
    return ReplicaOperation(context, goal, context.has("learner") ? "added as learner" : "added as voter").run();
  };
  return command;
}

}  // namespace

std::vector<Command> replicaCommands() {
  Command remove = makeCommand("remove", "takes a replica out of every group");
  remove.run = [](const CommandContext& context) {
    return ReplicaOperation(context, ReplicaGoal::kAbsent, "removed").run();
  };
  Command replace = makeCommand("replace", "repairs a replica that came back with an empty disk, in every group");
  replace.run = [](const CommandContext& context) {
    return ReplicaOperation(context, ReplicaGoal::kVoter, "replaced").run();
  };
  return {addCommand(), remove, replace};
}

}  // namespace hatchfork::ctl
