#include <algorithm>
#include <utility>

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
  offer.has_text = run.has_text;
  offer.last_event = run.position.canResume() ? run.position.last().value_or(0) : 0;
  offer.ended = run.news.ended;
  offer.end = run.news.end;
  offer.verdict = run.news.verdict;
  offer.cause = run.news.cause;
  offer.build = run.order.engine_build;
  return offer;
}

fleet::RunSummary ItemRunner::summaryOf(const fleet::OfferedRun& run, std::uint64_t text_bytes) {
  fleet::RunSummary summary;
  summary.number = run.number;
  summary.sequence = run.sequence;
  summary.job = run.job;
  summary.item = run.item;
  summary.engine = run.engine;
  summary.build = run.build;
  summary.chain = run.chain;
  summary.saved_event = run.saved_event;
  summary.saved_chain = run.saved_chain;
  summary.text_bytes = text_bytes;
  summary.last_event = run.last_event;
  summary.ended = run.ended;
  return summary;
}

void ItemRunner::offerRuns(bool reads_summaries) {
  unreported_ends_.clear();
  withheld_ends_.clear();
  for (const auto& [number, run] : runs_) {
    // The offer, or the text that is asked for, contains the news that had not been reported yet.
    clearNews(*run);
    run->is_withheld = reads_summaries;
  }
  if (runs_.empty() && ended_runs_.empty()) return;
  logEvent(LogLevel::kInfo, "runs_offered",
           {{"leader", leader_.value},
            {"term", term_},
            {"running", runs_.size()},
            {"ended", ended_runs_.size()},
            {"with_texts", !reads_summaries}});
  reads_summaries ? sendSummaries() : sendOffer();
}

void ItemRunner::clearNews(Run& run) {
  run.has_news = false;
  run.news.text.clear();
  run.news.events = 0;
}

void ItemRunner::sendOffer() {
  fleet::RunOffer offer{self_, term_, {}};
  for (const auto& [number, run] : runs_) {
    fleet::OfferedRun offered = offerOf(*run);
    offered.text = run->text;
    offer.runs.push_back(std::move(offered));
  }
  for (const EndedRun& ended : ended_runs_) offer.runs.push_back(ended.offer);
  report_(leader_, std::move(offer));
}

void ItemRunner::sendSummaries() {
  fleet::RunSummaries summaries;
  summaries.from = self_;
  summaries.term = term_;
  summaries.compares_texts = true;
  for (const auto& [number, run] : runs_) summaries.runs.push_back(summaryOf(offerOf(*run), run->text.size()));
  for (const EndedRun& ended : ended_runs_) {
    summaries.runs.push_back(summaryOf(ended.offer, ended.offer.text.size()));
  }
  report_(leader_, std::move(summaries));
}

void ItemRunner::sendTexts(const std::vector<fleet::TextRequest>& wanted) {
  if (wanted.empty()) return;
  fleet::RunTexts texts{self_, term_, {}};
  for (const fleet::TextRequest& request : wanted) {
    if (std::optional<fleet::RunText> text = takeText(request)) texts.texts.push_back(std::move(*text));
  }
  report_(leader_, std::move(texts));
}

std::optional<fleet::RunText> ItemRunner::takeText(const fleet::TextRequest& wanted) {
  const auto running = runs_.find(wanted.number);
  if (running != runs_.end()) {
    Run& run = *running->second;
    if (!std::exchange(run.is_withheld, false)) return std::nullopt;
    clearNews(run);
    return textOf(offerOf(run), run.text, wanted);
  }
  const auto ended = std::find_if(ended_runs_.begin(), ended_runs_.end(),
                                  [&](const EndedRun& entry) { return entry.offer.number == wanted.number; });
  withheld_ends_.erase(wanted.number);
  if (ended == ended_runs_.end()) return std::nullopt;
  return textOf(ended->offer, ended->offer.text, wanted);
}

fleet::RunText ItemRunner::textOf(const fleet::OfferedRun& run, const std::string& text,
                                  const fleet::TextRequest& wanted) {
  const std::uint64_t offset = std::min<std::uint64_t>(wanted.offset, text.size());
  const std::string_view start = std::string_view(text).substr(0, offset);
  const bool begins_alike = offset == wanted.offset && fleet::textHashOf(start) == wanted.start_hash;
  fleet::RunText sent;
  sent.number = run.number;
  sent.sequence = run.sequence;
  sent.offset = begins_alike || !wanted.start_hash ? offset : 0;
  sent.text = text.substr(sent.offset);
  sent.has_text = run.has_text;
  sent.last_event = run.last_event;
  sent.ended = run.ended;
  sent.end = run.end;
  sent.verdict = run.verdict;
  sent.cause = run.cause;
  return sent;
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
  if (run.news.end != RunEnd::kWhole && !run.is_withheld) return;
  EndedRun ended{offerOf(run), monotonicNow()};
  ended.offer.text = run.text;
  ended_runs_.push_back(std::move(ended));
}

void ItemRunner::dropListedRuns(const std::vector<std::uint64_t>& listed) {
  if (listed.empty()) return;
  const std::set<std::uint64_t> numbers(listed.begin(), listed.end());
  std::erase_if(ended_runs_, [&](const EndedRun& ended) { return numbers.contains(ended.offer.number); });
}

void ItemRunner::dropOldEndedRuns(Instant now) {
  while (!ended_runs_.empty() && now > ended_runs_.front().ended_at + kEndedRunRetention) {
    withheld_ends_.erase(ended_runs_.front().offer.number);
    ended_runs_.pop_front();
  }
}

}  // namespace hatchfork::store
