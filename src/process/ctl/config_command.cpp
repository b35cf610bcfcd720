#include <fmt/format.h>
#include <fmt/ranges.h>

#include <filesystem>

#include "common/codec.hpp"
#include "process/ctl/change_file.hpp"
#include "process/ctl/change_submission.hpp"
#include "process/ctl/commands.hpp"
#include "process/ctl/text_table.hpp"
#include "version/configuration_diff.hpp"

namespace hatchfork::ctl {
namespace {

constexpr const char* kDefaultHistoryEntries = "20";

CommandResult runGet(const CommandContext& context) {
  ApiClient client(context.common);
  ApiCall call;
  call.target = "/v1/config";
  if (context.has("revision")) call.target += fmt::format("?revision={}", context.arguments["revision"].as<Revision>());
  const Result<nlohmann::json> answer = client.callJson(call);
  if (!isOk(answer)) return errorOf(answer);
  return CommandOutput{valueOf(answer).dump(2) + "\n", valueOf(answer)};
}

CommandResult runHistory(const CommandContext& context) {
  ApiClient client(context.common);
  ApiCall call;
  call.target = fmt::format("/v1/config/history?most={}", context.arguments["most"].as<std::uint32_t>());
  if (context.has("from")) call.target += fmt::format("&from={}", context.arguments["from"].as<Revision>());
  const Result<nlohmann::json> answer = client.callJson(call);
  if (!isOk(answer)) return errorOf(answer);
  TextTable table({"REVISION", "WHEN", "TENANT", "AUTHOR", "EDITS", "REASON", "CHANGE"});
  for (const nlohmann::json& entry : valueOf(answer).value("changes", nlohmann::json::array())) {
    const Result<ConfigurationChange> parsed = structFromJson<ConfigurationChange>(entry.at("change"));
    if (!isOk(parsed)) return errorOf(parsed);
    const ConfigurationChange& change = valueOf(parsed);
    std::string edits = change.edits.empty() ? "-" : describeEdit(change.edits.front());
    if (change.edits.size() > 1) edits += fmt::format(" and {} more", change.edits.size() - 1);
    table.add({std::to_string(entry.value("revision", Revision{0})), describeTime(change.proposed_at),
               change.tenant.value, change.author, edits, change.reason, change.change_id.value});
  }
  return CommandOutput{table.render(), valueOf(answer)};
}

std::string renderValue(const nlohmann::json& value) {
  const bool is_program = value.is_string() && value.get<std::string>().find('\n') != std::string::npos;
  if (!is_program) return value.dump();
  const std::string text = value.get<std::string>();
  return fmt::format("({} lines)", std::count(text.begin(), text.end(), '\n'));
}

std::string renderDifference(const ObjectDifference& difference) {
  const std::string title = difference.type + " " + difference.name + "\n";
  if (difference.before.is_null()) return "+ " + title;
  if (difference.after.is_null()) return "- " + title;
  std::string text = "~ " + title;
  for (const auto& [key, value] : difference.after.items()) {
    const nlohmann::json before = difference.before.value(key, nlohmann::json());
    if (before != value) text += fmt::format("    {}: {} -> {}\n", key, renderValue(before), renderValue(value));
  }
  return text;
}

CommandOutput diffOutput(Revision from, const nlohmann::json& to, const std::vector<ObjectDifference>& differences) {
  CommandOutput output;
  for (const ObjectDifference& difference : differences) output.text += renderDifference(difference);
  if (differences.empty()) output.text = "no difference\n";
  output.json = nlohmann::json{{"from", from}, {"to", to}, {"differences", differences}};
  return output;
}

CommandResult runDiffOfFile(const CommandContext& context, ApiClient& client) {
  const std::string path = context.text("file");
  const Result<std::string> text = readWholeFile(path);
  if (!isOk(text)) return UsageError{describe(errorOf(text))};
  const Result<ChangeFile> file =
      parseChangeFile(valueOf(text), std::filesystem::path(path).parent_path().string() + "/.");
  if (!isOk(file)) return UsageError{path + ": " + describe(errorOf(file))};
  const Result<Configuration> present = fetchConfiguration(client);
  if (!isOk(present)) return errorOf(present);
  const std::vector<ConfigurationEdit>& edits = valueOf(file).change.edits;
  const Status checked = checkEdits(valueOf(present), edits);
  if (!isOk(checked)) return errorOf(checked);
  Configuration changed = valueOf(present);
  applyEdits(changed, edits, changed.revision + 1);
  return diffOutput(valueOf(present).revision, path, compareConfigurations(valueOf(present), changed));
}

CommandResult runDiff(const CommandContext& context) {
  ApiClient client(context.common);
  if (context.has("file")) return runDiffOfFile(context, client);
  if (!context.has("from")) return UsageError{"give the revision to compare from, or --file"};
  ApiCall call;
  call.target = fmt::format("/v1/config/diff?from={}", context.text("from"));
  if (context.has("to")) call.target += fmt::format("&to={}", context.text("to"));
  const Result<nlohmann::json> answer = client.callJson(call);
  if (!isOk(answer)) return errorOf(answer);
  const auto differences = structFromJson<std::vector<ObjectDifference>>(valueOf(answer).at("differences"));
  if (!isOk(differences)) return errorOf(differences);
  return diffOutput(valueOf(answer).value("from", Revision{0}), valueOf(answer).at("to"), valueOf(differences));
}

CommandResult runApply(const CommandContext& context) {
  const std::string path = context.text("file");
  if (path.empty()) return UsageError{"give the change with --file"};
  const Result<std::string> text = readWholeFile(path);
  if (!isOk(text)) return UsageError{describe(errorOf(text))};
  Result<ChangeFile> file = parseChangeFile(valueOf(text), std::filesystem::path(path).parent_path().string() + "/.");
  if (!isOk(file)) return UsageError{path + ": " + describe(errorOf(file))};
  ConfigurationChange& change = valueOf(file).change;
  completeChange(context, change);
  ApiClient client(context.common);
  if (context.has("base")) {
    change.base_revision = context.arguments["base"].as<Revision>();
  } else if (!valueOf(file).has_base) {
    const Result<Configuration> present = fetchConfiguration(client);
    if (!isOk(present)) return errorOf(present);
    change.base_revision = valueOf(present).revision;
  }
  const Result<Revision> revision = submitChange(context, client, change);
  if (!isOk(revision)) return errorOf(revision);
  return acceptedOutput(change, valueOf(revision), context.has("wait"));
}

Command getCommand() {
  Command command;
  command.name = "config get";
  command.description = "prints the configuration";
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("revision", "an earlier revision; default: the present one", cxxopts::value<Revision>());
  };
  command.run = runGet;
  return command;
}

Command historyCommand() {
  Command command;
  command.name = "config history";
  command.description = "lists accepted changes: who, when, why";
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("from", "first revision; default: the newest changes", cxxopts::value<Revision>())(
        "most", "most changes", cxxopts::value<std::uint32_t>()->default_value(kDefaultHistoryEntries));
  };
  command.run = runHistory;
  return command;
}

Command diffCommand() {
  Command command;
  command.name = "config diff";
  command.description = "shows what differs between two revisions, or what a change file would change";
  command.positional = {"from", "to"};
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("file", "change file to compare with the present configuration",
                          cxxopts::value<std::string>());
  };
  command.run = runDiff;
  return command;
}

Command applyCommand() {
  Command command;
  command.name = "config apply";
  command.description = "submits a change file";
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("file", "change file (JSON)", cxxopts::value<std::string>())(
        "base", "revision that the change builds on; default: the file's, else the present one",
        cxxopts::value<Revision>());
    addChangeOptions(options);
  };
  command.run = runApply;
  return command;
}

}  // namespace

std::vector<Command> configCommands() {
  return {getCommand(), historyCommand(), diffCommand(), applyCommand()};
}

}  // namespace hatchfork::ctl
