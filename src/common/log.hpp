#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hatchfork {

enum class LogLevel {
  kDebug,
  kInfo,
  kWarning,
  kError,
  /// Only for `setLogLevel`: nothing is written.
  kOff,
};

/// Sets the lowest level that is written; default kInfo. Call before threads start.
void setLogLevel(LogLevel level);
/// Sets the `node=` field that opens every line of this process, and starts the thread that writes the lines. Call
/// once, before other threads start.
void setLogNode(std::string node);

/// Writes what waits and ends the writing thread; later lines go to standard error. Call after other threads have
/// ended.
void stopLogWriter();

/// Lines that were dropped so far, by budgets or because the reader stalled. Thread safe.
std::uint64_t droppedLogLines();

/// One field of a log line. Values with spaces, quotes or '=' are quoted on output.
struct LogField {
  std::string_view key;
  std::string value;

  template <class T>
  LogField(std::string_view name, const T& field_value) : key(name), value(fmt::format("{}", field_value)) {}
};

/// Writes one line of key=value pairs for one event to standard output (in tools, which
/// name no node, to standard error). Never waits for a reader: beyond the event's
/// budget, or while the reader stalls, lines are dropped, and the event `log_lines_dropped` tells how many. Thread
/// safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace hatchfork
