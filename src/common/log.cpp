#include "common/log.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>

#include "common/clock.hpp"
#include "common/log_budget.hpp"

namespace hatchfork {
namespace {

// Process-wide, written once by main before any thread starts.
LogLevel lowest_level = LogLevel::kInfo;
std::string node_name;

/// Lines that wait for the writing thread; the oldest give way when a reader stalls.
constexpr std::size_t kMostWaitingLines = 1024;

/// The writer of a server process: lines go to standard output by a thread of their own, so that no other thread ever
/// waits for a reader.
class LogWriter {
 public:
  LogWriter() {
    spdlog::init_thread_pool(kMostWaitingLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
    logger_ = std::make_shared<spdlog::async_logger>("hatchfork", std::move(sink), spdlog::thread_pool(),
                                                     spdlog::async_overflow_policy::overrun_oldest);
    logger_->set_pattern("%v");
    logger_->flush_on(spdlog::level::info);
  }

  void write(const std::string& line) { logger_->info(spdlog::string_view_t(line.data(), line.size())); }
  std::size_t overrun() const { return spdlog::thread_pool()->overrun_counter(); }

 private:
  std::shared_ptr<spdlog::async_logger> logger_;
};

/// Created by `setLogNode`; before that, lines are written at once. Ended only by `stopLogWriter`: at the end of the
/// process the library's own objects are gone before this one.
LogWriter* writer = nullptr;
std::mutex budget_mutex;
std::uint64_t dropped_lines = 0;
LogBudget budget{LogBudget::Limits{}};

std::string_view levelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
    case LogLevel::kOff:
      return "error";
  }
  return "error";
}

void appendValue(std::string& line, std::string_view value) {
  const bool plain = !value.empty() && value.find_first_of(" =\"\n\t\\") == std::string_view::npos;
  if (plain) {
    line += value;
    return;
  }
  line += '"';
  for (const char character : value) {
    if (character == '\n') {
      line += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') line += '\\';
    line += character;
  }
  line += '"';
}

}  // namespace

void setLogLevel(LogLevel level) {
  lowest_level = level;
}

void setLogNode(std::string node) {
  node_name = std::move(node);
  if (writer == nullptr) writer = new LogWriter();
}

void stopLogWriter() {
  if (writer == nullptr) return;
  delete writer;
  writer = nullptr;
  spdlog::shutdown();
}

namespace {

std::string formatLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::string line =
      fmt::format("ts={}.{:03} level={} node=", milliseconds / 1000, milliseconds % 1000, levelName(level));
  appendValue(line, node_name.empty() ? "-" : std::string_view(node_name));
  line += " event=";
  appendValue(line, event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    appendValue(line, field.value);
  }
  return line;
}

void writeLine(const std::string& line) {
  if (writer != nullptr) {
    writer->write(line);
    return;
  }
  // A tool: its standard output belongs to its results.
  std::fwrite((line + '\n').data(), 1, line.size() + 1, stderr);
}

}  // namespace

std::uint64_t droppedLogLines() {
  const std::lock_guard lock(budget_mutex);
  return dropped_lines + (writer != nullptr ? writer->overrun() : 0);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < lowest_level) return;
  std::vector<DroppedLines> dropped;
  bool allowed = false;
  {
    const std::lock_guard lock(budget_mutex);
    const Instant now = bootClockNow();
    allowed = budget.allow(now, event, level > LogLevel::kInfo);
    if (!allowed) ++dropped_lines;
    dropped = budget.takeDropped(now);
  }
  for (const DroppedLines& lines : dropped) {
    writeLine(formatLine(LogLevel::kWarning, "log_lines_dropped", {{"dropped", lines.event}, {"count", lines.count}}));
  }
  if (allowed) writeLine(formatLine(level, event, fields));
}

}  // namespace hatchfork
