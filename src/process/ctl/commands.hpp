#pragma once

#include <vector>

#include "process/ctl/command.hpp"

namespace hatchfork::ctl {

// The subcommands by subject; each list is made once at start.
std::vector<Command> statusCommands();
std::vector<Command> configCommands();
std::vector<Command> engineCommands();
std::vector<Command> jobCommands();
std::vector<Command> replicaCommands();
std::vector<Command> policyCommands();
std::vector<Command> auditCommands();
std::vector<Command> keyCommands();

}  // namespace hatchfork::ctl
