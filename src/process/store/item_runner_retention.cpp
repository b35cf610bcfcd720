#include "common/log.hpp"
#include "process/store/item_runner.hpp"

// Runs and answers that are retained for the next leader.
namespace hatchfork::store {

using connection::monotonicNow;
using fleet::RunEnd;

namespace {

/// Runs that ended within this time are offered to a new leader, whose predecessor may not have listed their results.
constexpr Duration kEndedRunRetention = std::chrono::seconds(8);
/// An answer that no leader has confirmed for this long belongs to a job that was dropped.
constexpr Duration kAnswerRetention = std::chrono::minutes(10);
/// Maximum number of unconfirmed answers, of a few hundred bytes each; beyond it the oldest are dropped.
constexpr std::size_t kMaxAnswers = 5000;

}  // namespace

fleet::OfferedRun ItemRunner::offerOf(const Run& run) {
  fleet::OfferedRun offer;
  offer.number = run.order.number;
  offer.sequence = run.news.sequence;
  offer.job = run.order.job;
  offer.item = run.order.item.id;
  offer.engine = run.order.engine;
  offer.chain = run.order.chain;
  offer.saved_event = run.order.saved_event;
  offer.saved_chain = run.order.saved_chain;
  offer.text = run.text;
  offer.has_text = run.has_text;
  offer.last_event = run.position.canResume() ? run.position.last().value_or(0) : 0;
  offer.ended = run.news.ended;
  offer.end = run.news.end;
  offer.verdict = run.news.verdict;
  offer.cause = run.news.cause;
  offer.build = run.order.engine_build;
  return offer;
}

void ItemRunner::offerRuns() {
  unreported_ends_.clear();
  fleet::RunOffer offer{self_, term_, {}};
  for (const auto& [number, run] : runs_) {
    // The offer contains the news that had not been reported yet.
    run->has_news = false;
    run->news.text.clear();
    run->news.events = 0;
    offer.runs.push_back(offerOf(*run));
  }
  for (const EndedRun& ended : ended_runs_) offer.runs.push_back(ended.offer);
  if (offer.runs.empty()) return;
  logEvent(LogLevel::kInfo, "runs_offered",
           {{"leader", leader_.value}, {"term", term_}, {"running", runs_.size()}, {"ended", ended_runs_.size()}});
  report_(leader_, std::move(offer));
}

/// A report may be lost, or arrive after its leader has lost its leadership or has given the run up as lost. In none of
/// these cases may the item be sent again as if it had not been answered, so answers are repeated until confirmed.
void ItemRunner::retainAnswer(const Run& run) {
  if (run.news.end != RunEnd::kFailed && run.news.end != RunEnd::kImpossible) return;
  fleet::ItemAnswer answer{run.order.number, run.order.job, run.order.item.id, run.news.end};
  answers_.push_back(UnconfirmedAnswer{std::move(answer), monotonicNow()});
  logEvent(LogLevel::kInfo, "item_answered",
           {{"job", run.order.job.value},
            {"request", run.order.item.id},
            {"engine", run.order.engine.value},
            {"run", run.order.number},
            {"answer", run.news.cause},
            {"leader", leader_.value},
            {"term", term_}});
}

void ItemRunner::removeConfirmedAnswers(const std::vector<std::uint64_t>& confirmed) {
  for (const std::uint64_t number : confirmed) {
    std::erase_if(answers_, [number](const UnconfirmedAnswer& entry) { return entry.answer.number == number; });
  }
}

void ItemRunner::dropOldAnswers(Instant now) {
  std::size_t dropped = 0;
  while (!answers_.empty() &&
         (answers_.size() > kMaxAnswers || now > answers_.front().received_at + kAnswerRetention)) {
    answers_.pop_front();
    ++dropped;
  }
  if (dropped > 0) logEvent(LogLevel::kWarning, "item_answers_forgotten", {{"count", dropped}});
}

void ItemRunner::retainEndedRun(const Run& run) {
  if (run.news.end == RunEnd::kWhole) ended_runs_.push_back(EndedRun{offerOf(run), monotonicNow()});
}

void ItemRunner::dropOldEndedRuns(Instant now) {
  while (!ended_runs_.empty() && now > ended_runs_.front().ended_at + kEndedRunRetention) ended_runs_.pop_front();
}

}  // namespace hatchfork::store
