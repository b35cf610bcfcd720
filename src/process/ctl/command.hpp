#pragma once

#include <cstdint>
#include <cxxopts.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/result.hpp"
#include "common/time.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::ctl {

enum class OutputFormat { kText, kJson };

/// Which servers a command talks to; decides the defaults of `--server`.
enum class ServerKind { kNone, kControl, kGateway };

/// What every subcommand takes.
struct CommonOptions {
  std::vector<connection::Endpoint> servers;
  std::string key;
  OutputFormat output = OutputFormat::kText;
  /// Time for the whole command, over all tries.
  Duration patience{};
};

/// A command line that makes no sense; ends with `kExitUsage`.
struct UsageError {
  std::string message;
};

/// What a command prints on standard output: one of the two forms, as `--output` asks.
struct CommandOutput {
  std::string text;
  nlohmann::json json;
  /// For commands that succeed in asking and report a failure, as `policy check`.
  bool failed = false;
};

using CommandResult = std::variant<CommandOutput, Error, UsageError>;

struct CommandContext {
  const cxxopts::ParseResult& arguments;
  const CommonOptions& common;

  bool has(const std::string& option) const { return arguments.count(option) > 0; }
  std::string text(const std::string& option) const;
};

/// One subcommand: its own options and positional words, and what it does.
struct Command {
  /// Words after "ctl", for example "config apply".
  std::string name;
  std::string description;
  ServerKind server_kind = ServerKind::kControl;
  /// Positional words in order, shown in `--help`; those in `required` must be there.
  std::vector<std::string> positional;
  std::size_t required = 0;
  /// Default of --timeout, seconds.
  std::uint32_t default_timeout_s = 30;
  std::function<void(cxxopts::Options&)> add_options;
  std::function<CommandResult(const CommandContext&)> run;
};

/// Parses the options of a command, answers `--help`, runs it and prints what it gives. Returns the exit code.
/// `argv[0]` is passed over.
int runCommand(const Command& command, int argc, char** argv);

/// The exit code of a failed command.
int exitCodeOf(const Error& error);

}  // namespace hatchfork::ctl
