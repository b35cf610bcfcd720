#include "process/ctl/fleet_status.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <set>

#include "common/codec.hpp"
#include "process/ctl/job_progress.hpp"
#include "process/ctl/text_table.hpp"

namespace hatchfork::ctl {
namespace {

constexpr std::size_t kMostJobsShown = 20;

using Json = nlohmann::json;

Json replicaRow(const ServerAnswer& answer) {
  Json row{{"address", connection::toString(answer.server)}};
  if (!isOk(answer.answer)) {
    row["state"] = "silent";
    row["problem"] = describe(errorOf(answer.answer));
    if (errorOf(answer.answer).kind != ErrorKind::kUnavailable) row["state"] = "refuses";
    return row;
  }
  const Json& status = valueOf(answer.answer);
  row["replica"] = status.value("replica", "");
  row["zone"] = status.value("zone", "");
  row["revision"] = status.value("revision", Revision{0});
  row["state"] = "ok";
  for (const Json& group : status.value("groups", Json::array())) {
    if (group.contains("fault")) {
      row["state"] = "faulty";
      row["problem"] = group.at("fault").value("message", "") + "; " + group.at("fault").value("remedy", "");
    } else if (!group.value("joined", true) && row["state"] == "ok") {
      row["state"] = "not joined";
      row["problem"] = "its disk is empty; hatchfork ctl replica replace takes it in";
    }
  }
  return row;
}

/// The leader's view of a group where a leader answered, else the view with the highest term.
Json groupRows(const std::vector<ServerAnswer>& answers) {
  std::map<std::uint64_t, Json> best;
  for (const ServerAnswer& answer : answers) {
    if (!isOk(answer.answer)) continue;
    for (Json group : valueOf(answer.answer).value("groups", Json::array())) {
      if (!group.value("joined", false)) continue;
      const bool leads = group.value("role", "") == "leader";
      group["led"] = leads;
      Json& kept = best[group.value("group", std::uint64_t{0})];
      const std::uint64_t term = group.value("term", std::uint64_t{0});
      const bool newer = kept.is_null() || term > kept.value("term", std::uint64_t{0});
      const bool as_new = !newer && term == kept.value("term", std::uint64_t{0});
      if (newer || (as_new && leads)) kept = std::move(group);
    }
  }
  Json rows = Json::array();
  for (auto& [number, group] : best) rows.push_back(std::move(group));
  return rows;
}

/// Marks answering replicas that no group names as a member: removed ones, and new ones that were not added yet.
void markOutsiders(Json& fleet) {
  std::set<std::string> members;
  for (const Json& group : fleet.at("groups")) {
    const Json membership = group.value("membership", Json::object());
    for (const Json& member : membership.value("members", Json::array())) members.insert(member.value("id", ""));
  }
  if (members.empty()) return;
  for (Json& row : fleet.at("replicas")) {
    if (row.value("state", "") != "ok" || members.contains(row.value("replica", ""))) continue;
    row["state"] = "not a member";
  }
}

/// The newest sighting of each gateway at any replica.
Json gatewayRows(const std::vector<ServerAnswer>& answers) {
  std::map<std::string, Json> newest;
  for (const ServerAnswer& answer : answers) {
    if (!isOk(answer.answer)) continue;
    for (const Json& sighting : valueOf(answer.answer).value("gateways", Json::array())) {
      Json& kept = newest[sighting.value("gateway", "")];
      if (kept.is_null() || sighting.value("silent_ms", 0) < kept.value("silent_ms", 0)) kept = sighting;
    }
  }
  Json rows = Json::array();
  for (auto& [name, sighting] : newest) rows.push_back(std::move(sighting));
  return rows;
}

Json engineRows(const std::vector<ServerAnswer>& answers, const Json& configuration) {
  std::vector<std::string> leaving;
  for (const ServerAnswer& answer : answers) {
    if (!isOk(answer.answer)) continue;
    for (const Json& engine : valueOf(answer.answer).value("leaving_engines", Json::array())) leaving.push_back(engine);
  }
  Json rows = Json::array();
  if (!configuration.is_object()) return rows;
  for (const Json& engine : configuration.value("engines", Json::array())) {
    const std::string id = engine.value("id", "");
    const bool is_leaving = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    const bool drains = engine.value("intent", "") == "drain";
    rows.push_back(Json{{"engine", id},
                        {"service", engine.value("service", "")},
                        {"zone", engine.value("zone", "")},
                        {"state", drains ? "drain" : (is_leaving ? "leaving" : "serve")}});
  }
  return rows;
}

std::string renderReplicas(const Json& fleet) {
  TextTable table({"REPLICA", "ZONE", "ADDRESS", "REVISION", "STATE"});
  for (const Json& row : fleet.at("replicas")) {
    std::string state = row.value("state", "");
    if (row.contains("problem")) state += ": " + row.value("problem", "");
    const std::string revision = row.contains("revision") ? std::to_string(row.value("revision", Revision{0})) : "-";
    table.add({row.value("replica", "?"), row.value("zone", "?"), row.value("address", ""), revision, state});
  }
  return table.render();
}

std::string renderGroups(const Json& fleet) {
  TextTable table({"GROUP", "LEADER", "TERM", "COMMITTED", "VOTERS", "LEARNERS"});
  for (const Json& group : fleet.at("groups")) {
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    const Json membership = group.value("membership", Json::object());
    for (const Json& member : membership.value("members", Json::array())) {
      (member.value("voter", true) ? voters : learners).push_back(member.value("id", ""));
    }
    const std::string leader = group.value("leader", "none");
    table.add({std::to_string(group.value("group", 0)), leader, std::to_string(group.value("term", 0)),
               std::to_string(group.value("committed", std::uint64_t{0})), fmt::format("{}", fmt::join(voters, " ")),
               fmt::format("{}", fmt::join(learners, " "))});
  }
  return table.render();
}

std::string renderGateways(const Json& fleet) {
  TextTable table({"GATEWAY", "ZONE", "REVISION IN FORCE", "LAST SEEN"});
  for (const Json& row : fleet.at("gateways")) {
    const Duration silent = fromMillis(row.value("silent_ms", std::int64_t{0}));
    table.add({row.value("gateway", ""), row.value("zone", ""), std::to_string(row.value("enforced", Revision{0})),
               describeDuration(silent) + " ago"});
  }
  return table.render();
}

std::string renderEngines(const Json& fleet) {
  std::map<std::string, std::map<std::string, int>> states;
  for (const Json& row : fleet.at("engines")) ++states[row.value("service", "")][row.value("state", "")];
  TextTable table({"SERVICE", "ENGINES", "SERVE", "DRAIN", "LEAVING"});
  for (auto& [service, counts] : states) {
    const int all = counts["serve"] + counts["drain"] + counts["leaving"];
    table.add({service, std::to_string(all), std::to_string(counts["serve"]), std::to_string(counts["drain"]),
               std::to_string(counts["leaving"])});
  }
  return table.render();
}

std::string renderJobs(const Json& fleet, WallMillis now) {
  const Json& jobs = fleet.at("jobs");
  if (jobs.empty()) return "no running jobs\n";
  TextTable table({"JOB", "TENANT", "MODEL", "STATE", "PROGRESS", "REMAINING"});
  std::size_t shown = 0;
  for (const Json& element : jobs) {
    if (shown++ == kMostJobsShown) break;
    const Result<batch::JobStatus> parsed = structFromJson<batch::JobStatus>(element);
    if (!isOk(parsed)) continue;
    const batch::JobStatus& job = valueOf(parsed);
    const JobProgress progress = progressOf(job.counts, job.created_at, now);
    table.add({job.job.value, job.spec.tenant.value, job.spec.service.value, element.value("state", ""),
               progressBar(progress.done, progress.total), describeRemaining(progress)});
  }
  std::string text = table.render();
  if (jobs.size() > kMostJobsShown) text += fmt::format("and {} more; --output json lists all\n", jobs.size() - shown);
  return text;
}

}  // namespace

nlohmann::json mergeStatus(const std::vector<ServerAnswer>& answers, const Json& configuration, const Json& jobs) {
  Json fleet{{"replicas", Json::array()}, {"revision", 0}};
  for (const ServerAnswer& answer : answers) {
    Json row = replicaRow(answer);
    if (row.value("revision", Revision{0}) > fleet.value("revision", Revision{0})) fleet["revision"] = row["revision"];
    fleet["replicas"].push_back(std::move(row));
  }
  fleet["groups"] = groupRows(answers);
  markOutsiders(fleet);
  fleet["gateways"] = gatewayRows(answers);
  fleet["engines"] = engineRows(answers, configuration);
  fleet["jobs"] = jobs.is_object() ? jobs.value("jobs", Json::array()) : Json::array();
  return fleet;
}

std::string renderStatus(const Json& fleet, WallMillis now) {
  const Json& replicas = fleet.at("replicas");
  const auto answering = std::count_if(replicas.begin(), replicas.end(),
                                       [](const Json& row) { return row.value("state", "") != "silent"; });
  std::string text =
      fmt::format("configuration revision {}; {} of {} control replicas answer; {} gateways\n\n",
                  fleet.value("revision", Revision{0}), answering, replicas.size(), fleet.at("gateways").size());
  text += renderReplicas(fleet) + "\n" + renderGroups(fleet) + "\n" + renderGateways(fleet) + "\n";
  return text + renderEngines(fleet) + "\n" + renderJobs(fleet, now);
}

}  // namespace hatchfork::ctl
