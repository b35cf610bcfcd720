#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "connection/asio.hpp"
#include "process/store/job_executor.hpp"

// Handling of engine answers that count against items: failures, and items that can never be completed.
namespace hatchfork::store {

namespace {

constexpr Duration kRetryAfterFailure = fromMillis(150);

std::uint32_t mostAttempts(const Route& route) {
  return std::max<std::uint32_t>(1, route.most_attempts);
}

}  // namespace

JobExecutor::ItemPtr JobExecutor::openItem(const JobId& id, const std::string& item) const {
  const auto job = items_.find(id);
  if (job == items_.end()) return nullptr;
  const auto found = job->second.find(item);
  const bool is_open = found != job->second.end() && !found->second->stopped && openJob(*found->second) != nullptr;
  return is_open ? found->second : nullptr;
}

void JobExecutor::takeAnswer(const ReplicaId& runner, const fleet::ItemAnswer& answer) {
  // The entry that submits the job may not have been applied here yet.
  if (state_->find(answer.job) == nullptr) return;
  const ItemPtr run = openItem(answer.job, answer.item);
  if (!run || state_->isFailureCounted(answer.job, answer.item, answer.number)) {
    run_table_.acknowledgeAnswer(runner, answer.number);
    return;
  }
  if (run->has_outcome) return;
  if (answer.end == fleet::RunEnd::kImpossible) {
    failPermanently(run);
  } else {
    countFailure(run, answer.number);
  }
}

void JobExecutor::removeFromQueue(const ItemPtr& run) {
  eraseWaiting([&run](const ItemPtr& waiting) { return waiting == run; });
}

void JobExecutor::failPermanently(const ItemPtr& run) {
  if (run->running) abandonRun(*run);
  removeFromQueue(run);
  finishItem(run, ItemOutcome::kErrored);
}

void JobExecutor::countFailure(const ItemPtr& run, std::uint64_t number) {
  if (state_->isFailureCounted(run->job, run->item, number) || !pending_failures_.insert(number).second) return;
  failures_.push_back(ProposedFailure{run, number});
  ++run->pending_failures;
  removeFromQueue(run);
  proposeFailures();
}

/// Proposes one entry at a time; runs that fail meanwhile share the next entry. Refused failures are proposed again by
/// this leader from its tick, or by the next leader, since the stores report answers until they are stored.
void JobExecutor::proposeFailures() {
  if (proposing_failures_ || failures_.empty() || !leading_) return;
  proposing_failures_ = true;
  SaveProgress save;
  for (const ProposedFailure& failure : failures_) {
    ItemProgress entry;
    entry.job = failure.run->job;
    entry.item = failure.run->item;
    entry.failures = failure.run->failures + 1;
    entry.failed_runs.push_back(failure.number);
    save.items.push_back(std::move(entry));
  }
  auto proposed = std::exchange(failures_, {});
  propose_(std::move(save), [this, alive = alive_, proposed = std::move(proposed), term = term_](bool applied) {
    if (!*alive || !leading_ || term != term_) return;
    proposing_failures_ = false;
    if (!applied) {
      failures_.insert(failures_.begin(), proposed.begin(), proposed.end());
      return;
    }
    for (const ProposedFailure& failure : proposed) settleFailure(failure);
    proposeFailures();
    pumpSoon();
  });
}

void JobExecutor::settleFailure(const ProposedFailure& failure) {
  const ItemPtr& run = failure.run;
  pending_failures_.erase(failure.number);
  --run->pending_failures;
  const StoredJob* job = openJob(*run);
  if (job == nullptr || run->stopped || run->has_outcome) return;
  const auto stored = job->progress.find(run->item);
  if (stored != job->progress.end()) run->failures = stored->second.failures;
  ++counters_.failures_stored;
  const Instant now = connection::monotonicNow();
  const Route* route = routes_.find(*job);
  const bool is_authoritative = routes_.isAuthoritative(now, *job);
  logEvent(LogLevel::kInfo, "item_failure_kept",
           {{"job", run->job.value},
            {"request", run->item},
            {"run", failure.number},
            {"failures", run->failures},
            {"most", route == nullptr ? 0 : mostAttempts(*route)},
            {"version", routes_.version()},
            {"authoritative", is_authoritative},
            {"term", term_}});
  if (route != nullptr && hasUsedAttempts(*run, *route) && is_authoritative) {
    failPermanently(run);
    return;
  }
  if (run->running || run->pending_failures > 0) return;
  run->not_before = std::max(run->not_before, now + kRetryAfterFailure);
  queue_.push(run);
}

bool JobExecutor::hasUsedAttempts(const ItemRun& run, const Route& route) {
  return run.failures >= mostAttempts(route);
}

}  // namespace hatchfork::store
