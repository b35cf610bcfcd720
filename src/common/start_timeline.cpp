#include "common/start_timeline.hpp"

#include <functional>
#include <mutex>
#include <set>
#include <string>

#include "common/clock.hpp"
#include "common/log.hpp"

namespace hatchfork {
namespace {

std::mutex steps_mutex;
std::set<std::string, std::less<>> steps;

}  // namespace

void noteStartStep(std::string_view step) {
  static const Instant started_at = bootClockNow();
  {
    const std::lock_guard<std::mutex> lock(steps_mutex);
    if (steps.contains(step)) return;
    steps.emplace(step);
  }
  logEvent(LogLevel::kInfo, "start_step", {{"step", step}, {"after_ms", toMillis(bootClockNow() - started_at)}});
}

}  // namespace hatchfork
