#include "process/node/admin_json.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "version/configuration_diff.hpp"

namespace hatchfork::node {
namespace {

std::string_view roleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kLearner:
      return "learner";
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kLeader:
      return "leader";
  }
  return "unknown";
}

nlohmann::json groupToJson(const consensus::GroupStatus& status) {
  nlohmann::json json{{"group", status.group},
                      {"role", roleName(status.role)},
                      {"term", status.term},
                      {"committed", status.committed},
                      {"applied", status.applied},
                      {"first_log_index", status.first_log_index},
                      {"last_log_index", status.last_log_index},
                      {"incarnation", status.incarnation},
                      {"joined", status.joined},
                      {"membership", status.membership},
                      {"membership_committed", status.membership_committed},
                      {"caught_up_learners", status.caught_up_learners},
                      {"log_bytes", status.log_bytes},
                      {"snapshot_bytes", status.snapshot_bytes}};
  if (status.leader) json["leader"] = *status.leader;
  if (status.fault) json["fault"] = *status.fault;
  return json;
}

nlohmann::json changeToAuditEntry(const HistoryEntry& entry) {
  const ConfigurationChange& change = entry.change;
  std::vector<std::string> edits;
  for (const ConfigurationEdit& edit : change.edits) edits.push_back(describeEdit(edit));
  return nlohmann::json{{"id", change.change_id},    {"at", change.proposed_at}, {"tenant", change.tenant},
                        {"author", change.author},   {"reason", change.reason},  {"what", edits},
                        {"revision", entry.revision}};
}

nlohmann::json actionToAuditEntry(const AdminAction& action) {
  return nlohmann::json{{"id", action.id},         {"at", action.at},
                        {"tenant", action.tenant}, {"author", action.author},
                        {"reason", action.reason}, {"what", std::vector<std::string>{action.description}}};
}

}  // namespace

nlohmann::json statusToJson(const ControlSettings& settings, const control::ControlService& service, Instant now) {
  nlohmann::json groups = nlohmann::json::array();
  for (const consensus::GroupStatus& status : service.status()) groups.push_back(groupToJson(status));
  return nlohmann::json{{"replica", settings.name},
                        {"zone", settings.zone},
                        {"revision", service.configuration().configuration().revision},
                        {"groups", groups},
                        {"gateways", service.gateways(now)},
                        {"live_gateways", service.fleet().gateways()},
                        {"leaving_engines", service.fleet().leaving()}};
}

nlohmann::json auditToJson(const ConfigurationStateMachine& configuration, std::size_t most) {
  std::vector<nlohmann::json> entries;
  for (const HistoryEntry& entry : configuration.history(0, kHistoryEntries)) {
    entries.push_back(changeToAuditEntry(entry));
  }
  for (const AdminAction& action : configuration.actions()) entries.push_back(actionToAuditEntry(action));
  std::stable_sort(entries.begin(), entries.end(), [](const nlohmann::json& left, const nlohmann::json& right) {
    return left.at("at").get<WallMillis>() < right.at("at").get<WallMillis>();
  });
  const std::size_t left_out = entries.size() - std::min(entries.size(), most);
  entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(left_out));
  return nlohmann::json{{"entries", entries}, {"left_out", left_out}};
}

std::string controlMetrics(const control::ControlService& service) {
  std::string text;
  for (const consensus::GroupStatus& status : service.status()) {
    text += fmt::format("hatchfork_control_group_term{{group=\"{}\"}} {}\n", status.group, status.term);
    text += fmt::format("hatchfork_control_group_leader{{group=\"{}\"}} {}\n", status.group,
                        status.role == consensus::Role::kLeader ? 1 : 0);
    text += fmt::format("hatchfork_control_group_applied_index{{group=\"{}\"}} {}\n", status.group, status.applied);
    text += fmt::format("hatchfork_control_group_log_bytes{{group=\"{}\"}} {}\n", status.group, status.log_bytes);
  }
  const Revision revision = service.configuration().configuration().revision;
  text += fmt::format("hatchfork_control_configuration_revision {}\n", revision);
  text += fmt::format("hatchfork_control_live_gateways {}\n", service.fleet().gateways().size());
  return text;
}

}  // namespace hatchfork::node
