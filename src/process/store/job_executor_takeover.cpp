#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "connection/asio.hpp"
#include "process/store/job_executor.hpp"

// Taking over the runs of earlier leaders. A new leader must answer heartbeats from its first moment, so it learns
// which runs there are at once, and reads their texts afterwards, a bounded amount at a time.
namespace hatchfork::store {

using connection::monotonicNow;

void JobExecutor::take(const fleet::RunOffer& offer) {
  if (!leading_ || offer.term != term_) return;
  const Instant now = monotonicNow();
  std::size_t adopted = 0;
  for (const fleet::OfferedRun& offered : offer.runs) {
    const ItemPtr run = itemForOffer(offered.job, offered.item);
    if (!run) {
      if (!offered.ended) run_table_.refuse(offer.from, offered.number);
      continue;
    }
    adoptRun(now, offer.from, run, offered);
    ++adopted;
  }
  adopted_ += adopted;
  logEvent(LogLevel::kInfo, "runs_adopted",
           {{"runner", offer.from.value}, {"term", term_}, {"offered", offer.runs.size()}, {"adopted", adopted}});
  removeStartedItems();
}

void JobExecutor::take(const fleet::RunSummaries& summaries) {
  if (!leading_ || summaries.term != term_) return;
  const Instant now = monotonicNow();
  std::size_t adopted = 0;
  std::uint64_t text_bytes = 0;
  for (const fleet::RunSummary& summary : summaries.runs) {
    const ItemPtr run = itemForOffer(summary.job, summary.item);
    text_bytes += summary.text_bytes;
    if (!run) {
      if (!summary.ended) run_table_.refuse(summaries.from, summary.number);
      continue;
    }
    adoptSummary(now, summaries.from, run, summary, summaries.compares_texts);
    ++adopted;
  }
  adopted_ += adopted;
  logEvent(LogLevel::kInfo, "runs_adopted",
           {{"runner", summaries.from.value},
            {"term", term_},
            {"offered", summaries.runs.size()},
            {"adopted", adopted},
            {"text_bytes", text_bytes},
            {"texts_needed", text_requests_.size()}});
  removeStartedItems();
  requestTexts(now);
}

void JobExecutor::removeStartedItems() {
  eraseWaiting([](const ItemPtr& run) { return run->running || run->has_outcome; });
}

JobExecutor::ItemPtr JobExecutor::itemForOffer(const JobId& id, const std::string& item) const {
  const auto job = items_.find(id);
  if (job == items_.end()) return nullptr;
  const auto found = job->second.find(item);
  if (found == job->second.end()) return nullptr;
  const ItemPtr& run = found->second;
  const bool is_free = !run->running && !run->stopped && !run->has_outcome && run->pending_failures == 0;
  return is_free && openJob(*run) != nullptr ? run : nullptr;
}

void JobExecutor::noteAdopted(Instant now, const ItemPtr& run, std::uint64_t number, const EngineId& engine,
                              const EngineBuild& build) {
  run->running = true;
  run->first_event_at = Instant{};
  run->engine = engine;
  run->build = build;
  run->number = number;
  request::EngineQuery query;
  query.background = true;
  run->ticket = selector_.begin(now, engine, query);
  runs_[number] = run;
}

/// The offered text is complete up to its last event, so it replaces the stored progress.
void JobExecutor::adoptRun(Instant now, const ReplicaId& runner, const ItemPtr& run, const fleet::OfferedRun& offered) {
  run->chain = offered.chain;
  run->runner = runner;
  run->text = offered.text;
  run->has_text = offered.has_text;
  run->last_event.reset();
  if (offered.last_event > 0) run->last_event = offered.last_event;
  run->events = offered.has_text ? eventsIn(offered.text) : 0;
  noteAdopted(now, run, offered.number, offered.engine, offered.build);
  if (offered.ended) {
    endRun(run, offered.end, offered.verdict, offered.cause);
    return;
  }
  if (offered.has_text) selector_.noteFirstByte(now, run->ticket);
  run_table_.adopt(now, runner, offered.number, offered.sequence);
}

void JobExecutor::adoptSummary(Instant now, const ReplicaId& runner, const ItemPtr& run,
                               const fleet::RunSummary& summary, bool compares_texts) {
  // The item may have run here since its progress was stored.
  loadSavedProgress(*run);
  NeededText needed;
  needed.runner = runner;
  needed.request.number = summary.number;
  if (compares_texts && run->has_text && run->text.size() <= summary.text_bytes) {
    needed.request.offset = run->text.size();
    needed.request.start_hash = fleet::textHashOf(run->text);
  }
  needed.bytes = summary.text_bytes - needed.request.offset;
  run->runner = runner;
  run->adopted_chain = summary.chain;
  noteAdopted(now, run, summary.number, summary.engine, summary.build);
  if (summary.text_bytes > 0) selector_.noteFirstByte(now, run->ticket);
  text_requests_.add(std::move(needed), summary.ended);
  if (!summary.ended) run_table_.adopt(now, runner, summary.number, summary.sequence);
}

void JobExecutor::requestTexts(Instant now) {
  const std::vector<NeededText> next = text_requests_.takeNext(now);
  for (const NeededText& text : next) run_table_.requestText(text.runner, text.request);
  if (!next.empty()) sendLeases(now);
}

void JobExecutor::take(const fleet::RunTexts& texts) {
  if (!leading_ || texts.term != term_) return;
  for (const fleet::RunText& text : texts.texts) {
    const auto found = runs_.find(text.number);
    if (found == runs_.end() || !text_requests_.needs(text.number)) continue;
    const ItemPtr run = found->second;
    takeText(run, text);
  }
  requestTexts(monotonicNow());
  if (text_requests_.size() > 0) return;
  logEvent(LogLevel::kInfo, "texts_read", {{"term", term_}, {"running", runs_.size()}});
}

void JobExecutor::takeText(const ItemPtr& run, const fleet::RunText& text) {
  const bool is_whole = text.offset == 0;
  const bool continues = text.offset == text_requests_.offsetOf(text.number) && text.offset == run->text.size();
  text_requests_.remove(text.number);
  if (!is_whole && !continues) {
    run_table_.stop(text.number);
    endRun(run, RunEnd::kBroken, request::EngineVerdict::kNeutral, "text does not continue the stored one");
    return;
  }
  logEvent(LogLevel::kInfo, "run_text_read",
           {{"job", run->job.value},
            {"request", run->item},
            {"run", text.number},
            {"offset", text.offset},
            {"bytes", text.text.size()},
            {"stored_event", run->last_event.value_or(0)},
            {"stored_bytes", run->text.size()},
            {"last_event", text.last_event}});
  if (is_whole) run->text.clear();
  run->text += text.text;
  run->has_text = text.has_text;
  run->chain = run->adopted_chain;
  run->last_event.reset();
  if (text.last_event > 0) run->last_event = text.last_event;
  run->events = text.has_text ? eventsIn(run->text) : 0;
  if (!text.ended) {
    run_table_.setSequence(text.number, text.sequence);
    return;
  }
  run_table_.remove(text.number);
  endRun(run, text.end, text.verdict, text.cause);
}

}  // namespace hatchfork::store
