#include <fmt/format.h>

#include "process/ctl/change_submission.hpp"
#include "process/ctl/commands.hpp"
#include "process/ctl/text_table.hpp"

namespace hatchfork::ctl {
namespace {

/// Changes of other operators in between, after which the intent is set on the newer revision.
constexpr int kMostConflicts = 10;

CommandResult runList(const CommandContext& context) {
  ApiClient client(context.common);
  const Result<Configuration> configuration = fetchConfiguration(client);
  if (!isOk(configuration)) return errorOf(configuration);
  TextTable table({"ENGINE", "SERVICE", "ZONE", "ADDRESS", "SLOTS", "INTENT"});
  nlohmann::json engines = nlohmann::json::array();
  for (const auto& [id, engine] : valueOf(configuration).engines) {
    const std::string intent = engine.intent == EngineIntent::kDrain ? "drain" : "serve";
    table.add({id.value, engine.service.value, engine.zone.value, fmt::format("{}:{}", engine.host, engine.port),
               std::to_string(engine.slots), intent});
    engines.push_back(engine);
  }
  return CommandOutput{table.render(), nlohmann::json{{"engines", engines}}};
}

CommandResult setIntent(const CommandContext& context, EngineIntent intent) {
  ApiClient client(context.common);
  const EngineId id(context.text("engine"));
  for (int conflicts = 0;; ++conflicts) {
    const Result<Configuration> configuration = fetchConfiguration(client);
    if (!isOk(configuration)) return errorOf(configuration);
    const auto found = valueOf(configuration).engines.find(id);
    if (found == valueOf(configuration).engines.end()) {
      return Error{ErrorKind::kNotFound,
                   "no engine is named " + id.value,
                   "hatchfork ctl engine list shows the engines",
                   Executed::kNo,
                   {}};
    }
    Engine engine = found->second;
    engine.intent = intent;
    ConfigurationChange change;
    change.base_revision = valueOf(configuration).revision;
    change.edits.push_back(PutEngine{engine});
    completeChange(context, change);
    const Result<Revision> revision = submitChange(context, client, change);
    if (isOk(revision)) return acceptedOutput(change, valueOf(revision), context.has("wait"));
    // A change identifier of the operator's own stands for one attempt only.
    const bool may_repeat = !context.has("change-id") && conflicts < kMostConflicts;
    if (errorOf(revision).kind != ErrorKind::kConflict || !may_repeat) return errorOf(revision);
  }
}

Command intentCommand(const std::string& word, const std::string& description, EngineIntent intent) {
  Command command;
  command.name = "engine " + word;
  command.description = description;
  command.positional = {"engine"};
  command.required = 1;
  command.add_options = addChangeOptions;
  command.run = [intent](const CommandContext& context) { return setIntent(context, intent); };
  return command;
}

}  // namespace

std::vector<Command> engineCommands() {
  Command list;
  list.name = "engine list";
  list.description = "lists the configured engines";
  list.run = runList;
  return {list,
          intentCommand("drain", "takes an engine out of use: no new work, running work ends", EngineIntent::kDrain),
          intentCommand("serve", "takes an engine into use again", EngineIntent::kServe)};
}

}  // namespace hatchfork::ctl
