#include <fmt/format.h>
#include <fmt/ranges.h>

#include "common/ids.hpp"
#include "process/ctl/api_client.hpp"
#include "process/ctl/commands.hpp"
#include "process/ctl/text_table.hpp"

namespace hatchfork::ctl {
namespace {

constexpr std::size_t kMostNamesShown = 3;

std::string describeWhat(std::vector<std::string> what) {
  if (what.size() <= kMostNamesShown) return fmt::format("{}", fmt::join(what, ", "));
  const std::size_t hidden = what.size() - kMostNamesShown;
  what.resize(kMostNamesShown);
  return fmt::format("{} and {} more", fmt::join(what, ", "), hidden);
}

CommandResult runAudit(const CommandContext& context) {
  ApiClient client(context.common);
  ApiCall call;
  call.target = fmt::format("/v1/audit?most={}", context.arguments["most"].as<std::uint32_t>());
  const Result<nlohmann::json> answer = client.callJson(call);
  if (!isOk(answer)) return errorOf(answer);
  TextTable table({"WHEN", "TENANT", "AUTHOR", "REVISION", "REASON", "WHAT"});
  for (const nlohmann::json& entry : valueOf(answer).value("entries", nlohmann::json::array())) {
    const std::string revision =
        entry.contains("revision") ? std::to_string(entry.value("revision", Revision{0})) : "-";
    const std::string what = describeWhat(entry.value("what", std::vector<std::string>()));
    table.add({describeTime(entry.value("at", WallMillis{0})), entry.value("tenant", ""), entry.value("author", ""),
               revision, entry.value("reason", ""), what});
  }
  return CommandOutput{table.render(), valueOf(answer)};
}

}  // namespace

std::vector<Command> auditCommands() {
  Command audit;
  audit.name = "audit";
  audit.description = "lists changes and administrative acts: who, when, why, what";
  audit.add_options = [](cxxopts::Options& options) {
    options.add_options()("most", "most entries, the newest", cxxopts::value<std::uint32_t>()->default_value("100"));
  };
  audit.run = runAudit;
  return {audit};
}

}  // namespace hatchfork::ctl
