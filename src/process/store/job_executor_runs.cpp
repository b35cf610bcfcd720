#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/store/job_executor.hpp"

// One run of an item at an engine, and what follows from its end.
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
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kServerError = 500;
constexpr unsigned kMisdirected = 421;

}  // namespace

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

}  // namespace hatchfork::store
