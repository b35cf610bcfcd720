#include "process/store/job_executor.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::store {

using connection::AnswerPiece;
using connection::Awaitable;
using connection::EndOfAnswer;
using connection::EngineExchange;
using connection::ExchangeFailure;
using connection::ExchangeStart;
using connection::monotonicNow;
using request::EngineChoice;
using request::EngineVerdict;

namespace {

/// Time that an engine is given for one run.
constexpr Duration kRunTime = std::chrono::seconds(30);
/// A run without its first event for this long is broken off.
constexpr Duration kFirstEventTimeout = std::chrono::seconds(6);
/// A run without a further event for this long is broken off.
constexpr Duration kNextEventTimeout = std::chrono::seconds(3);
constexpr Duration kRetryAfterFailure = fromMillis(150);
constexpr Duration kRetryAfterDecline = fromMillis(80);
constexpr Duration kRetryAfterYield = fromMillis(400);
constexpr Duration kYieldInterval = fromMillis(150);
/// How often the progress of running items is kept.
constexpr Duration kSaveInterval = fromMillis(1000);
constexpr Duration kCleanupInterval = std::chrono::seconds(1);
/// Wall clocks may differ by this much; an item is given up only so much later than its retention.
constexpr Duration kClockMargin = fromMillis(2500);
/// A finished job is forgotten this long after it was submitted.
constexpr Duration kFinishedJobKept = std::chrono::minutes(10);
/// A route must be missing for this long before the open items of its jobs are given up.
constexpr Duration kRouteMissingFor = std::chrono::seconds(4);
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kServerError = 500;
constexpr unsigned kMisdirected = 421;
/// How long a run takes, roughly; a backlog of less than the relaxed time needs no hurry.
constexpr Duration kTypicalRun = fromMillis(4500);
constexpr Duration kRelaxedBacklog = std::chrono::seconds(2);
constexpr double kMostPressure = 3;
/// Places in the queue that one pass looks at for an item that may start.
constexpr std::size_t kMostLookedAt = 64;

}  // namespace

JobExecutor::JobExecutor(connection::asio::io_context& context, JobExecutorOptions options, const Dialect& dialect,
                         ProposeFunction propose)
    : context_(context),
      options_(std::move(options)),
      dialect_(dialect),
      propose_(std::move(propose)),
      engines_(context),
      selector_(options_.seed),
      split_(options_.seed),
      chains_(options_.seed) {}

JobExecutor::~JobExecutor() {
  *alive_ = false;
}

void JobExecutor::setView(const fleet::FleetView& view, bool engines_changed) {
  routes_ = view.routes;
  if (engines_changed) selector_.setEngines(*view.engines);
  if (leading_) pump();
}

void JobExecutor::setLeading(bool leading) {
  if (leading == leading_) return;
  leading_ = leading;
  if (!leading) {
    logEvent(LogLevel::kInfo, "executor_stopped", {{"running", running_}, {"waiting", queue_.size()}});
    for (const auto& [job, runs] : std::exchange(items_, {})) {
      for (const auto& [item, run] : runs) {
        run->stopped = true;
        if (run->control && run->control->cancel) run->control->cancel();
      }
    }
    queue_.clear();
    results_.clear();
    return;
  }
  for (const auto& [id, job] : state_->jobs()) enqueueOpenItems(job);
  logEvent(LogLevel::kInfo, "executor_started", {{"jobs", items_.size()}, {"waiting", queue_.size()}});
  pump();
}

void JobExecutor::noteChange(const JobId& id) {
  if (!leading_) return;
  const StoredJob* job = state_->find(id);
  if (job == nullptr || job->isFinished()) {
    stopItems(id);
    return;
  }
  if (!items_.contains(id)) enqueueOpenItems(*job);
  pump();
}

void JobExecutor::enqueueOpenItems(const StoredJob& job) {
  if (job.isFinished()) return;
  std::map<std::string, ItemPtr>& runs = items_[job.submission.id];
  for (const OpaqueItem& item : job.submission.items) {
    if (!job.open_items.contains(item.id) || runs.contains(item.id)) continue;
    auto run = std::make_shared<ItemRun>();
    run->job = job.submission.id;
    run->item = item.id;
    run->chain = chains_() >> 11;
    loadSavedProgress(*run);
    runs.emplace(item.id, run);
    queue_.push_back(run);
  }
}

/// A new chain goes on from what the group keeps.
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
}

/// After a save: what an earlier leadership kept late makes this chain one of its own.
void JobExecutor::noteSavedProgress(ItemRun& run) const {
  const StoredJob* job = state_->find(run.job);
  if (job == nullptr) return;
  const auto kept = job->progress.find(run.item);
  if (kept == job->progress.end()) return;
  if (kept->second.chain == run.chain) {
    run.saved_event = kept->second.last_event;
    run.saved_bytes = kept->second.text.size();
    run.saved_chain = run.chain;
    return;
  }
  run.diverged = run.diverged || kept->second.chain != run.saved_chain || kept->second.last_event != run.saved_event;
}

void JobExecutor::saveProgress(Instant now) {
  if (saving_ || now < next_save_) return;
  next_save_ = now + kSaveInterval;
  SaveProgress save;
  std::vector<ItemPtr> saved;
  for (const auto& [id, runs] : items_) {
    for (const auto& [item, run] : runs) {
      const bool has_news = run->running && !run->diverged && run->last_event && *run->last_event > run->saved_event;
      if (!has_news) continue;
      save.items.push_back({id, item, run->saved_event, run->saved_chain, *run->last_event, run->chain,
                            run->text.substr(run->saved_bytes), run->failures});
      saved.push_back(run);
    }
  }
  if (save.items.empty()) return;
  saving_ = true;
  propose_(std::move(save), [this, alive = alive_, saved = std::move(saved)](bool) {
    if (!*alive) return;
    saving_ = false;
    for (const ItemPtr& run : saved) noteSavedProgress(*run);
  });
}

void JobExecutor::stopItems(const JobId& job) {
  const auto found = items_.find(job);
  if (found == items_.end()) return;
  for (const auto& [item, run] : found->second) {
    run->stopped = true;
    if (run->control && run->control->cancel) run->control->cancel();
  }
  items_.erase(found);
  std::erase_if(queue_, [](const ItemPtr& run) { return run->stopped; });
}

void JobExecutor::tick(Instant now) {
  if (!leading_) return;
  yieldSlots(now);
  saveProgress(now);
  pump();
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  giveUpExpired(now);
  dropOldJobs();
  engines_.closeIdle([this](const EngineId& engine) { return selector_.knows(engine); });
}

void JobExecutor::pump() {
  if (!leading_ || !routes_) return;
  const Instant now = monotonicNow();
  while (running_ < options_.most_running && startNext(now)) {
  }
}

const Route* JobExecutor::routeOf(const StoredJob& job) const {
  return routes_ ? routes_->find(job.submission.host, job.submission.path) : nullptr;
}

const StoredJob* JobExecutor::openJob(const ItemRun& run) const {
  const StoredJob* job = state_->find(run.job);
  const bool open = job != nullptr && !job->ended && job->open_items.contains(run.item);
  return open ? job : nullptr;
}

double JobExecutor::pressure() const {
  const double per_second = std::max(1.0, static_cast<double>(running_) / toSeconds(kTypicalRun));
  const double backlog = static_cast<double>(queue_.size()) / per_second;
  return std::clamp(backlog / toSeconds(kRelaxedBacklog), 1.0, kMostPressure);
}

bool JobExecutor::startNext(Instant now) {
  const std::size_t looked_at = std::min(queue_.size(), kMostLookedAt);
  for (std::size_t i = 0; i < looked_at; ++i) {
    const ItemPtr run = queue_[i];
    if (run->not_before > now) continue;
    const StoredJob* job = openJob(*run);
    const Route* route = job == nullptr ? nullptr : routeOf(*job);
    if (job == nullptr || run->stopped) {
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
      return true;
    }
    if (route == nullptr) continue;
    const OpaqueItem& item = job->submission.items[job->open_items.at(run->item)];
    request::EngineQuery query;
    query.service = split_.choose(*route);
    query.zone = options_.zone;
    query.prefix_affinity = route->prefix_affinity;
    query.background = true;
    query.pressure = pressure();
    const HeaderNames& names = dialect_.headers();
    std::string parts;
    std::string usage;
    for (const ItemHeader& header : item.headers) {
      if (header.name == names.prompt_parts) parts = header.value;
      if (header.name == names.token_usage) usage = header.value;
    }
    query.prompt = request::parsePromptShape(parts, usage);
    const std::optional<EngineChoice> choice = selector_.choose(now, query);
    if (!choice) return false;
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
    run->running = true;
    run->yielding = false;
    run->engine = choice->engine.id;
    ++run->attempts;
    ++running_;
    ++counters_.attempts;
    connection::asio::co_spawn(context_, runItem(run, item, job->submission.host, *choice, std::move(query)),
                               connection::asio::detached);
    return true;
  }
  return false;
}

connection::EngineRequest JobExecutor::engineRequest(const ItemRun& run, const OpaqueItem& item,
                                                     const std::string& host, const EngineChoice& choice) const {
  const HeaderNames& names = dialect_.headers();
  connection::EngineRequest out;
  out.engine = choice.engine.id;
  out.endpoint = connection::parseEndpoint(choice.engine.address).value_or(connection::Endpoint{});
  out.method = "POST";
  out.target = item.target;
  out.headers.push_back({"Host", host});
  for (const ItemHeader& header : item.headers) out.headers.push_back({header.name, header.value});
  out.headers.push_back({names.request_id, item.id});
  out.headers.push_back({names.expected_engine, choice.engine.id.value});
  out.headers.push_back({names.remaining_ms, std::to_string(toMillis(kRunTime))});
  if (run.last_event) out.headers.push_back({names.last_event_id, std::to_string(*run.last_event)});
  out.body = item.body;
  out.echo_name = names.request_id;
  out.echo_value = item.id;
  return out;
}

Awaitable<void> JobExecutor::runItem(ItemPtr run, OpaqueItem item, std::string host, EngineChoice choice,
                                     request::EngineQuery query) {
  const std::shared_ptr<bool> alive = alive_;
  const Instant began = monotonicNow();
  run->control = std::make_shared<connection::ExchangeControl>();
  const request::TicketId ticket = selector_.begin(began, choice.engine.id, query);
  logEvent(LogLevel::kInfo, "item_sent",
           {{"job", run->job.value},
            {"request", run->item},
            {"engine", choice.engine.id.value},
            {"attempt", run->attempts},
            {"resume_after", run->last_event.value_or(0)},
            {"running", fmt::format("{:.1f}", choice.estimated_running)},
            {"load_age_ms", choice.load_age_ms},
            {"version", routes_->version()}});
  connection::EngineRequest sent = engineRequest(*run, item, host, choice);
  ExchangeStart started = co_await engines_.open(std::move(sent), began + kFirstEventTimeout, run->control);
  if (!*alive) co_return;
  RunEnd end = RunEnd::kBroken;
  EngineVerdict verdict = EngineVerdict::kNeutral;
  std::string cause;
  if (auto* failure = std::get_if<ExchangeFailure>(&started)) {
    cause = failure->cause;
    if (!run->stopped) verdict = EngineVerdict::kFailed;
  } else {
    auto exchange = std::move(std::get<std::unique_ptr<EngineExchange>>(started));
    if (const auto load = request::parseEngineLoad(exchange->header(dialect_.headers().engine_load))) {
      selector_.noteLoad(monotonicNow(), choice.engine.id, *load);
    }
    end = co_await readAnswer(*run, *exchange, ticket, verdict, cause);
    // The wait before may have outlived this object, which the linter does not see.
    if (!*alive) co_return;  // cppcheck-suppress identicalConditionAfterEarlyExit
  }
  if (run->yielding && end == RunEnd::kBroken) {
    end = RunEnd::kYielded;
    verdict = EngineVerdict::kNeutral;
  }
  if (run->stopped) end = RunEnd::kStopped;
  selector_.end(monotonicNow(), ticket, verdict);
  run->control.reset();
  run->running = false;
  --running_;
  finishRun(run, end, cause);
  pump();
}

Awaitable<JobExecutor::RunEnd> JobExecutor::readAnswer(ItemRun& run, EngineExchange& exchange, request::TicketId ticket,
                                                       EngineVerdict& verdict, std::string& cause) {
  const std::shared_ptr<bool> alive = alive_;
  const unsigned status = exchange.status();
  cause = fmt::format("status_{}", status);
  const bool declined = status == kMisdirected || !exchange.header(dialect_.headers().not_executed).empty();
  if (declined) {
    verdict = status == kMisdirected ? EngineVerdict::kGone : EngineVerdict::kDeclined;
    co_return RunEnd::kDeclined;
  }
  if (status == kUnprocessable) co_return RunEnd::kImpossible;
  if (status == kServerError) co_return RunEnd::kFailed;
  if (status / 100 != 2) co_return RunEnd::kBroken;
  connection::EventSplitter splitter;
  while (true) {
    AnswerPiece piece = co_await exchange.read(monotonicNow() + kNextEventTimeout);
    if (!*alive || run.stopped) co_return RunEnd::kStopped;
    if (const auto* failure = std::get_if<ExchangeFailure>(&piece)) {
      cause = "stream: " + failure->cause;
      verdict = EngineVerdict::kFailed;
      co_return RunEnd::kBroken;
    }
    if (const auto* end = std::get_if<EndOfAnswer>(&piece)) {
      const bool whole = end->framed && !splitter.hasPartial();
      cause = whole ? "whole" : "stream: ended without its frame";
      verdict = whole ? EngineVerdict::kGood : EngineVerdict::kFailed;
      co_return whole ? RunEnd::kWhole : RunEnd::kBroken;
    }
    selector_.noteFirstByte(monotonicNow(), ticket);
    splitter.append(std::get<std::string>(piece));
    while (std::optional<connection::StreamEvent> event = splitter.next()) {
      if (event->id && run.last_event && *event->id <= *run.last_event) continue;
      if (run.has_text) run.text += '\n';
      run.text += event->data;
      run.has_text = true;
      if (event->id) run.last_event = event->id;
    }
  }
}

void JobExecutor::finishRun(const ItemPtr& run, RunEnd end, const std::string& cause) {
  constexpr std::string_view kNames[] = {"whole", "failed", "impossible", "declined", "broken", "yielded", "stopped"};
  logEvent(LogLevel::kInfo, "item_run_ended",
           {{"job", run->job.value},
            {"request", run->item},
            {"outcome", kNames[static_cast<std::size_t>(end)]},
            {"cause", cause},
            {"failures", run->failures},
            {"last_event", run->last_event.value_or(0)}});
  const StoredJob* job = openJob(*run);
  if (end == RunEnd::kStopped || job == nullptr || !leading_) return;
  const Instant now = monotonicNow();
  switch (end) {
    case RunEnd::kWhole:
      finishItem(run, ItemOutcome::kCompleted);
      return;
    case RunEnd::kImpossible:
      finishItem(run, ItemOutcome::kErrored);
      return;
    case RunEnd::kFailed: {
      ++run->failures;
      const Route* route = routeOf(*job);
      const std::uint32_t most = route == nullptr ? 1 : std::max<std::uint32_t>(1, route->most_attempts);
      if (route != nullptr && run->failures >= most) {
        finishItem(run, ItemOutcome::kErrored);
        return;
      }
      run->not_before = now + kRetryAfterFailure;
      saveFailure(*run);
      break;
    }
    case RunEnd::kDeclined:
      run->not_before = now + kRetryAfterDecline;
      break;
    case RunEnd::kYielded:
      ++counters_.yielded;
      run->not_before = now + kRetryAfterYield;
      break;
    case RunEnd::kBroken:
    case RunEnd::kStopped:
      ++counters_.broken;
      run->not_before = now + kRetryAfterFailure;
      // Without event identifiers a later run can't go on where this one broke off.
      if (!run->last_event) {
        run->saved_bytes = 0;
        run->text.clear();
        run->has_text = false;
      }
      break;
  }
  // What has begun goes first: it is the oldest.
  queue_.push_front(run);
}

/// A new leader must not give the item as many runs again.
void JobExecutor::saveFailure(const ItemRun& run) {
  SaveProgress save;
  save.items.push_back(
      {run.job, run.item, run.saved_event, run.saved_chain, run.saved_event, run.chain, "", run.failures});
  propose_(std::move(save), [](bool) {});
}

void JobExecutor::finishItem(const ItemPtr& run, ItemOutcome outcome) {
  outcome == ItemOutcome::kCompleted ? ++counters_.completed : ++counters_.errored;
  results_.push_back(resultOf(*run, outcome, /*whole_text=*/false));
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

void JobExecutor::listAgain(const std::vector<JobResult>& proposed) {
  for (const JobResult& entry : proposed) {
    const auto runs = items_.find(entry.job);
    if (runs == items_.end()) continue;
    const auto run = runs->second.find(entry.result.id);
    const bool passed_over = run != runs->second.end() && openJob(*run->second) != nullptr;
    if (passed_over) results_.push_back(resultOf(*run->second, entry.result.outcome, /*whole_text=*/true));
  }
}

/// One proposal at a time: what ends meanwhile shares the next one.
void JobExecutor::proposeResults() {
  if (proposing_ || results_.empty() || !leading_) return;
  proposing_ = true;
  auto proposed = std::make_shared<std::vector<JobResult>>(std::exchange(results_, {}));
  propose_(ListResults{*proposed}, [this, alive = alive_, proposed](bool applied) {
    if (!*alive) return;
    proposing_ = false;
    // A result that was not taken is proposed again; one that was taken after all is passed over.
    if (!applied && leading_) results_.insert(results_.begin(), proposed->begin(), proposed->end());
    if (!applied) return;
    listAgain(*proposed);
    proposeResults();
  });
}

void JobExecutor::yieldSlots(Instant now) {
  if (now < next_yield_) return;
  next_yield_ = now + kYieldInterval;
  std::map<EngineId, double> excess;
  for (const request::EngineShare& share : selector_.ownShares(now)) {
    const double above = selector_.excess(now, share.engine);
    if (above >= 1) excess[share.engine] = above;
  }
  if (excess.empty()) return;
  for (const auto& [id, runs] : items_) {
    for (const auto& [item, run] : runs) {
      // Only a run that can go on after an event loses nothing but the reading of its prompt.
      if (!run->running || run->yielding || !run->last_event || !run->control) continue;
      const auto found = excess.find(run->engine);
      if (found == excess.end() || found->second < 1) continue;
      found->second -= 1;
      run->yielding = true;
      if (run->control->cancel) run->control->cancel();
    }
  }
}

void JobExecutor::giveUpExpired(Instant now) {
  proposeResults();
  const WallMillis wall = connection::wallNow();
  std::vector<ItemPtr> expired;
  for (const auto& [id, runs] : items_) {
    const StoredJob* job = state_->find(id);
    if (job == nullptr) continue;
    const Route* route = routeOf(*job);
    if (route != nullptr) {
      route_missing_since_.erase(id);
    } else {
      route_missing_since_.emplace(id, now);
    }
    const auto missing = route_missing_since_.find(id);
    const bool route_gone = missing != route_missing_since_.end() && now > missing->second + kRouteMissingFor;
    const Duration age = fromMillis(wall - job->submission.submitted_at);
    const bool too_old =
        route != nullptr && route->retention > Duration::zero() && age > route->retention + kClockMargin;
    if (!route_gone && !too_old) continue;
    for (const auto& [item, run] : runs) {
      if (!run->running && openJob(*run) != nullptr) expired.push_back(run);
    }
  }
  for (const ItemPtr& run : expired) {
    if (run->stopped) continue;
    run->stopped = true;
    logEvent(LogLevel::kInfo, "item_given_up", {{"job", run->job.value}, {"request", run->item}});
    finishItem(run, ItemOutcome::kErrored);
  }
  std::erase_if(queue_, [](const ItemPtr& run) { return run->stopped; });
}

void JobExecutor::dropOldJobs() {
  const WallMillis wall = connection::wallNow();
  DropJobs drop;
  for (const auto& [id, job] : state_->jobs()) {
    const Duration age = fromMillis(wall - job.submission.submitted_at);
    if (job.isFinished() && age > kFinishedJobKept) drop.jobs.push_back(id);
  }
  if (!drop.jobs.empty()) propose_(std::move(drop), [](bool) {});
}

}  // namespace hatchfork::store
