#include <algorithm>
#include <iterator>
#include <utility>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// What the group keeps of running items, and how results get into it.
namespace hatchfork::store {

namespace {

/// How often the progress of a running item is kept.
constexpr Duration kSaveInterval = fromMillis(1000);
/// Text of one proposal, in bytes: as much as replicas apply in one go. Heartbeats wait while an entry is encoded, sent
/// and applied: with the progress of a thousand items in one entry, leaders lost their quorum 15 times in 33 s.
constexpr std::size_t kMostSavedBytes = 128 * 1024;
/// Texts of one entry of the log, and entries that wait for the group: while it is slow, results wait here, not in it.
constexpr std::size_t kMostListedBytes = 256 * 1024;
constexpr std::size_t kMostResultProposals = 4;

}  // namespace

/// The next run goes on from what the group keeps.
void JobExecutor::loadSavedProgress(ItemRun& run) const {
  const StoredJob* job = state_->find(run.job);
  const auto kept = job->progress.find(run.item);
  if (kept == job->progress.end()) return;
  run.failures = kept->second.failures;
  if (kept->second.last_event == 0) return;
  run.saved_event = kept->second.last_event;
  run.saved_bytes = kept->second.text.size();
  run.saved_chain = kept->second.chain;
  run.last_event = run.saved_event;
  run.text = kept->second.text;
  run.has_text = true;
  run.events = eventsIn(run.text);
}

/// After a save: where something else is kept than what was proposed, the text goes on from that no more.
void JobExecutor::noteSavedProgress(ItemRun& run, std::uint64_t chain, std::uint64_t last_event) const {
  const StoredJob* job = state_->find(run.job);
  if (job == nullptr) return;
  const auto kept = job->progress.find(run.item);
  if (kept == job->progress.end()) return;
  if (kept->second.chain == chain && kept->second.last_event == last_event) {
    run.saved_event = last_event;
    run.saved_bytes = kept->second.text.size();
    run.saved_chain = chain;
    return;
  }
  run.diverged = run.diverged || kept->second.chain != run.saved_chain || kept->second.last_event != run.saved_event;
}

void JobExecutor::saveProgress(Instant now) {
  if (saving_) return;
  SaveProgress save;
  std::vector<ProposedProgress> saved;
  std::size_t bytes = 0;
  // Goes on after the run that was looked at last, so that none is passed over for long.
  auto next = runs_.upper_bound(last_saved_run_);
  for (std::size_t looked_at = 0; looked_at < runs_.size() && bytes < kMostSavedBytes; ++looked_at, ++next) {
    if (next == runs_.end()) next = runs_.begin();
    last_saved_run_ = next->first;
    const ItemPtr& run = next->second;
    const bool has_news = !run->diverged && run->last_event && *run->last_event > run->saved_event;
    if (!has_news || now < run->next_save) continue;
    run->next_save = now + kSaveInterval;
    save.items.push_back({run->job,
                          run->item,
                          run->saved_event,
                          run->saved_chain,
                          *run->last_event,
                          run->chain,
                          run->text.substr(run->saved_bytes),
                          run->failures,
                          {}});
    saved.push_back({run, run->chain, *run->last_event});
    bytes += save.items.back().text.size();
  }
  if (save.items.empty()) return;
  saving_ = true;
  propose_(std::move(save), [this, alive = alive_, saved = std::move(saved), term = term_](bool) {
    if (!*alive || !leading_ || term != term_) return;
    saving_ = false;
    for (const ProposedProgress& entry : saved) noteSavedProgress(*entry.run, entry.chain, entry.last_event);
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
  const bool whole = whole_text || run.diverged || run.saved_event == 0;
  result.after_event = whole ? 0 : run.saved_event;
  result.after_chain = whole ? 0 : run.saved_chain;
  result.result.text = whole ? run.text : run.text.substr(run.saved_bytes);
  return result;
}

void JobExecutor::listAgain(const std::vector<ProposedResult>& proposed) {
  for (const ProposedResult& entry : proposed) {
    const auto runs = items_.find(entry.run->job);
    if (runs == items_.end()) continue;
    const auto found = runs->second.find(entry.run->item);
    // After a change of leader and back, another run stands in its place, whose text is not whole yet.
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
  if (proposals_running_ >= kMostResultProposals) return false;
  // What is less than a whole entry waits, since each entry costs the group a round.
  std::size_t bytes = 0;
  for (const ProposedResult& entry : results_) {
    bytes += entry.result.result.text.size();
    if (bytes >= kMostListedBytes) return true;
  }
  return false;
}

std::vector<JobExecutor::ProposedResult> JobExecutor::takeNextResults() {
  std::size_t bytes = 0;
  auto end = results_.begin();
  while (end != results_.end() && bytes < kMostListedBytes) {
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
    // What was proposed in an earlier leadership is left to the runs of this one.
    if (!*alive || !leading_ || term != term_) return;
    --proposals_running_;
    // A result that was not taken is proposed again later, since this may be called from within the proposal; one that
    // was taken after all is passed over.
    if (!applied) {
      refused_results_.insert(refused_results_.end(), proposed->begin(), proposed->end());
      return;
    }
    listAgain(*proposed);
    proposeResults();
  });
}

void JobExecutor::proposeRefusedResults() {
  results_.insert(results_.begin(), std::make_move_iterator(refused_results_.begin()),
                  std::make_move_iterator(refused_results_.end()));
  refused_results_.clear();
  proposeResults();
}

}  // namespace hatchfork::store
