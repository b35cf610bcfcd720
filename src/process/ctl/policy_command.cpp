#include <fmt/format.h>

#include <filesystem>

#include "common/codec.hpp"
#include "process/ctl/change_file.hpp"
#include "process/ctl/commands.hpp"
#include "process/ctl/text_table.hpp"
#include "version/policy/policy_check.hpp"
#include "version/policy/policy_program.hpp"

namespace hatchfork::ctl {
namespace {

/// One sample request as the command line gives it; an unknown key is an error.
std::variant<PolicyInput, UsageError> readSample(const std::string& text) {
  const Result<nlohmann::json> json = parseJsonText(text);
  if (!isOk(json) || !valueOf(json).is_object()) return UsageError{"the sample " + text + " is no JSON object"};
  const nlohmann::json known = PolicyInput{};
  for (const auto& [key, value] : valueOf(json).items()) {
    if (!known.contains(key)) return UsageError{"the sample has the unknown key " + key};
  }
  const Result<PolicyInput> sample = structFromJson<PolicyInput>(valueOf(json));
  if (!isOk(sample)) return UsageError{"the sample " + text + ": " + errorOf(sample).message};
  return valueOf(sample);
}

std::string describeLimits(const PolicyLimits& limits) {
  std::string text;
  if (limits.max_tokens > 0) text += fmt::format("max_tokens {} ", limits.max_tokens);
  if (limits.concurrency > 0) text += fmt::format("concurrency {}", limits.concurrency);
  return text;
}

/// Adds the row of one sample; false when the program failed on it.
bool tryProgram(PolicyProgram& program, const PolicyInput& sample, TextTable& table, nlohmann::json& rows) {
  const Result<PolicyDecision> decision = program.evaluate(sample);
  nlohmann::json row = nlohmann::json::object();
  row["request"] = sample;
  const nlohmann::json& request = row["request"];
  std::vector<std::string> cells = {sample.tenant.value, sample.model.value, request.value("kind", ""),
                                    request.value("urgency", ""), fmt::format("{}", sample.pressure)};
  if (isOk(decision)) {
    const PolicyDecision& value = valueOf(decision);
    row["decision"] = value;
    cells.push_back(value.allow ? "allow" : "deny " + value.reason);
    cells.push_back(row["decision"].value("urgency", ""));
    cells.push_back(value.may_shed ? "yes" : "no");
    cells.push_back(describeLimits(value.limits));
  } else {
    row["error"] = errorOf(decision);
    cells.push_back(errorOf(decision).message);
  }
  table.add(std::move(cells));
  rows.push_back(std::move(row));
  return isOk(decision);
}

CommandResult runCheck(const CommandContext& context) {
  const std::string path = context.text("file");
  const Result<std::string> source = readWholeFile(path);
  if (!isOk(source)) return UsageError{describe(errorOf(source))};
  std::vector<PolicyInput> samples;
  if (context.has("sample")) {
    for (const cxxopts::KeyValue& argument : context.arguments.arguments()) {
      if (argument.key() != "sample") continue;
      const std::variant<PolicyInput, UsageError> sample = readSample(argument.value());
      if (const auto* wrong = std::get_if<UsageError>(&sample)) return *wrong;
      samples.push_back(std::get<PolicyInput>(sample));
    }
  } else {
    samples = policySamples();
  }
  Result<PolicyProgram> program = PolicyProgram::compile(std::filesystem::path(path).stem().string(), valueOf(source));
  if (!isOk(program)) return errorOf(program);
  TextTable table({"TENANT", "MODEL", "KIND", "URGENCY", "PRESSURE", "DECISION", "AS URGENT", "MAY SHED", "LIMITS"});
  CommandOutput output;
  output.json = nlohmann::json{{"results", nlohmann::json::array()}};
  for (const PolicyInput& sample : samples) {
    output.failed = !tryProgram(valueOf(program), sample, table, output.json["results"]) || output.failed;
  }
  output.json["passed"] = !output.failed;
  output.text = table.render() + (output.failed ? "the policy fails on some samples\n" : "the policy passes\n");
  return output;
}

}  // namespace

std::vector<Command> policyCommands() {
  Command check;
  check.name = "policy check";
  check.description = "tries a policy program on sample requests, without a server";
  check.server_kind = ServerKind::kNone;
  check.positional = {"file"};
  check.required = 1;
  check.add_options = [](cxxopts::Options& options) {
    options.add_options()("sample",
                          "a request as JSON, with tenant, model, kind (online, batch), urgency (low, normal, high), "
                          "pressure; repeat it for more; default: the samples that an apply tries",
                          cxxopts::value<std::string>());
  };
  check.run = runCheck;
  return {check};
}

}  // namespace hatchfork::ctl
