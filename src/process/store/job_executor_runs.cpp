#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "connection/asio.hpp"
#include "process/store/job_executor.hpp"

// Ordering runs from stores, and handling of their reports and ends.
namespace hatchfork::store {

using connection::monotonicNow;
using request::EngineChoice;
using request::EngineVerdict;

namespace {

constexpr Duration kRetryAfterFailure = fromMillis(150);
constexpr Duration kRetryAfterDecline = fromMillis(80);
/// An item that asks for what no engine has is offered again this often in the end.
constexpr Duration kMaxRetryAfterDecline = std::chrono::seconds(2);
constexpr Duration kRetryAfterPreemption = fromMillis(200);
/// Reduces random numbers to less than 2^53, so that names of chains are exact in every JSON reader.
constexpr unsigned kChainShift = 11;
/// Delay of the next run after a run was lost with a silent store, where it may still be in flight until its lease
/// expires.
constexpr Duration kRetryAfterLoss = fromMillis(300);

/// Doubles with each time in a row that engines declined the item for what it asks for.
Duration retryAfterDecline(const ItemRun& run) {
  Duration delay = kRetryAfterDecline;
  for (std::uint32_t i = 1; i < run.own_declines && delay < kMaxRetryAfterDecline; ++i) delay *= 2;
  return std::min(delay, kMaxRetryAfterDecline);
}

/// Logs the ends of runs that this leader ignores, so that engine answers no leader received can be found.
void logIgnored(const fleet::RunReport& report, const std::vector<fleet::RunNews>& ignored, std::string_view cause) {
  for (const fleet::RunNews& news : ignored) {
    if (!news.ended) continue;
    logEvent(LogLevel::kInfo, "run_end_ignored",
             {{"runner", report.from.value},
              {"run", news.number},
              {"term", report.term},
              {"answer", news.cause},
              {"cause", cause}});
  }
}

}  // namespace

void JobExecutor::startRun(Instant now, const ItemPtr& run, const StoredJob& job, const EngineChoice& choice,
                           const request::EngineQuery& query, const request::TroughVerdict& verdict) {
  const ReplicaId runner = run_table_.chooseRunner(now, choice.engine.zone).value_or(options_.self);
  run->running = true;
  // Two runs of an item may be in flight at two stores for a moment, so the text of each has a name of its own.
  run->chain = chains_() >> kChainShift;
  run->first_event_at = Instant{};
  run->events_before = run->events;
  run->engine = choice.engine.id;
  run->runner = runner;
  run->build = choice.engine.build;
  run->build_full_since = Instant{};
  run->number = run_table_.begin(now, runner);
  run->ticket = selector_.begin(now, choice.engine.id, query);
  run->started_at = now;
  if (isPaced(*run)) restarts_.noteStarted(now, run->service);
  const Duration time_left = run_times_.remainingTime(run->events);
  trough_.noteBegun({choice.engine.service, choice.engine.zone, time_left});
  if (sharesFairly()) {
    run->share = shares_.enter(now, run->tenant, toSeconds(time_left) * 1000);
    shares_.serve(now, run->tenant, run->share);
  }
  ++run->attempts;
  ++counters_.attempts;
  runs_[run->number] = run;
  fleet::RunOrder order;
  order.from = options_.self;
  order.term = term_;
  order.number = run->number;
  order.job = run->job;
  order.item = job.submission.items[job.open_items.at(run->item)];
  order.host = job.submission.host;
  order.tenant = job.submission.tenant;
  order.service = choice.engine.service;
  order.engine = choice.engine.id;
  order.engine_born = choice.engine.born;
  order.engine_build = choice.engine.build;
  order.engine_address = choice.engine.address;
  order.last_event = run->last_event.value_or(0);
  order.after_close = run->after_close;
  order.has_text = run->has_text;
  order.text = run->text;
  order.chain = run->chain;
  const StoredStart stored = storedStart(*run).value_or(StoredStart{});
  order.saved_event = stored.event;
  order.saved_chain = stored.chain;
  order.reads_summaries = true;
  order.report_stamp = run_table_.reportStampOf(runner);
  logEvent(LogLevel::kInfo, "item_sent",
           {{"job", run->job.value},
            {"request", run->item},
            {"engine", choice.engine.id.value},
            {"build", choice.engine.build.value},
            {"runner", runner.value},
            {"run", run->number},
            {"attempt", run->attempts},
            {"failures", run->failures},
            {"resume_after", run->last_event.value_or(0)},
            {"running", fmt::format("{:.1f}", choice.estimated_running)},
            {"load_age_ms", choice.load_age_ms},
            {"due_in_ms", toMillis(run->due - now)},
            {"time_left_ms", toMillis(time_left)},
            {"urgency", fmt::format("{:.2f}", query.urgency)},
            {"pressing", fmt::format("{:.2f}", run->pressing)},
            {"room", fmt::format("{:.1f}", verdict.room)},
            {"online_now", fmt::format("{:.0f}", verdict.online_now)},
            {"online_expected", fmt::format("{:.0f}", verdict.online_expected)},
            {"wave_period_ms", verdict.period ? toMillis(*verdict.period) : 0},
            {"turn", fmt::format("{:.2f}", run->turn)},
            {"version", routes_.version()}});
  if (send_(runner, fleet::FleetMessage(std::move(order)))) return;
  run_table_.avoid(now, runner);
  run_table_.stop(run->number);
  endRun(run, RunEnd::kDeclined, EngineVerdict::kNeutral, "runner out of reach");
}

void JobExecutor::abandonRun(ItemRun& run) {
  run_table_.stop(run.number);
  text_requests_.remove(run.number);
  selector_.end(monotonicNow(), run.ticket, EngineVerdict::kNeutral);
  runs_.erase(run.number);
  run.running = false;
}

void JobExecutor::sendLeases(Instant now) {
  for (auto& [runner, content] : run_table_.takeLeases(now)) {
    fleet::RunLease lease;
    lease.from = options_.self;
    lease.term = term_;
    lease.stopped = std::move(content.stopped);
    lease.kept_answers = std::move(content.kept_answers);
    lease.reads_summaries = true;
    lease.wanted_texts = std::move(content.wanted_texts);
    lease.listed = std::move(content.listed);
    send_(runner, fleet::FleetMessage(std::move(lease)));
  }
}

void JobExecutor::take(const fleet::RunReport& report) {
  if (!leading_ || report.term != term_) {
    logIgnored(report, report.news, leading_ ? "report of another term" : "this store is not the leader");
    return;
  }
  reported_stores_.insert(report.from);
  const CheckedReport checked = run_table_.check(monotonicNow(), report);
  logIgnored(report, checked.ignored, "run is not in this leader's table, or an earlier report is missing");
  for (const fleet::RunNews& news : checked.news) {
    const auto found = runs_.find(news.number);
    if (found == runs_.end()) continue;
    const ItemPtr run = found->second;
    takeNews(run, news);
  }
  breakRuns(checked.lost);
  for (const fleet::ItemAnswer& answer : report.answers) takeAnswer(report.from, answer);
  pumpSoon();
}

void JobExecutor::takeNews(const ItemPtr& run, const fleet::RunNews& news) {
  const Instant now = monotonicNow();
  // The text before these news was lost with the connection that carried it.
  if (text_requests_.needs(news.number)) {
    run_table_.stop(news.number);
    endRun(run, RunEnd::kBroken, EngineVerdict::kNeutral, "text lost");
    return;
  }
  if (news.engine_slots > 0) {
    selector_.noteLoad(now, run->engine,
                       request::EngineLoad{news.engine_running, news.engine_waiting, news.engine_slots});
  }
  if (!news.text.empty()) {
    selector_.noteFirstByte(now, run->ticket);
    run->text += news.text;
    run->has_text = true;
    // Text without an event identifier can't be resumed: after a break the item starts from the beginning.
    run->last_event.reset();
  }
  if (news.last_event > 0) run->last_event = news.last_event;
  if (news.events > 0 && run->first_event_at == Instant{}) {
    run->first_event_at = now;
    run->events_before = run->events + news.events;
    if (isPaced(*run)) restarts_.noteProgress(run->service);
    run->breaks_in_series = 0;
  }
  run->events += news.events;
  if (!news.ended) return;
  const bool is_own_decline = news.end == RunEnd::kDeclined && news.verdict == EngineVerdict::kNeutral;
  run->own_declines = is_own_decline ? run->own_declines + 1 : 0;
  endRun(run, news.end, news.verdict, news.cause);
}

void JobExecutor::notePace(Instant now, const ItemRun& run) {
  if (run.first_event_at == Instant{}) return;
  run_times_.notePace(run.events - run.events_before, now - run.first_event_at);
}

void JobExecutor::breakRuns(const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers) {
    run_table_.stop(number);
    const auto found = runs_.find(number);
    if (found == runs_.end()) continue;
    const ItemPtr run = found->second;
    endRun(run, RunEnd::kBroken, EngineVerdict::kNeutral, "runner silent");
    run->not_before = std::max(run->not_before, monotonicNow() + kRetryAfterLoss);
  }
}

void JobExecutor::endRun(const ItemPtr& run, RunEnd end, EngineVerdict verdict, const std::string& cause) {
  const Instant now = monotonicNow();
  selector_.end(now, run->ticket, verdict);
  const bool has_broken = end == RunEnd::kBroken || end == RunEnd::kClosed;
  if (has_broken && verdict == EngineVerdict::kFailed) noteBreak(now, *run);
  notePace(now, *run);
  if (run->share.work > 0) {
    shares_.correct(run->tenant, toSeconds(now - run->started_at) * 1000 - run->share.work);
    run->share = request::Turn{};
  }
  if (end == RunEnd::kWhole) run_times_.noteCompletedItem(run->events);
  runs_.erase(run->number);
  run->running = false;
  // Without its text, the run has added nothing to what the group has stored.
  if (text_requests_.remove(run->number) && openJob(*run) != nullptr) loadSavedProgress(*run);
  finishRun(run, end, cause);
}

void JobExecutor::finishRun(const ItemPtr& run, RunEnd end, const std::string& cause) {
  constexpr std::string_view kNames[] = {"whole",  "failed",  "impossible", "declined",
                                         "broken", "yielded", "stopped",    "closed"};
  logEvent(LogLevel::kInfo, "item_run_ended",
           {{"job", run->job.value},
            {"request", run->item},
            {"run", run->number},
            {"outcome", kNames[static_cast<std::size_t>(end)]},
            {"cause", cause},
            {"failures", run->failures},
            {"breaks_in_series", run->breaks_in_series},
            {"last_event", run->last_event.value_or(0)}});
  // A run without an event gives no information on the closed connection before it.
  const bool has_events = run->first_event_at != Instant{};
  if (end == RunEnd::kClosed || has_events) run->after_close = end == RunEnd::kClosed;
  const StoredJob* job = openJob(*run);
  if (end == RunEnd::kStopped || run->stopped || job == nullptr || !leading_) return;
  const Instant now = monotonicNow();
  switch (end) {
    case RunEnd::kWhole:
      finishItem(run, ItemOutcome::kCompleted);
      return;
    case RunEnd::kImpossible:
      failPermanently(run);
      return;
    case RunEnd::kFailed:
      countFailure(run, run->number);
      // The failure may be stored already, reported as an answer before the run ended here.
      run->not_before = now + kRetryAfterFailure;
      break;
    case RunEnd::kDeclined:
      run->not_before = now + retryAfterDecline(*run);
      break;
    case RunEnd::kYielded:
      ++counters_.preempted;
      run->not_before = now + kRetryAfterPreemption;
      break;
    case RunEnd::kBroken:
    case RunEnd::kClosed:
    case RunEnd::kStopped:
      ++counters_.broken;
      run->not_before = now + kRetryAfterFailure;
      // Without event identifiers a later run can't resume where this one was interrupted.
      if (!run->last_event) dropText(*run);
      break;
  }
  if (run->pending_failures > 0) return;
  queue_.push(run);
}

}  // namespace hatchfork::store
