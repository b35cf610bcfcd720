#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// Items at engines that crash, and leases of online requests that may crash theirs. An item is owed whatever happens to
// the engines that run it: it is neither suspected of their crashes nor held because of them.
namespace hatchfork::store {

using request::EngineChoice;

void JobExecutor::noteBreak(Instant now, ItemRun& run) {
  // A run that confirms the end of a text has no event to send.
  if (run.first_event_at != Instant{} || run.after_close) return;
  ++run.breaks_in_series;
  const Duration delay = restarts_.noteBroken(now, run.service, run.started_at);
  logEvent(LogLevel::kInfo, "item_paced",
           {{"job", run.job.value},
            {"request", run.item},
            {"engine", run.engine.value},
            {"breaks_in_series", run.breaks_in_series},
            {"service", run.service.value},
            {"delay_ms", toMillis(delay)}});
}

std::optional<EngineChoice> JobExecutor::chooseEngine(Instant now, const request::EngineQuery& query) {
  const std::vector<EngineId> avoided =
      crashes_.isQuiet() ? std::vector<EngineId>() : crashes_.enginesToAvoid(now, request::CrashSubjects());
  if (avoided.empty()) return selector_.choose(now, query);
  request::EngineQuery apart = query;
  apart.excluded.insert(avoided.begin(), avoided.end());
  if (std::optional<EngineChoice> choice = selector_.choose(now, apart)) return choice;
  return selector_.choose(now, query);
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

}  // namespace hatchfork::store
