#include "process/ctl/ctl.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>

#include "process/ctl/commands.hpp"

namespace hatchfork::ctl {
namespace {

constexpr const char* kExitCodes =
    "\nhatchfork ctl COMMAND --help tells the options of a command.\n"
    "Exit codes: 0 done, 1 failed or refused by the server (nothing was changed), 2 wrong usage, 3 the outcome of a\n"
    "change is not known: send it again with the same identifier, it is recognised and not carried out twice.\n";

std::vector<Command> allCommands() {
  std::vector<Command> commands;
  for (auto* list : {statusCommands, configCommands, engineCommands, jobCommands, replicaCommands, policyCommands,
                     auditCommands, keyCommands}) {
    for (Command& command : list()) commands.push_back(std::move(command));
  }
  return commands;
}

std::string usageOf(const std::vector<Command>& commands) {
  std::string text = "usage: hatchfork ctl COMMAND [OPTION...]\n";
  for (const Command& command : commands) text += fmt::format("  {:<16} {}\n", command.name, command.description);
  return text + kExitCodes;
}

/// Number of words of `argv` that name the command; zero where they do not.
int matchedWords(const Command& command, int argc, char** argv) {
  std::string words;
  for (int count = 1; count < argc && count <= 2; ++count) {
    words += (count == 1 ? "" : " ") + std::string(argv[count]);
    if (words == command.name) return count;
  }
  return 0;
}

}  // namespace

int runCtl(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<Command> commands = allCommands();
  for (const Command& command : commands) {
    const int words = matchedWords(command, argc, argv);
    if (words > 0) return runCommand(command, argc - words, argv + words);
  }
  const std::string first = argc > 1 ? argv[1] : "";
  const bool help = first == "--help" || first == "-h" || first == "help";
  if (!help && !first.empty()) {
    fmt::print(stderr, "hatchfork ctl: there is no command \"{}\"; see hatchfork ctl --help\n", first);
    return kExitUsage;
  }
  fmt::print(help ? stdout : stderr, "{}", usageOf(commands));
  return help ? kExitOk : kExitUsage;
}

}  // namespace hatchfork::ctl
