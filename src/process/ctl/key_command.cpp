#include <iostream>
#include <string>

#include "common/sha256.hpp"
#include "process/ctl/change_file.hpp"
#include "process/ctl/commands.hpp"

namespace hatchfork::ctl {
namespace {

/// The first word of a text: keys hold no spaces, files of keys end with a line break.
std::string firstWord(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(" \t\r\n");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_first_of(" \t\r\n", begin) - begin);
}

CommandResult runHash(const CommandContext& context) {
  std::string key;
  if (context.has("file")) {
    const Result<std::string> text = readWholeFile(context.text("file"));
    if (!isOk(text)) return UsageError{describe(errorOf(text))};
    key = firstWord(valueOf(text));
  } else {
    std::cin >> key;
  }
  if (key.empty()) return UsageError{"there is no key on standard input or in --file"};
  const std::string hash = sha256Hex(key);
  return CommandOutput{hash + "\n", nlohmann::json{{"key_hash", hash}}};
}

}  // namespace

std::vector<Command> keyCommands() {
  Command hash;
  hash.name = "key hash";
  hash.description = "reads an API key from standard input and prints the hash for a tenant's key_hashes";
  hash.server_kind = ServerKind::kNone;
  hash.add_options = [](cxxopts::Options& options) {
    options.add_options()("file", "file that holds the key", cxxopts::value<std::string>());
  };
  hash.run = runHash;
  return {hash};
}

}  // namespace hatchfork::ctl
