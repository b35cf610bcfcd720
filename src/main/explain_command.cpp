#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "main/commands.hpp"
#include "process/explain/request_story.hpp"

namespace hatchfork {
namespace {

void collect(std::istream& input, explain::StoryCollector& collector) {
  for (std::string line; std::getline(input, line);) collector.take(line);
}

}  // namespace

int runExplainCommand(int argc, char** argv) {
  cxxopts::Options options("hatchfork explain", "Gathers what logs say of one request, batch item or job.");
  options.add_options()("id", "identifier of the request, item or job", cxxopts::value<std::string>())(
      "files", "log files; standard input where none is given", cxxopts::value<std::vector<std::string>>())(
      "help", "show this help");
  options.parse_positional({"id", "files"});
  options.positional_help("ID [FILE...]");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      fmt::print("{}\n", options.help());
      return kExitOk;
    }
    if (parsed.count("id") == 0) {
      fmt::print(stderr, "{}\n", options.help());
      return kExitUsage;
    }
    explain::StoryCollector collector(parsed["id"].as<std::string>());
    if (parsed.count("files") == 0) collect(std::cin, collector);
    const auto files =
        parsed.count("files") > 0 ? parsed["files"].as<std::vector<std::string>>() : std::vector<std::string>();
    for (const std::string& file : files) {
      std::ifstream input(file);
      if (!input) {
        fmt::print(stderr, "hatchfork explain: cannot read {}; give the paths of readable log files\n", file);
        return kExitUsage;
      }
      collect(input, collector);
    }
    const explain::RequestStory story = collector.finish();
    fmt::print("{}", explain::describeStory(story));
    return story.lines.empty() ? kExitFailed : kExitOk;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "hatchfork explain: {}; see --help\n", error.what());
    return kExitUsage;
  }
}

}  // namespace hatchfork
