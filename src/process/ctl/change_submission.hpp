#pragma once

#include <string>

#include "process/ctl/api_client.hpp"
#include "process/ctl/command.hpp"
#include "version/configuration.hpp"

namespace hatchfork::ctl {

/// Options that every command takes which changes the configuration: --change-id, --author, --reason, --wait.
void addChangeOptions(cxxopts::Options& options);

/// Fills what the command line says about a change, and draws an identifier where none is given. The identifier is
/// printed on standard error before anything is sent, so that the operator can send the change again.
void completeChange(const CommandContext& context, ConfigurationChange& change);

/// A new identifier, "ctl-" and 32 random hexadecimal digits.
ChangeId drawChangeId();
/// --author, else the user's name in the environment.
std::string authorOf(const CommandContext& context);

/// Fetches the present configuration.
Result<Configuration> fetchConfiguration(ApiClient& client);

/// Sends the change until its outcome is known or the patience ends. With --wait it returns once the change is in
/// force everywhere. Gives the revision that the change made.
Result<Revision> submitChange(const CommandContext& context, ApiClient& client, const ConfigurationChange& change);

/// "accepted as revision N (change ID)".
CommandOutput acceptedOutput(const ConfigurationChange& change, Revision revision, bool waited);

}  // namespace hatchfork::ctl
