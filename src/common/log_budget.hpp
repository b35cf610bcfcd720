#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"

namespace hatchfork {

/// Lines of one event that were held back since the last report.
struct DroppedLines {
  std::string event;
  std::uint64_t count = 0;
};

/// Bounds the log's volume: each event may write so many lines a second on average, with a burst. Lines above the level
/// of information have a budget of their own, so that a flood of ordinary lines never takes the place of a failure's.
/// No clock; not thread safe.
class LogBudget {
 public:
  struct Limits {
    double lines_per_second = 120;
    double burst = 400;
  };

  explicit LogBudget(Limits limits) : limits_(limits) {}

  /// True if a line of the event may be written now; else it is counted as dropped.
  bool allow(Instant now, std::string_view event, bool important);
  /// What was dropped since the last call, at most about once a second; empty in between.
  std::vector<DroppedLines> takeDropped(Instant now);

 private:
  struct Bucket {
    double tokens = 0;
    Instant filled_at{};
    std::uint64_t dropped = 0;
  };

  Limits limits_;
  std::map<std::string, Bucket, std::less<>> buckets_;
  std::uint64_t dropped_ = 0;
  Instant reported_at_{};
};

}  // namespace hatchfork
