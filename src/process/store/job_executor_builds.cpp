#include <algorithm>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// Which engines may continue an item's text, and what becomes of a text that none can continue.
namespace hatchfork::store {
namespace {

/// An item waits at least this long for room at the engines of the build that wrote its text.
constexpr Duration kMinBuildWait = fromMillis(500);

}  // namespace

bool JobExecutor::isBoundToBuild(const ItemRun& run, const ServiceId& service) const {
  if (!run.has_text || !run.last_event) return false;
  // Text of an unknown build was written by an older release, or at an engine that reports no build.
  return run.build.empty() ? mixed_services_.contains(service) : selector_.hasOtherBuilds(service, run.build);
}

/// Waiting costs as much as beginning anew once it has taken as long as the text did.
void JobExecutor::noteFullBuild(Instant now, ItemRun& run) {
  if (run.build_full_since == Instant{}) run.build_full_since = now;
  const Duration text_time = run_times_.totalRunTime() - run_times_.remainingTime(run.events);
  if (now - run.build_full_since < std::max(text_time, kMinBuildWait)) return;
  discardText(run, "the engines of this build had no room for as long as the text took");
}

void JobExecutor::dropOrphanedText(ItemRun& run, const ServiceId& service) {
  if (!isBoundToBuild(run, service) || selector_.hasOpenEngine(service, run.build)) return;
  // Without any engine the item waits: engines of its build may come back.
  if (!selector_.hasOpenEngine(service)) return;
  discardText(run, "no engine of this build is left");
}

void JobExecutor::discardText(ItemRun& run, std::string_view cause) {
  ++counters_.texts_dropped;
  logEvent(LogLevel::kInfo, "item_text_dropped",
           {{"job", run.job.value},
            {"request", run.item},
            {"build", run.build.value},
            {"last_event", run.last_event.value_or(0)},
            {"cause", cause}});
  dropText(run);
}

void JobExecutor::dropText(ItemRun& run) {
  run.last_event.reset();
  run.after_close = false;
  run.text.clear();
  run.events = 0;
  run.has_text = false;
  run.build = EngineBuild();
}

}  // namespace hatchfork::store
