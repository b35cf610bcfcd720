#include <utility>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// Items that are listed as errored without an answer of an engine, items that are held until that can be decided, and
// jobs that are dropped. None of it can be undone, so routes decide it only while they are proved to be the newest.
namespace hatchfork::store {

namespace {

/// Maximum difference of wall clocks; an item is given up only this long after its retention has passed.
constexpr Duration kClockMargin = fromMillis(2500);
/// A finished job is dropped this long after its submission, and an end of a job that the group does not have is kept
/// for as long.
constexpr Duration kFinishedJobRetention = std::chrono::minutes(10);

}  // namespace

void JobExecutor::holdUndecided(const ItemPtr& run, std::string_view cause) {
  const StoredJob* job = openJob(*run);
  logEvent(LogLevel::kInfo, "item_undecided",
           {{"job", run->job.value},
            {"request", run->item},
            {"cause", cause},
            {"version", routes_.version()},
            {"accepted_under", job == nullptr ? 0 : job->submission.configuration_version},
            {"failures", run->failures}});
  queue_.remove(run);
  undecided_.push_back(run);
}

std::string_view JobExecutor::giveUpCause(Instant now, const StoredJob& job) {
  if (routes_.isRemoved(now, job)) return "its route was removed";
  const Route* route = routes_.find(job);
  if (route == nullptr || route->retention == Duration::zero() || !routes_.isAuthoritative(now, job)) return {};
  const Duration age = fromMillis(connection::wallNow() - job.submission.submitted_at);
  return age > route->retention + kClockMargin ? "its retention has passed" : std::string_view();
}

void JobExecutor::giveUpExpired(Instant now) {
  proposeRefusedResults();
  std::vector<std::pair<ItemPtr, std::string_view>> expired;
  for (const auto& [id, runs] : items_) {
    const StoredJob* job = state_->find(id);
    if (job == nullptr) continue;
    const std::string_view cause = giveUpCause(now, *job);
    if (cause.empty()) continue;
    for (const auto& [item, run] : runs) {
      if (!run->running && openJob(*run) != nullptr) expired.emplace_back(run, cause);
    }
  }
  for (const auto& [run, cause] : expired) {
    if (!run->stopped) giveUp(run, cause);
  }
  eraseWaiting([](const ItemPtr& run) { return run->stopped; });
}

void JobExecutor::giveUp(const ItemPtr& run, std::string_view cause) {
  run->stopped = true;
  const StoredJob* job = openJob(*run);
  logEvent(LogLevel::kInfo, "item_given_up",
           {{"job", run->job.value},
            {"request", run->item},
            {"cause", cause},
            {"version", routes_.version()},
            {"accepted_under", job == nullptr ? 0 : job->submission.configuration_version},
            {"failures", run->failures}});
  finishItem(run, ItemOutcome::kErrored);
}

void JobExecutor::dropOldJobs(Instant now) {
  const WallMillis wall = connection::wallNow();
  DropJobs drop;
  drop.ends_through = oldEnds(now);
  for (const auto& [id, job] : state_->jobs()) {
    const Duration age = fromMillis(wall - job.submission.submitted_at);
    if (job.isFinished() && age > kFinishedJobRetention) drop.jobs.push_back(id);
  }
  if (drop.jobs.empty() && drop.ends_through == 0) return;
  propose_(std::move(drop), [](bool) {});
}

void JobExecutor::beginToKeepEnds() {
  if (!stores_keep_ends_ || state_->keepsEnds() || std::exchange(beginning_to_keep_ends_, true)) return;
  DropJobs begin;
  begin.begins_to_keep_ends = true;
  propose_(std::move(begin), [this, alive = alive_](bool) {
    if (*alive) beginning_to_keep_ends_ = false;
  });
}

consensus::LogIndex JobExecutor::oldEnds(Instant now) {
  const consensus::LogIndex newest = state_->keptEnds().newest();
  const bool is_new = newest != 0 && (kept_ends_seen_.empty() || kept_ends_seen_.back().newest != newest);
  if (is_new) kept_ends_seen_.push_back({now, newest});
  consensus::LogIndex old = 0;
  while (!kept_ends_seen_.empty() && now >= kept_ends_seen_.front().seen_at + kFinishedJobRetention) {
    old = kept_ends_seen_.front().newest;
    kept_ends_seen_.pop_front();
  }
  return old;
}

void JobExecutor::giveUpFailed(Instant now) {
  const std::vector<ItemPtr> held = undecided_;
  for (const ItemPtr& run : held) {
    const StoredJob* job = openJob(*run);
    const Route* route = job == nullptr ? nullptr : routes_.find(*job);
    if (route == nullptr || !routes_.isAuthoritative(now, *job)) continue;
    if (hasUsedAttempts(*run, *route)) giveUp(run, "its attempts are used up");
  }
  eraseWaiting([](const ItemPtr& run) { return run->stopped; });
}

}  // namespace hatchfork::store
