#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/time.hpp"

namespace hatchfork::fleet {

/// Watches that no handler keeps the thread of control state for long, and that all handlers together leave it idle
/// time: heartbeats and votes wait meanwhile. Measures elapsed time, so a machine that was slowed or stood still shows
/// here too. Belongs to one thread.
class HandlerWatch {
 public:
  /// Measures from its construction to its end.
  class Timer {
   public:
    Timer(HandlerWatch& watch, std::string_view kind);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

   private:
    HandlerWatch& watch_;
    std::string_view kind_;
    Instant began_;
  };

  /// Records by how much a timer of the thread fired too late.
  void noteLateness(Duration late);
  /// Logs what the thread did since the last call if it was busy or late, and starts a new period.
  void logPeriod(Instant now);

  /// Handlers that took longer than the bound, and the longest one.
  std::uint64_t overruns() const { return overruns_; }
  Duration longest() const { return longest_; }

 private:
  /// Calls of one handler in the current period.
  struct Use {
    std::uint64_t calls = 0;
    Duration took{};
  };

  void note(std::string_view kind, Duration took);
  /// Returns the handlers that took the most time, as "kind:calls/milliseconds" separated by commas.
  std::string busiestHandlers() const;

  std::uint64_t overruns_ = 0;
  Duration longest_{};
  /// Uses by kind; kinds are string literals.
  std::map<std::string_view, Use> uses_;
  Duration latest_{};
  Instant period_began_{};
};

}  // namespace hatchfork::fleet
