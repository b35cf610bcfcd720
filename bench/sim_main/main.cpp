#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <optional>
#include <string>

#include "bench/measure/fleet_cost.hpp"
#include "bench/measure/state_cost.hpp"
#include "bench/sim/mutation.hpp"
#include "bench/sim/seed_range.hpp"
#include "common/log.hpp"
#include "experiment_command.hpp"
#include "scenario_command.hpp"

// The program `hatchfork-sim`: runs the real decision code on virtual time, network and disk. Each mode is one option
// of the command line and one command function.
namespace hatchfork::sim {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

cxxopts::Options describeOptions() {
  cxxopts::Options options("hatchfork-sim", "Plays seeded failures and experiments on virtual time.");
  // clang-format off
  options.add_options()
      ("scenario", "scenario to play, 'all', or 'list' to name them", cxxopts::value<std::string>())
      ("experiment", "name or path of the profile of an experiment", cxxopts::value<std::string>())
      ("seeds", "range of seeds, such as 1-200", cxxopts::value<std::string>()->default_value("1"))
      ("mutation", "mechanism to leave out, or 'list'; shows that a scenario notices",
       cxxopts::value<std::string>()->default_value("none"))
      ("jobs", "seeds played at the same time", cxxopts::value<unsigned>()->default_value("1"))
      ("measure", "what to measure in real time: batch-state, configuration-state or fleet-knowledge", cxxopts::value<std::string>())
      ("output", "file for the figures of an experiment", cxxopts::value<std::string>()->default_value(""))
      ("trace", "prints the whole trace of a run")
      ("help", "prints this text");
  // clang-format on
  return options;
}

int usageError(const std::string& message) {
  fmt::print(stderr, "hatchfork-sim: {}\n", message);
  return kExitUsage;
}

std::optional<Mutation> mutationOf(const std::string& name) {
  for (const MutationName& known : mutationNames()) {
    if (known.name == name) return known.mutation;
  }
  return std::nullopt;
}

int listMutations() {
  for (const MutationName& known : mutationNames()) fmt::print("{}\n", known.name);
  return kExitOk;
}

int scenarioMode(const cxxopts::ParseResult& arguments, const SeedRange& seeds) {
  ScenarioCommandOptions options;
  options.scenario = arguments["scenario"].as<std::string>();
  if (options.scenario == "list") {
    listScenarios();
    return kExitOk;
  }
  const std::string mutation_name = arguments["mutation"].as<std::string>();
  if (mutation_name == "list") return listMutations();
  const std::optional<Mutation> mutation = mutationOf(mutation_name);
  if (!mutation) return usageError("no mutation '" + mutation_name + "'; --mutation list names them");
  options.seeds = seeds;
  options.mutation = *mutation;
  options.trace = arguments.count("trace") > 0;
  options.jobs = arguments["jobs"].as<unsigned>();
  return runScenarios(options);
}

int measureMode(const std::string& name) {
  constexpr std::uint32_t kTenants = 30'000;
  constexpr std::size_t kLoadedEngines = 250;
  if (name == "batch-state") {
    fmt::print("{}\n", measure::measureBatchState(measure::BatchStateCostOptions()).dump(1));
    return kExitOk;
  }
  if (name == "configuration-state") {
    fmt::print("{}\n", measure::measureConfigurationState(kTenants).dump(1));
    return kExitOk;
  }
  if (name == "fleet-knowledge") {
    for (const std::size_t engines : {870U, 3'000U, 10'000U, 20'000U}) {
      fmt::print("{}\n", measure::measureFleetKnowledge(engines, kLoadedEngines).dump());
    }
    return kExitOk;
  }
  return usageError("nothing named '" + name +
                    "' to measure; give batch-state, configuration-state or fleet-knowledge");
}

int run(int argc, char** argv) {
  cxxopts::Options options = describeOptions();
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    fmt::print("{}\n", options.help());
    return kExitOk;
  }
  setLogLevel(LogLevel::kOff);
  const Result<SeedRange> seeds = parseSeedRange(arguments["seeds"].as<std::string>());
  if (!isOk(seeds)) return usageError(describe(errorOf(seeds)));
  if (arguments.count("scenario") > 0) return scenarioMode(arguments, valueOf(seeds));
  if (arguments.count("experiment") > 0) {
    return runExperimentCommand(
        {arguments["experiment"].as<std::string>(), valueOf(seeds), arguments["output"].as<std::string>()});
  }
  if (arguments.count("measure") > 0) return measureMode(arguments["measure"].as<std::string>());
  return usageError("name a --scenario, an --experiment or a --measure; --help describes the options");
}

}  // namespace
}  // namespace hatchfork::sim

int main(int argc, char** argv) {
  try {
    return hatchfork::sim::run(argc, argv);
  } catch (const cxxopts::exceptions::exception& exception) {
    fmt::print(stderr, "hatchfork-sim: {}\n", exception.what());
    return 2;
  }
}
