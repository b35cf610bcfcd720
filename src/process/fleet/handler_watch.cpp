#include "process/fleet/handler_watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "common/log.hpp"
#include "connection/asio.hpp"

namespace hatchfork::fleet {
namespace {

/// Longest time that a handler may take: under half of the heartbeat interval of the stores' group.
constexpr Duration kLongestHandler = fromMillis(30);
/// A period is logged if its handlers took this share of it, or if a timer was this late.
constexpr double kLoggedBusyShare = 0.5;
constexpr Duration kLoggedLateness = fromMillis(75);
constexpr std::size_t kLoggedHandlers = 5;

}  // namespace

HandlerWatch::Timer::Timer(HandlerWatch& watch, std::string_view kind)
    : watch_(watch), kind_(kind), began_(connection::monotonicNow()) {}

HandlerWatch::Timer::~Timer() {
  watch_.note(kind_, connection::monotonicNow() - began_);
}

void HandlerWatch::note(std::string_view kind, Duration took) {
  Use& use = uses_[kind];
  ++use.calls;
  use.took += took;
  longest_ = std::max(longest_, took);
  if (took <= kLongestHandler) return;
  ++overruns_;
  logEvent(LogLevel::kInfo, "handler_overrun",
           {{"handler", kind}, {"took_ms", toMillis(took)}, {"limit_ms", toMillis(kLongestHandler)}});
}

void HandlerWatch::noteLateness(Duration late) {
  latest_ = std::max(latest_, late);
}

void HandlerWatch::logPeriod(Instant now) {
  Duration busy{};
  for (const auto& [kind, use] : uses_) busy += use.took;
  const Duration period = now - period_began_;
  const bool is_busy = toSeconds(busy) >= kLoggedBusyShare * toSeconds(period);
  if (period_began_ != Instant{} && (is_busy || latest_ >= kLoggedLateness)) {
    logEvent(LogLevel::kInfo, "thread_busy",
             {{"period_ms", toMillis(period)},
              {"busy_ms", toMillis(busy)},
              {"late_ms", toMillis(latest_)},
              {"handlers", busiestHandlers()}});
  }
  uses_.clear();
  latest_ = Duration{};
  period_began_ = now;
}

std::string HandlerWatch::busiestHandlers() const {
  std::vector<std::pair<std::string_view, Use>> sorted(uses_.begin(), uses_.end());
  std::sort(sorted.begin(), sorted.end(),
            [](const auto& left, const auto& right) { return left.second.took > right.second.took; });
  if (sorted.size() > kLoggedHandlers) sorted.resize(kLoggedHandlers);
  std::string text;
  for (const auto& [kind, use] : sorted) {
    if (!text.empty()) text += ',';
    text += fmt::format("{}:{}/{}", kind, use.calls, toMillis(use.took));
  }
  return text;
}

}  // namespace hatchfork::fleet
