#include <fmt/format.h>

#include <cstdio>
#include <string>

#include "main/commands.hpp"
#include "process/ctl/ctl.hpp"

namespace {

constexpr const char* kUsage =
    "hatchfork: online and batch inference on one fleet\n"
    "usage: hatchfork COMMAND [OPTIONS]\n"
    "  control   run a control replica\n"
    "  gateway   run a gateway\n"
    "  store     run a store of batch jobs\n"
    "  explain   gather what logs say of one request\n"
    "  ctl       operate the fleet from the command line\n"
    "hatchfork COMMAND --help tells the options of a command.\n";

}  // namespace

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "control") return hatchfork::runControlCommand(argc - 1, argv + 1);
  if (command == "gateway") return hatchfork::runGatewayCommand(argc - 1, argv + 1);
  if (command == "store") return hatchfork::runStoreCommand(argc - 1, argv + 1);
  if (command == "explain") return hatchfork::runExplainCommand(argc - 1, argv + 1);
  if (command == "ctl") return hatchfork::ctl::runCtl(argc - 1, argv + 1);
  if (command == "--help" || command == "-h" || command == "help") {
    fmt::print("{}", kUsage);
    return hatchfork::kExitOk;
  }
  fmt::print(stderr, "{}", kUsage);
  return hatchfork::kExitUsage;
}
