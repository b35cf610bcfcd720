#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// Handling of items during which engines crashed. If possible, such an item is sent to an engine at which no other
// suspect runs. It is parked while its content is refused because of its crashes, and, after two or more crashes, also
// while its content runs elsewhere or only engines with suspects have a free slot. From two crashes on, content runs
// under a trial lease only, in batch items and online requests alike.
namespace hatchfork::store {

using request::EngineChoice;

namespace {

/// Interval at which an item is checked again that waits for the end of another run of its content, or for an engine
/// without a suspect.
constexpr Duration kRecheckInterval = fromMillis(250);

}  // namespace

std::optional<EngineChoice> JobExecutor::chooseEngine(Instant now, const ItemPtr& run, const StoredJob& job,
                                                      request::EngineQuery& query) {
  run->is_suspect = false;
  if (crashes_.isQuiet()) return selector_.choose(now, query);
  if (run->content.empty()) {
    const OpaqueItem& item = job.submission.items[job.open_items.at(run->item)];
    run->content = fleet::contentOf(job.submission.tenant, job.submission.host, item);
  }
  const request::CrashVerdict verdict = crashes_.judge(run->content);
  run->is_suspect = crashes_.isKeptApart(run->content);
  if (verdict.isRefused(now) || crashes_.mustWait(now, run->content)) {
    // The item ends with its job or its retention, not here: nothing proves that it can never be completed.
    park(run, verdict.isRefused(now) ? verdict.refused_until : now + kRecheckInterval);
    return std::nullopt;
  }
  if (crashes_.needsTrial(now, run->content) && trials_.timeUntilFree(now, run->content, {}) > Duration::zero()) {
    park(run, now + kRecheckInterval);
    return std::nullopt;
  }
  const std::set<EngineId> excluded = query.excluded;
  for (const EngineId& engine : crashes_.enginesToAvoid(now, run->content)) query.excluded.insert(engine);
  std::optional<EngineChoice> choice = selector_.choose(now, query);
  if (choice || query.excluded == excluded) return choice;
  query.excluded = excluded;
  choice = selector_.choose(now, query);
  // If no engine has a free slot, the item waits in the queue like any other.
  if (!choice || verdict.crashes <= 1) return choice;
  park(run, now + kRecheckInterval);
  return std::nullopt;
}

/// Each run has a lease of its own: the report of a crash may arrive after the end of the run that it interrupted.
void JobExecutor::takeTrial(Instant now, ItemRun& run) {
  run.trial_holder.clear();
  if (crashes_.isQuiet() || run.content.empty() || !crashes_.needsTrial(now, run.content)) return;
  run.trial_holder = fmt::format("{}/run-{}-{}", options_.self.value, term_, run.number);
  requestTrial(now, run.content, run.trial_holder);
}

Duration JobExecutor::requestTrial(Instant now, const request::RequestFingerprint& content, const std::string& holder) {
  const request::CrashVerdict verdict = crashes_.judge(content);
  const bool is_refused = verdict.isRefused(now);
  const Duration wait = is_refused ? verdict.refused_until - now : trials_.timeUntilFree(now, content, holder);
  if (wait == Duration::zero()) trials_.grant(now, content, holder);
  logEvent(LogLevel::kInfo, "trial_decided",
           {{"content", content.value},
            {"holder", holder},
            {"granted", wait == Duration::zero()},
            {"cause", is_refused                ? "quarantined"
                      : wait > Duration::zero() ? "another lease"
                                                : "free"},
            {"engines_ended", verdict.crashes},
            {"wait_ms", toMillis(wait)},
            {"leases", trials_.size()},
            {"term", term_}});
  return wait;
}

void JobExecutor::park(const ItemPtr& run, Instant until) {
  logEvent(LogLevel::kInfo, "item_held",
           {{"job", run->job.value},
            {"request", run->item},
            {"content", run->content.value},
            {"engines_ended", crashes_.judge(run->content).crashes},
            {"for_ms", toMillis(until - connection::monotonicNow())}});
  run->not_before = until;
  std::erase(queue_, run);
  parked_.push_back(run);
}

void JobExecutor::releaseParked(Instant now) {
  const auto due = std::stable_partition(parked_.begin(), parked_.end(), [&](const ItemPtr& run) {
    return run->not_before > now && crashes_.judge(run->content).isSuspect();
  });
  if (due == parked_.end()) return;
  for (auto run = due; run != parked_.end(); ++run) (*run)->not_before = now;
  queue_.insert(queue_.end(), due, parked_.end());
  parked_.erase(due, parked_.end());
  next_order_ = Instant{};
}

}  // namespace hatchfork::store
