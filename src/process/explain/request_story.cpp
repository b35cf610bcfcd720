#include "process/explain/request_story.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace hatchfork::explain {
namespace {

/// Takes one value from the front of `text`: plain up to a space, or quoted with backslashes.
std::string takeValue(std::string_view& text) {
  std::string value;
  if (!text.starts_with('"')) {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = std::string(text.substr(0, end));
    text.remove_prefix(end);
    return value;
  }
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() == '\\' && text.size() > 1) text.remove_prefix(1);
    value += text.front();
    text.remove_prefix(1);
  }
  if (!text.empty()) text.remove_prefix(1);
  return value;
}

bool isEnd(const std::string& event) {
  return event == "request_ended" || event == "request_refused" || event == "job_submission";
}

bool isStart(const std::string& event) {
  return event == "attempt_sent" || event == "item_sent";
}

/// What is missing about attempts: each one is followed by its end, by the next one, or by the end of the request.
void checkAttempts(const std::vector<LogLine>& lines, std::vector<std::string>& missing) {
  std::string open;
  bool ended = false;
  bool has_attempt = false;
  for (const LogLine& line : lines) {
    if (isStart(line.event)) {
      if (!open.empty()) missing.push_back("how the attempt at engine " + open + " ended");
      open = std::string(line.field("engine"));
      has_attempt = true;
      continue;
    }
    const bool closes = line.event == "attempt_ended" || line.event == "item_run_ended" || isEnd(line.event);
    if (closes) open.clear();
    ended = ended || isEnd(line.event) || line.event == "item_run_ended";
  }
  if (!open.empty()) missing.push_back("how the attempt at engine " + open + " ended: its process died or was frozen");
  if (has_attempt && !ended) missing.push_back("the end of the request: its process died, or lines were dropped");
}

}  // namespace

std::string_view LogLine::field(std::string_view key) const {
  for (const Field& entry : fields) {
    if (entry.key == key) return entry.value;
  }
  return {};
}

bool parseLogLine(std::string_view text, LogLine& line) {
  const std::size_t start = text.find("ts=");
  if (start == std::string_view::npos) return false;
  text.remove_prefix(start);
  line = LogLine();
  while (!text.empty()) {
    while (text.starts_with(' ')) text.remove_prefix(1);
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) break;
    const std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    std::string value = takeValue(text);
    if (key == "ts") {
      std::from_chars(value.data(), value.data() + value.size(), line.time);
    } else if (key == "node") {
      line.node = std::move(value);
    } else if (key == "event") {
      line.event = std::move(value);
    } else if (key != "level") {
      line.fields.push_back({key, std::move(value)});
    }
  }
  return !line.event.empty();
}

bool StoryCollector::concerns(const LogLine& line) const {
  return line.field("request") == id_ || line.field("job") == id_;
}

void StoryCollector::take(std::string_view text) {
  if (text.find(id_) == std::string_view::npos) return;
  LogLine line;
  if (parseLogLine(text, line) && concerns(line)) lines_.push_back(std::move(line));
}

RequestStory StoryCollector::finish() {
  RequestStory story;
  story.lines = std::move(lines_);
  std::stable_sort(story.lines.begin(), story.lines.end(),
                   [](const LogLine& left, const LogLine& right) { return left.time < right.time; });
  if (story.lines.empty()) {
    story.missing.push_back("any line that names " + id_ + ": it reached no process whose log was given");
    return story;
  }
  // A job has the lines of many items; only a single request or item has one chain of attempts.
  const bool is_single = std::none_of(story.lines.begin(), story.lines.end(),
                                      [this](const LogLine& line) { return line.field("job") == id_; });
  if (is_single) checkAttempts(story.lines, story.missing);
  return story;
}

std::string describeStory(const RequestStory& story) {
  std::string text;
  const double first = story.lines.empty() ? 0 : story.lines.front().time;
  for (const LogLine& line : story.lines) {
    text += fmt::format("{:+9.3f} s  {:<28} {:<18}", line.time - first, line.node, line.event);
    for (const LogLine::Field& field : line.fields) text += fmt::format(" {}={}", field.key, field.value);
    text += '\n';
  }
  for (const std::string& missing : story.missing) text += "missing: " + missing + "\n";
  return text;
}

}  // namespace hatchfork::explain
