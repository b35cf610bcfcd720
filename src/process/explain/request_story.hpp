#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Gathers what the logs of several processes say of one request, batch item or job.
namespace hatchfork::explain {

/// One line of a log, cut into its fields.
struct LogLine {
  double time = 0;
  std::string node;
  std::string event;
  struct Field {
    std::string key;
    std::string value;
  };
  std::vector<Field> fields;

  /// Empty if absent.
  std::string_view field(std::string_view key) const;
};

/// Reads a line of key=value pairs that begins with `ts=`, after anything that a collector put before it. False for
/// other lines.
bool parseLogLine(std::string_view text, LogLine& line);

struct RequestStory {
  /// Lines that name the identifier, in order of time.
  std::vector<LogLine> lines;
  /// What one would expect to find and didn't: an end, the fate of an attempt.
  std::vector<std::string> missing;
};

/// Collects line by line, so that logs of any size can be read.
class StoryCollector {
 public:
  explicit StoryCollector(std::string id) : id_(std::move(id)) {}
  void take(std::string_view text);
  RequestStory finish();

 private:
  bool concerns(const LogLine& line) const;

  std::string id_;
  std::vector<LogLine> lines_;
};

/// The story as text: one line each, with seconds since the first.
std::string describeStory(const RequestStory& story);

}  // namespace hatchfork::explain
