#pragma once

#include <cstdint>
#include <string_view>

#include "common/time.hpp"

namespace hatchfork::fleet {

/// Watches that no handler keeps the thread of control state for long: heartbeats and votes wait meanwhile. Measures
/// elapsed time, so a machine that was slowed or stood still shows here too. Belongs to one thread.
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

  /// Handlers that took longer than the bound, and the longest one.
  std::uint64_t overruns() const { return overruns_; }
  Duration longest() const { return longest_; }

 private:
  void note(std::string_view kind, Duration took);

  std::uint64_t overruns_ = 0;
  Duration longest_{};
};

}  // namespace hatchfork::fleet
