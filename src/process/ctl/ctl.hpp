#pragma once

namespace hatchfork::ctl {

/// Exit codes of `hatchfork ctl`, the same for every subcommand.
constexpr int kExitOk = 0;
/// The command failed or a server refused it; nothing was changed.
constexpr int kExitFailed = 1;
/// The command line or a file named by it is wrong; no server was asked.
constexpr int kExitUsage = 2;
/// A change was sent and its outcome is not known. The same command with the same identifier is safe to send again.
constexpr int kExitUnknown = 3;

/// Runs `hatchfork ctl`; `argv[0]` is the word "ctl". Returns the exit code.
int runCtl(int argc, char** argv);

}  // namespace hatchfork::ctl
