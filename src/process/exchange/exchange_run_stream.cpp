#include <fmt/format.h>

#include <utility>

#include "common/log.hpp"
#include "process/exchange/exchange_run.hpp"

// Answers that are streams of events: what of an engine's events the caller gets, and how its answer ends.
namespace hatchfork::exchange {

using connection::AnswerPiece;
using connection::Awaitable;
using connection::EndOfAnswer;
using connection::EngineExchange;
using connection::ExchangeFailure;
using connection::monotonicNow;
using request::EngineVerdict;

std::optional<Error> ExchangeRun::readResume() {
  if (caller_has_.empty() || route_.kind != RouteKind::kStream) return std::nullopt;
  const std::string& name = tools_.dialect.headers().last_event_id;
  const std::optional<std::uint64_t> event = request::parseEventId(caller_has_);
  const std::string remedy = "ask without " + name + " for the whole answer";
  if (route_.resumable && event) {
    position_ = request::StreamPosition(event);
    return std::nullopt;
  }
  const std::string cause = route_.resumable ? ": not a whole number" : ": the route allows no resume";
  return Error{ErrorKind::kInvalidArgument, name + cause, remedy, Executed::kNo, std::nullopt};
}

Awaitable<void> ExchangeRun::refuseResume(Error error) {
  ++tools_.counters.refused;
  cause_ = error.message;
  connection::HttpResponse response = connection::errorResponse(error);
  const unsigned status = response.status;
  const bool sent = co_await writer_.send(std::move(response));
  logEnd(sent ? "resume_refused" : "caller_left", status);
}

Awaitable<bool> ExchangeRun::passOn(std::string events) {
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
    bool is_sound = true;
    for (auto event = splitter.next(); event && is_sound; event = is_sound ? splitter.next() : std::nullopt) {
      is_sound = takeEvent(*event, events);
    }
    const bool passed = co_await passOn(std::move(events));
    if (!passed) co_return AttemptEnd::kCallerLeft;
    if (is_sound) continue;
    verdict_ = EngineVerdict::kFailed;
    co_return AttemptEnd::kStreamBroken;
  }
}

bool ExchangeRun::takeEvent(const connection::StreamEvent& event, std::string& events) {
  const request::EventPlace place = position_.take(event.id, event.has_data);
  if (place == request::EventPlace::kRepeated) {
    ++repeated_;
    ++tools_.counters.repeated_events;
    return true;
  }
  if (place != request::EventPlace::kNext) {
    const bool is_gap = place == request::EventPlace::kGap;
    cause_ = fmt::format("stream: {} after event {}", is_gap ? "events are missing" : "an event without an identifier",
                         position_.last().value_or(0));
    ++tools_.counters.misplaced_events;
    return false;
  }
  if (!first_event_) first_event_ = event.id;
  ++events_;
  events += event.bytes;
  return true;
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::endStream(const EngineExchange& exchange, bool is_framed) {
  const request::AnswerEnd answer = is_framed ? request::AnswerEnd::kFramed : request::AnswerEnd::kClosed;
  const request::TextEnd end = position_.judgeEnd(answer, tools_.framing);
  tools_.framing.note(answer);
  const bool is_whole = end == request::TextEnd::kWhole;
  const bool can_ask = route_.isRepeatable() && position_.canResume() && runs_ + 1 < route_.most_attempts;
  // Where no other answer can tell, a proper close ends an answer without a length.
  if (is_whole || (end == request::TextEnd::kUnproved && !can_ask)) {
    verdict_ = EngineVerdict::kGood;
    co_return co_await finishStream(exchange.status());
  }
  cause_ = "stream: closed without its length";
  co_return AttemptEnd::kStreamBroken;
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::finishStream(unsigned status) {
  const bool finished = co_await writer_.finishStream();
  if (!finished) co_return AttemptEnd::kCallerLeft;
  ++tools_.counters.answered;
  tools_.crashes.noteAnswered(monotonicNow(), fingerprint_);
  logEnd("answered", status);
  co_return AttemptEnd::kAnswered;
}

}  // namespace hatchfork::exchange
