#include "process/fleet/handler_watch.hpp"

#include <algorithm>

#include "common/log.hpp"
#include "connection/asio.hpp"

namespace hatchfork::fleet {
namespace {

/// Longest time that a handler may take: under half of the heartbeat interval of the stores' group.
constexpr Duration kLongestHandler = fromMillis(30);

}  // namespace

HandlerWatch::Timer::Timer(HandlerWatch& watch, std::string_view kind)
    : watch_(watch), kind_(kind), began_(connection::monotonicNow()) {}

HandlerWatch::Timer::~Timer() {
  watch_.note(kind_, connection::monotonicNow() - began_);
}

void HandlerWatch::note(std::string_view kind, Duration took) {
  longest_ = std::max(longest_, took);
  if (took <= kLongestHandler) return;
  ++overruns_;
  logEvent(LogLevel::kInfo, "handler_overrun",
           {{"handler", kind}, {"took_ms", toMillis(took)}, {"limit_ms", toMillis(kLongestHandler)}});
}

}  // namespace hatchfork::fleet
