#pragma once

namespace hatchfork {

// Exit codes of every command.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// `hatchfork control --settings FILE`: runs until a planned stop.
int runControlCommand(int argc, char** argv);
/// `hatchfork gateway --settings FILE`: runs until a planned stop.
int runGatewayCommand(int argc, char** argv);
/// `hatchfork store --settings FILE`: runs until a planned stop.
int runStoreCommand(int argc, char** argv);
/// `hatchfork explain ID [FILE...]`: prints the story of one request; `kExitFailed` if no line names it.
int runExplainCommand(int argc, char** argv);

}  // namespace hatchfork
