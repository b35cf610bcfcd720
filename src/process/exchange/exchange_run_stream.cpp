#include <fmt/format.h>

#include <utility>

#include "common/log.hpp"
#include "process/exchange/exchange_run.hpp"

// Relays event streams: filters an engine's events and determines how its answer ends.
namespace hatchfork::exchange {

using connection::AnswerPiece;
using connection::Awaitable;
using connection::EndOfAnswer;
using connection::EngineExchange;
using connection::ExchangeFailure;
using connection::monotonicNow;
using request::EngineVerdict;

std::optional<Error> ExchangeRun::readResume() {
  if (last_event_id_.empty() || route_.kind != RouteKind::kStream) return std::nullopt;
  const std::string& name = context_.dialect.headers().last_event_id;
  const std::optional<std::uint64_t> event = request::parseEventId(last_event_id_);
  const std::string remedy = "send the request without " + name + " to get the complete answer";
  if (route_.resumable && event) {
    position_ = request::StreamPosition(event);
    return std::nullopt;
  }
  const std::string cause = route_.resumable ? ": not a whole number" : ": the route allows no resume";
  return Error{ErrorKind::kInvalidArgument, name + cause, remedy, Executed::kNo, std::nullopt};
}

Awaitable<void> ExchangeRun::refuseResume(Error error) {
  ++context_.counters.refused;
  cause_ = error.message;
  connection::HttpResponse response = connection::errorResponse(error);
  const unsigned status = response.status;
  const bool sent = co_await writer_.send(std::move(response));
  logEnd(sent ? "resume_refused" : "caller_left", status);
}

Awaitable<bool> ExchangeRun::forwardEvents(std::string events) {
  if (events.empty()) co_return true;
  co_return co_await writer_.writeChunk(std::move(events));
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::relayStream(EngineExchange& exchange) {
  if (!stream_started_) {
    stream_started_ = true;
    answer_status_ = exchange.status();
    const bool begun = co_await writer_.startStream(answer_status_, answerHeaders(exchange));
    if (!begun) co_return AttemptEnd::kCallerLeft;
  }
  co_return co_await relayEvents(exchange);
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::relayEvents(EngineExchange& exchange) {
  connection::EventSplitter splitter;
  position_.beginAnswer();
  while (true) {
    AnswerPiece piece = co_await exchange.read(deadline_);
    if (const auto* failure = std::get_if<ExchangeFailure>(&piece)) {
      cause_ = "stream: " + failure->cause;
      closed_by_engine_ = failure->closed_by_engine;
      if (!caller_left_ && monotonicNow() < deadline_) verdict_ = EngineVerdict::kFailed;
      co_return AttemptEnd::kStreamBroken;
    }
    if (const auto* end = std::get_if<EndOfAnswer>(&piece)) {
      if (!splitter.hasPartial()) co_return co_await endStream(exchange, end->framed);
      cause_ = "stream: ended inside an event";
      closed_by_engine_ = true;
      verdict_ = EngineVerdict::kFailed;
      co_return AttemptEnd::kStreamBroken;
    }
    splitter.append(std::get<std::string>(piece));
    std::string events;
    bool is_valid = true;
    for (auto event = splitter.next(); event && is_valid; event = is_valid ? splitter.next() : std::nullopt) {
      is_valid = acceptEvent(*event, events);
    }
    const bool passed = co_await forwardEvents(std::move(events));
    if (!passed) co_return AttemptEnd::kCallerLeft;
    if (is_valid) continue;
    verdict_ = EngineVerdict::kFailed;
    co_return AttemptEnd::kStreamBroken;
  }
}

bool ExchangeRun::acceptEvent(const connection::StreamEvent& event, std::string& events) {
  const request::EventPlace place = position_.take(event.id, event.has_data);
  if (place == request::EventPlace::kRepeated) {
    ++repeated_;
    ++context_.counters.repeated_events;
    return true;
  }
  if (place != request::EventPlace::kNext) {
    const bool is_gap = place == request::EventPlace::kGap;
    cause_ = fmt::format("stream: {} after event {}", is_gap ? "events are missing" : "an event without an identifier",
                         position_.last().value_or(0));
    ++context_.counters.misplaced_events;
    return false;
  }
  if (!first_event_) first_event_ = event.id;
  ++events_;
  events += event.bytes;
  return true;
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::endStream(const EngineExchange& exchange, bool is_framed) {
  const request::AnswerEnd answer = is_framed ? request::AnswerEnd::kFramed : request::AnswerEnd::kClosed;
  const request::TextEnd end = position_.judgeEnd(answer, context_.framing);
  context_.framing.note(answer);
  const bool is_whole = end == request::TextEnd::kWhole;
  const bool can_retry = route_.isRepeatable() && position_.canResume() && runs_ + 1 < route_.most_attempts;
  // An answer without framing that ends with a clean close counts as complete if no other attempt can verify it.
  if (is_whole || (end == request::TextEnd::kUnproved && !can_retry)) {
    verdict_ = EngineVerdict::kGood;
    co_return co_await finishStream(exchange.status());
  }
  cause_ = "stream: closed without its length";
  co_return AttemptEnd::kStreamBroken;
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::finishStream(unsigned status) {
  const bool finished = co_await writer_.finishStream();
  if (!finished) co_return AttemptEnd::kCallerLeft;
  ++context_.counters.answered;
  context_.crashes.noteAnswered(monotonicNow(), fingerprint_);
  logEnd("answered", status);
  co_return AttemptEnd::kAnswered;
}

}  // namespace hatchfork::exchange
