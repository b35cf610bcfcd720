#include "main/commands.hpp"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <string>

#include "common/log.hpp"
#include "common/start_timeline.hpp"
#include "connection/stop_signal.hpp"
#include "platform/platform_dialect.hpp"
#include "process/exchange/gateway_program.hpp"
#include "process/fleet/control_program.hpp"
#include "process/fleet/fleet_settings.hpp"
#include "process/gateway/gateway_node.hpp"
#include "process/gateway/gateway_settings.hpp"
#include "process/node/control_node.hpp"
#include "process/node/control_settings.hpp"
#include "process/store/store_program.hpp"

namespace hatchfork {
namespace {

Result<std::unique_ptr<const Dialect>> makeDialect(const std::string& name) {
  if (name == "platform") return platform::makePlatformDialect();
  return Error{ErrorKind::kInvalidArgument, "unknown dialect " + name, "set dialect = \"platform\"", Executed::kNo, {}};
}

/// Parses the options that the serving commands share, then runs `serve` on the settings file.
int runServer(int argc, char** argv, const std::string& command, const std::string& description,
              const std::function<Status(const std::string& file)>& serve) {
  cxxopts::Options options("hatchfork " + command, description);
  options.add_options()("settings", "TOML settings file", cxxopts::value<std::string>())(
      "log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("info"))(
      "help", "show this help");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      fmt::print("{}\n", options.help());
      return kExitOk;
    }
    if (parsed.count("settings") == 0 || !parsed.unmatched().empty()) {
      fmt::print(stderr, "{}\n", options.help());
      return kExitUsage;
    }
    if (parsed["log-level"].as<std::string>() == "debug") setLogLevel(LogLevel::kDebug);
    if (parsed["log-level"].as<std::string>() == "warning") setLogLevel(LogLevel::kWarning);
    if (parsed["log-level"].as<std::string>() == "error") setLogLevel(LogLevel::kError);
    // A caller that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    connection::holdStopSignals();
    const Status served = serve(parsed["settings"].as<std::string>());
    stopLogWriter();
    if (isOk(served)) return kExitOk;
    fmt::print(stderr, "hatchfork {}: {}\n", command, describe(errorOf(served)));
    const ErrorKind kind = errorOf(served).kind;
    return kind == ErrorKind::kInvalidArgument || kind == ErrorKind::kUnavailable ? kExitUsage : kExitFailed;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "hatchfork {}: {}; see --help\n", command, error.what());
    return kExitUsage;
  }
}

}  // namespace

namespace {

/// Reads the settings of a fleet that forms itself, and runs the program of one role.
template <class Program>
Status runFleetProgram(const std::string& file, fleet::ProcessRole role) {
  Result<fleet::FleetSettings> settings = fleet::readFleetSettings(file, role);
  if (!isOk(settings)) return errorOf(settings);
  Result<std::unique_ptr<const Dialect>> dialect = makeDialect(valueOf(settings).dialect);
  if (!isOk(dialect)) return errorOf(dialect);
  setLogNode(valueOf(settings).name);
  noteStartStep("settings_read");
  return Program(std::move(valueOf(settings)), file, std::move(valueOf(dialect))).run();
}

}  // namespace

int runStoreCommand(int argc, char** argv) {
  return runServer(
      argc, argv, "store", "Runs a store of batch jobs in a fleet that forms itself.",
      [](const std::string& file) { return runFleetProgram<store::StoreProgram>(file, fleet::ProcessRole::kStore); });
}

int runControlCommand(int argc, char** argv) {
  return runServer(argc, argv, "control", "Runs a control replica.", [](const std::string& file) -> Status {
    if (fleet::isFleetSettings(file)) {
      return runFleetProgram<fleet::ControlProgram>(file, fleet::ProcessRole::kControl);
    }
    Result<node::ControlSettings> settings = node::readControlSettings(file);
    if (!isOk(settings)) return errorOf(settings);
    setLogNode(valueOf(settings).name.value);
    return node::ControlNode(std::move(valueOf(settings))).run();
  });
}

int runGatewayCommand(int argc, char** argv) {
  return runServer(argc, argv, "gateway", "Runs a gateway.", [](const std::string& file) -> Status {
    if (fleet::isFleetSettings(file)) {
      return runFleetProgram<exchange::GatewayProgram>(file, fleet::ProcessRole::kGateway);
    }
    Result<gateway::GatewaySettings> settings = gateway::readGatewaySettings(file);
    if (!isOk(settings)) return errorOf(settings);
    setLogNode(valueOf(settings).name.value);
    return gateway::GatewayNode(std::move(valueOf(settings))).run();
  });
}

}  // namespace hatchfork
