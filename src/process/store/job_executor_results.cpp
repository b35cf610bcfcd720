#include <algorithm>
#include <iterator>
#include <utility>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// Storing the progress of running items in the group, and proposing results. Whether an item's text begins with the
// stored one is compared each time and not remembered: texts are dropped and replaced, and a new leader remembers
// nothing.
namespace hatchfork::store {

namespace {

/// Interval at which the progress of a running item is stored.
constexpr Duration kSaveInterval = fromMillis(1000);
/// Bytes of text in one progress entry after which no further item is added. Heartbeats wait while an entry is encoded,
/// sent and applied: with the progress of a thousand items in one entry, leaders lost their quorum 15 times in 33 s.
constexpr std::size_t kMaxSavedBytes = 128 * 1024;
/// Bytes of text in one result entry after which no further result is added, and number of such entries that are
/// proposed at once: while the group is slow, results wait here and not in its log.
constexpr std::size_t kMaxListedBytes = 256 * 1024;
constexpr std::size_t kMaxResultProposals = 4;

}  // namespace

void JobExecutor::loadSavedProgress(ItemRun& run) const {
  dropText(run);
  const StoredJob* job = state_->find(run.job);
  if (job == nullptr) return;
  const auto progress = job->progress.find(run.item);
  if (progress != job->progress.end()) run.failures = progress->second.failures;
  const ItemRunProgress* stored = storedProgress(run);
  if (stored == nullptr) return;
  run.build = stored->build;
  run.last_event = stored->last_event;
  run.text = stored->text;
  run.has_text = true;
  run.events = eventsIn(run.text);
}

const ItemRunProgress* JobExecutor::storedProgress(const ItemRun& run) const {
  const StoredJob* job = state_->find(run.job);
  if (job == nullptr) return nullptr;
  const auto progress = job->progress.find(run.item);
  // Without an event, only failures are stored.
  const bool has_text = progress != job->progress.end() && progress->second.last_event > 0;
  return has_text ? &progress->second : nullptr;
}

std::optional<JobExecutor::StoredStart> JobExecutor::storedStart(const ItemRun& run) const {
  const ItemRunProgress* stored = storedProgress(run);
  if (stored == nullptr) return StoredStart{};
  if (!run.has_text || !run.text.starts_with(stored->text)) return std::nullopt;
  return StoredStart{stored->last_event, stored->chain, stored->text.size()};
}

void JobExecutor::saveProgress(Instant now) {
  if (saving_) return;
  SaveProgress save;
  std::size_t bytes = 0;
  // Continues after the run that was examined last, so that no run is skipped for long.
  auto next = runs_.upper_bound(last_saved_run_);
  for (std::size_t examined = 0; examined < runs_.size() && bytes < kMaxSavedBytes; ++examined, ++next) {
    if (next == runs_.end()) next = runs_.begin();
    last_saved_run_ = next->first;
    const ItemPtr& run = next->second;
    if (!run->last_event || now < run->next_save) continue;
    const std::optional<StoredStart> stored = storedStart(*run);
    if (!stored || *run->last_event <= stored->event) continue;
    run->next_save = now + kSaveInterval;
    save.items.push_back({run->job,
                          run->item,
                          stored->event,
                          stored->chain,
                          *run->last_event,
                          run->chain,
                          run->text.substr(stored->bytes),
                          run->failures,
                          {},
                          run->build});
    bytes += save.items.back().text.size();
  }
  if (save.items.empty()) return;
  saving_ = true;
  propose_(std::move(save), [this, alive = alive_, term = term_](bool) {
    if (*alive && leading_ && term == term_) saving_ = false;
  });
}

void JobExecutor::finishItem(const ItemPtr& run, ItemOutcome outcome) {
  outcome == ItemOutcome::kCompleted ? ++counters_.completed : ++counters_.errored;
  run->has_outcome = true;
  results_.push_back({resultOf(*run, outcome, /*whole_text=*/false), run});
  proposeResults();
}

JobResult JobExecutor::resultOf(const ItemRun& run, ItemOutcome outcome, bool whole_text) const {
  JobResult result;
  result.job = run.job;
  result.result.id = run.item;
  result.result.outcome = outcome;
  if (outcome == ItemOutcome::kErrored) return result;
  const StoredStart stored = whole_text ? StoredStart{} : storedStart(run).value_or(StoredStart{});
  result.after_event = stored.event;
  result.after_chain = stored.chain;
  result.result.text = run.text.substr(stored.bytes);
  return result;
}

void JobExecutor::proposeSkippedAgain(const std::vector<ProposedResult>& proposed) {
  for (const ProposedResult& entry : proposed) {
    const auto runs = items_.find(entry.run->job);
    if (runs == items_.end()) continue;
    const auto found = runs->second.find(entry.run->item);
    // After a change of leader and back, the entry is another object, whose text is not whole yet.
    const bool same_run = found != runs->second.end() && found->second == entry.run;
    if (!same_run || openJob(*entry.run) == nullptr) continue;
    results_.push_back({resultOf(*entry.run, entry.result.result.outcome, /*whole_text=*/true), entry.run});
  }
}

void JobExecutor::proposeResults() {
  while (leading_ && !results_.empty() && mayProposeResults()) proposeNextResults();
}

bool JobExecutor::mayProposeResults() const {
  if (proposals_running_ == 0) return true;
  if (proposals_running_ >= kMaxResultProposals) return false;
  // Less than a whole entry waits, since each entry costs the group a round of replication.
  std::size_t bytes = 0;
  for (const ProposedResult& entry : results_) {
    bytes += entry.result.result.text.size();
    if (bytes >= kMaxListedBytes) return true;
  }
  return false;
}

std::vector<JobExecutor::ProposedResult> JobExecutor::takeNextResults() {
  std::size_t bytes = 0;
  auto end = results_.begin();
  while (end != results_.end() && bytes < kMaxListedBytes) {
    bytes += end->result.result.text.size();
    ++end;
  }
  std::vector<ProposedResult> taken(std::make_move_iterator(results_.begin()), std::make_move_iterator(end));
  results_.erase(results_.begin(), end);
  return taken;
}

void JobExecutor::proposeNextResults() {
  ++proposals_running_;
  auto proposed = std::make_shared<std::vector<ProposedResult>>(takeNextResults());
  ListResults command;
  for (const ProposedResult& entry : *proposed) command.results.push_back(entry.result);
  propose_(std::move(command), [this, alive = alive_, proposed, term = term_](bool applied) {
    // Results that were proposed in an earlier leadership are left to the runs of the current one.
    if (!*alive || !leading_ || term != term_) return;
    --proposals_running_;
    // A refused result is proposed again later and not here, since this may be called from within the proposal. If it
    // was applied after all, the state skips it the second time.
    if (!applied) {
      refused_results_.insert(refused_results_.end(), proposed->begin(), proposed->end());
      return;
    }
    proposeSkippedAgain(*proposed);
    noteListed(*proposed);
    proposeResults();
  });
}

void JobExecutor::noteListed(const std::vector<ProposedResult>& proposed) {
  for (const ProposedResult& entry : proposed) {
    const ItemRun& run = *entry.run;
    if (!run.runner.empty() && openJob(run) == nullptr) run_table_.noteListed(run.runner, run.number);
  }
}

void JobExecutor::proposeRefusedResults() {
  results_.insert(results_.begin(), std::make_move_iterator(refused_results_.begin()),
                  std::make_move_iterator(refused_results_.end()));
  refused_results_.clear();
  proposeResults();
}

}  // namespace hatchfork::store
