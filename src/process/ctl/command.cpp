#include "process/ctl/command.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "common/codec.hpp"
#include "process/ctl/ctl.hpp"

namespace hatchfork::ctl {
namespace {

constexpr std::size_t kHelpWidth = 110;
constexpr const char* kLocalControl = "127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203,127.0.0.1:7204,127.0.0.1:7205";
constexpr const char* kLocalGateways = "127.0.0.1:7301,127.0.0.1:7302";

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

void addCommonOptions(cxxopts::Options& options, const Command& command) {
  const ServerKind kind = command.server_kind;
  if (kind != ServerKind::kNone) {
    const std::string variable = kind == ServerKind::kControl ? "HATCHFORK_SERVERS" : "HATCHFORK_GATEWAYS";
    const std::string sort = kind == ServerKind::kControl ? "control replica (administration address)" : "gateway";
    options.add_options("Common")("server",
                                  "host:port of a " + sort + "; repeat it or join by commas; the next one is tried " +
                                      "when one is silent; default: " + variable + ", else the local fleet",
                                  cxxopts::value<std::vector<std::string>>())(
        "key", "API key (seen in the process list; prefer the other ways)", cxxopts::value<std::string>())(
        "key-file", "file that holds the API key; default: HATCHFORK_KEY, else the file named by HATCHFORK_KEY_FILE",
        cxxopts::value<std::string>())(
        "timeout", "seconds for the whole command, over all tries",
        cxxopts::value<std::uint32_t>()->default_value(std::to_string(command.default_timeout_s)));
  }
  options.add_options("Common")("output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
      "help", "show this help");
}

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    if (end > begin) parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

Result<std::string> readKeyFile(const std::string& file) {
  std::ifstream stream(file);
  std::string key;
  if (!stream || !(stream >> key)) {
    return Error{ErrorKind::kInvalidArgument,
                 "the key file " + file + " cannot be read or is empty",
                 "give the path of a file whose first word is the API key",
                 Executed::kNo,
                 {}};
  }
  return key;
}

Result<std::string> readKey(const cxxopts::ParseResult& parsed) {
  if (parsed.count("key") > 0) return parsed["key"].as<std::string>();
  if (parsed.count("key-file") > 0) return readKeyFile(parsed["key-file"].as<std::string>());
  std::string key = environment("HATCHFORK_KEY");
  const std::string file = environment("HATCHFORK_KEY_FILE");
  if (key.empty() && !file.empty()) return readKeyFile(file);
  return key;
}

std::vector<std::string> serverNames(const cxxopts::ParseResult& parsed, ServerKind kind) {
  if (parsed.count("server") > 0) return parsed["server"].as<std::vector<std::string>>();
  const bool control = kind == ServerKind::kControl;
  const std::string named = environment(control ? "HATCHFORK_SERVERS" : "HATCHFORK_GATEWAYS");
  return splitAtCommas(named.empty() ? (control ? kLocalControl : kLocalGateways) : named);
}

std::variant<CommonOptions, UsageError> readCommonOptions(const cxxopts::ParseResult& parsed, ServerKind kind) {
  CommonOptions common;
  const std::string output = parsed["output"].as<std::string>();
  if (output != "text" && output != "json") return UsageError{"--output is neither text nor json"};
  if (output == "json") common.output = OutputFormat::kJson;
  if (kind == ServerKind::kNone) return common;
  for (const std::string& name : serverNames(parsed, kind)) {
    const std::optional<connection::Endpoint> endpoint = connection::parseEndpoint(name);
    if (!endpoint) return UsageError{"\"" + name + "\" is no address; give an IP number and a port, as 127.0.0.1:7201"};
    common.servers.push_back(*endpoint);
  }
  Result<std::string> key = readKey(parsed);
  if (!isOk(key)) return UsageError{describe(errorOf(key))};
  common.key = std::move(valueOf(key));
  common.patience = std::chrono::seconds(parsed["timeout"].as<std::uint32_t>());
  return common;
}

std::string positionalHelp(const Command& command) {
  std::string text;
  for (std::size_t position = 0; position < command.positional.size(); ++position) {
    std::string word = command.positional[position];
    for (char& letter : word) letter = static_cast<char>(std::toupper(letter));
    text += position < command.required ? word + " " : "[" + word + "] ";
  }
  return text + "[OPTION...]";
}

int usage(const Command& command, const std::string& message) {
  fmt::print(stderr, "hatchfork ctl {}: {}; see --help\n", command.name, message);
  return kExitUsage;
}

int printError(const Command& command, OutputFormat format, const Error& error) {
  if (format == OutputFormat::kJson) {
    nlohmann::json json = nlohmann::json::object();
    json["error"] = error;
    fmt::print("{}\n", json.dump());
  }
  fmt::print(stderr, "hatchfork ctl {}: {}\n", command.name, describe(error));
  return exitCodeOf(error);
}

int printOutput(OutputFormat format, const CommandOutput& output) {
  const auto replace = nlohmann::json::error_handler_t::replace;
  if (format == OutputFormat::kText) {
    std::fwrite(output.text.data(), 1, output.text.size(), stdout);
  } else if (!output.json.is_null()) {
    fmt::print("{}\n", output.json.dump(-1, ' ', false, replace));
  }
  return output.failed ? kExitFailed : kExitOk;
}

int runParsed(const Command& command, cxxopts::Options& options, int argc, char** argv) {
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}\n", options.help({"", "Common"}));
    return kExitOk;
  }
  if (!parsed.unmatched().empty()) return usage(command, "\"" + parsed.unmatched().front() + "\" is one word too many");
  for (std::size_t position = 0; position < command.required; ++position) {
    if (parsed.count(command.positional[position]) == 0) {
      return usage(command, "the argument " + command.positional[position] + " is missing");
    }
  }
  std::variant<CommonOptions, UsageError> common = readCommonOptions(parsed, command.server_kind);
  if (const auto* wrong = std::get_if<UsageError>(&common)) return usage(command, wrong->message);
  const CommonOptions& values = std::get<CommonOptions>(common);
  const CommandResult result = command.run(CommandContext{parsed, values});
  if (const auto* wrong = std::get_if<UsageError>(&result)) return usage(command, wrong->message);
  if (const auto* error = std::get_if<Error>(&result)) return printError(command, values.output, *error);
  return printOutput(values.output, std::get<CommandOutput>(result));
}

}  // namespace

std::string CommandContext::text(const std::string& option) const {
  return arguments.count(option) == 0 ? "" : arguments[option].as<std::string>();
}

int exitCodeOf(const Error& error) {
  return error.executed == Executed::kUnknown ? kExitUnknown : kExitFailed;
}

int runCommand(const Command& command, int argc, char** argv) {
  cxxopts::Options options("hatchfork ctl " + command.name, command.description + "\n");
  options.custom_help(positionalHelp(command));
  options.positional_help("");
  options.set_width(kHelpWidth);
  for (const std::string& word : command.positional) {
    options.add_options("Positional")(word, "", cxxopts::value<std::string>());
  }
  if (command.add_options) command.add_options(options);
  addCommonOptions(options, command);
  options.parse_positional(command.positional);
  try {
    return runParsed(command, options, argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    return usage(command, error.what());
  }
}

}  // namespace hatchfork::ctl
