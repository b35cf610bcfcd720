#include "process/ctl/api_client.hpp"
#include "process/ctl/commands.hpp"
#include "process/ctl/fleet_status.hpp"

namespace hatchfork::ctl {
namespace {

constexpr Duration kAskTimeout = fromMillis(1500);

/// The first good answer; null without one.
nlohmann::json firstGood(const std::vector<ServerAnswer>& answers) {
  for (const ServerAnswer& answer : answers) {
    if (isOk(answer.answer)) return valueOf(answer.answer);
  }
  return nullptr;
}

CommandResult runStatus(const CommandContext& context) {
  ApiClient client(context.common);
  const std::vector<ServerAnswer> answers = client.getFromEach("/v1/status", kAskTimeout);
  if (firstGood(answers).is_null()) return errorOf(answers.front().answer);
  const nlohmann::json configuration = firstGood(client.getFromEach("/v1/config", kAskTimeout));
  const nlohmann::json jobs = firstGood(client.getFromEach("/v1/jobs", kAskTimeout));
  CommandOutput output;
  output.json = mergeStatus(answers, configuration, jobs);
  output.text = renderStatus(output.json, connection::wallNow());
  return output;
}

}  // namespace

std::vector<Command> statusCommands() {
  Command status;
  status.name = "status";
  status.description = "shows the fleet at a glance: replicas, groups, gateways, engines, jobs";
  status.run = runStatus;
  return {status};
}

}  // namespace hatchfork::ctl
