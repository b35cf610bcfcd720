#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"
#include "request/exchange/answering_prompts.hpp"

// Handling of items during which engines crashed. If possible, such an item is sent to an engine at which no other
// suspect runs. It is parked while its content or a part of its prompt is refused because of its crashes, and, after
// two or more crashes, also while that runs elsewhere or only engines with suspects have a free slot. From two crashes
// on, it runs under a trial lease only, in batch items and online requests alike.
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
  request::CrashSubjects& subjects = run->crash_subjects;
  if (subjects.content.empty()) {
    const OpaqueItem& item = job.submission.items[job.open_items.at(run->item)];
    subjects.content = fleet::contentOf(job.submission.tenant, job.submission.host, item);
  }
  // The split of the route may choose another service each time.
  subjects.parts = request::sharedPartsOf(query.service, query.prompt);
  const request::CrashVerdict verdict = crashes_.judge(subjects);
  run->is_suspect = crashes_.isKeptApart(subjects);
  if (verdict.isRefused(now) || crashes_.mustWait(now, subjects)) {
    // The item ends with its job or its retention, not here: nothing proves that it can never be completed.
    park(run, verdict.isRefused(now) ? verdict.refused_until : now + kRecheckInterval);
    return std::nullopt;
  }
  const bool needs_trial = crashes_.needsTrial(now, subjects);
  if (needs_trial && timeUntilTrial(now, verdict.decisive, {}) > Duration::zero()) {
    park(run, now + kRecheckInterval);
    return std::nullopt;
  }
  const std::set<EngineId> excluded = query.excluded;
  for (const EngineId& engine : crashes_.enginesToAvoid(now, subjects)) query.excluded.insert(engine);
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
  if (crashes_.isQuiet() || run.crash_subjects.content.empty()) return;
  if (!crashes_.needsTrial(now, run.crash_subjects)) return;
  run.trial_holder = fmt::format("{}/run-{}-{}", options_.self.value, term_, run.number);
  run.trial_subject = crashes_.judge(run.crash_subjects).decisive;
  requestTrial(now, run.trial_subject, run.trial_holder);
}

Duration JobExecutor::timeUntilTrial(Instant now, const request::RequestFingerprint& subject,
                                     const std::string& holder) {
  trials_.endCrashed(subject, crashes_.lastCrashedRunBegan(subject));
  // Sound requests may share a subject that is not quarantined, and would be turned away meanwhile.
  const bool is_quarantined = crashes_.judge(subject).requires_lease;
  return trials_.timeUntilFree(now, subject, holder, /*respects_earlier=*/is_quarantined);
}

Duration JobExecutor::requestTrial(Instant now, const request::RequestFingerprint& content, const std::string& holder) {
  const request::CrashVerdict verdict = crashes_.judge(content);
  const bool is_refused = verdict.isRefused(now);
  const Duration wait = is_refused ? verdict.refused_until - now : timeUntilTrial(now, content, holder);
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

void JobExecutor::endUnusedTrial(const request::RequestFingerprint& content, const std::string& holder) {
  logEvent(LogLevel::kInfo, "trial_unused", {{"content", content.value}, {"holder", holder}, {"term", term_}});
  trials_.release(content, holder);
}

void JobExecutor::park(const ItemPtr& run, Instant until) {
  const Instant now = connection::monotonicNow();
  const request::CrashVerdict verdict = crashes_.judge(run->crash_subjects);
  const bool is_refused = verdict.isRefused(now);
  // Items that wait for another run are checked again and again.
  if (is_refused || !std::exchange(run->is_hold_logged, true)) {
    logEvent(LogLevel::kInfo, "item_held",
             {{"job", run->job.value},
              {"request", run->item},
              {"content", run->crash_subjects.content.value},
              {"decisive", verdict.decisive.value},
              {"engines_ended", verdict.crashes},
              {"refused", is_refused},
              {"for_ms", toMillis(until - now)}});
  }
  run->not_before = until;
  queue_.remove(run);
  parked_.push_back(run);
}

void JobExecutor::releaseParked(Instant now) {
  const auto due = std::stable_partition(parked_.begin(), parked_.end(), [&](const ItemPtr& run) {
    return run->not_before > now && crashes_.judge(run->crash_subjects).isSuspect();
  });
  if (due == parked_.end()) return;
  for (auto run = due; run != parked_.end(); ++run) {
    (*run)->not_before = now;
    queue_.push(*run);
  }
  parked_.erase(due, parked_.end());
}

}  // namespace hatchfork::store
