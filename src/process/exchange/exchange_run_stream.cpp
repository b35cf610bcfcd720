#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/exchange/exchange_run.hpp"
#include "process/exchange/header_rules.hpp"

// Relays event streams: filters an engine's events and determines how its answer ends.
namespace hatchfork::exchange {

using connection::AnswerPiece;
using connection::Awaitable;
using connection::EndOfAnswer;
using connection::EngineExchange;
using connection::ExchangeFailure;
using connection::monotonicNow;
using request::EngineVerdict;

namespace {

/// Time for which a stream is recorded beyond the last moment at which its caller is expected to resume it.
constexpr Duration kResumeMargin = std::chrono::seconds(2);
constexpr Duration kMaxStreamLifetime = std::chrono::seconds(60);
constexpr Duration kRetryWhenStoresSilent = fromMillis(150);
/// An engine sends an event at once. Longer than a pause of its machine may take.
constexpr Duration kEventTimeout = std::chrono::seconds(1);

std::string withoutLastEvent(const Dialect& dialect) {
  return "send the request without " + dialect.headers().last_event_id + " to get the complete answer";
}

}  // namespace

std::optional<Error> ExchangeRun::readResume() {
  if (route_.kind != RouteKind::kStream) return std::nullopt;
  if (route_.resumable) stream_ = request::streamKeyOf(fingerprint_, id_);
  if (last_event_id_.empty()) return std::nullopt;
  const std::string& name = context_.dialect.headers().last_event_id;
  const std::optional<std::uint64_t> event = request::parseEventId(last_event_id_);
  const std::string remedy = withoutLastEvent(context_.dialect);
  if (route_.resumable && event) {
    position_ = request::StreamPosition(event);
    return std::nullopt;
  }
  const std::string cause = route_.resumable ? ": not a whole number" : ": the route allows no resume";
  return Error{ErrorKind::kInvalidArgument, name + cause, remedy, Executed::kNo, std::nullopt};
}

Awaitable<std::optional<Error>> ExchangeRun::findResumedBuild() {
  const std::string_view first_request = request_.header(context_.dialect.headers().resumed_request);
  // A caller that does not name the request is served while any engine may continue, but its stream can't be recorded.
  stream_ = first_request.empty() ? request::StreamKey() : request::streamKeyOf(fingerprint_, first_request);
  ResumedStream resumed{stream_, query_.service, id_};
  const StreamLookup found = co_await context_.streams.find(std::move(resumed), context_.has_current_builds);
  if (const auto* unknown = std::get_if<UnknownStream>(&found)) co_return unknownBuild(*unknown);
  const auto* build = std::get_if<EngineBuild>(&found);
  if (build == nullptr) co_return std::nullopt;
  position_ = request::StreamPosition(position_.last(), /*ended_by_close=*/false, *build);
  if (context_.selector.hasOpenEngine(query_.service, *build)) co_return std::nullopt;
  co_return Error{ErrorKind::kUnavailable, "no engine runs build " + build->value + ", which began this stream",
                  withoutLastEvent(context_.dialect), Executed::kNo, std::nullopt};
}

Error ExchangeRun::unknownBuild(const UnknownStream& unknown) const {
  if (unknown.is_certain) {
    return Error{ErrorKind::kUnavailable, "the build of the engine that began this stream is not recorded",
                 withoutLastEvent(context_.dialect), Executed::kNo, std::nullopt};
  }
  return Error{ErrorKind::kUnavailable, "the stores that may know the build that began this stream did not answer",
               "retry, or " + withoutLastEvent(context_.dialect), Executed::kNo, kRetryWhenStoresSilent};
}

bool ExchangeRun::isBoundToBuild() const {
  return query_.build && context_.selector.hasOtherBuilds(query_.service, *query_.build);
}

Awaitable<void> ExchangeRun::refuseResume(Error error) {
  ++context_.counters.refused;
  cause_ = error.message;
  connection::HttpResponse response = connection::errorResponse(error);
  if (error.retry_after) setRetryAfter(response, *error.retry_after);
  const unsigned status = response.status;
  const bool sent = co_await writer_.send(std::move(response));
  logEnd(sent ? "resume_refused" : "caller_left", status);
}

Awaitable<bool> ExchangeRun::forwardEvents(const EngineExchange& exchange, std::string events) {
  if (events.empty()) co_return true;
  const bool begun = co_await beginStream(exchange);
  if (!begun) co_return false;
  co_return co_await writer_.writeChunk(std::move(events));
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::relayStream(EngineExchange& exchange) {
  // Where no stream is expected, it may be no answer at all: nothing of it is passed on before its first event.
  if (route_.kind == RouteKind::kStream) {
    const bool begun = co_await beginStream(exchange);
    if (!begun) co_return AttemptEnd::kCallerLeft;
  }
  co_return co_await relayEvents(exchange);
}

Awaitable<bool> ExchangeRun::beginStream(const EngineExchange& exchange) {
  if (std::exchange(stream_started_, true)) co_return true;
  answer_status_ = exchange.status();
  co_return co_await writer_.startStream(answer_status_, answerHeaders(exchange));
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::relayEvents(EngineExchange& exchange) {
  connection::EventSplitter splitter;
  Instant event_began_at{};
  Instant useful_at = monotonicNow();
  position_.beginAnswer(engine_build_);
  comments_.clear();
  while (true) {
    AnswerPiece piece = co_await exchange.read(nextEventBy(splitter, event_began_at, useful_at));
    const bool has_bytes = std::holds_alternative<std::string>(piece);
    if (!has_bytes && splitter.hasPartial()) position_.noteMoreFollows();
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
    if (!splitter.hasPartial()) event_began_at = monotonicNow();
    splitter.append(std::get<std::string>(piece));
    std::string events;
    const auto events_so_far = events_;
    bool is_valid = true;
    for (auto event = splitter.next(); event && is_valid; event = is_valid ? splitter.next() : std::nullopt) {
      is_valid = acceptEvent(*event, events);
    }
    const bool is_useful = events_ > events_so_far;
    if (is_useful) splitter.noteUseful();
    if (is_valid && splitter.isUseless()) {
      is_valid = false;
      cause_ = "stream: bytes without an event";
    }
    const bool passed = co_await forwardEvents(exchange, std::move(events));
    if (!passed) co_return AttemptEnd::kCallerLeft;
    // The time that a slow caller takes is not the engine's.
    if (is_useful) useful_at = event_began_at = monotonicNow();
    if (is_valid) continue;
    verdict_ = EngineVerdict::kFailed;
    co_return AttemptEnd::kStreamBroken;
  }
}

Instant ExchangeRun::nextEventBy(const connection::EventSplitter& splitter, Instant event_began_at,
                                 Instant useful_at) const {
  if (splitter.hasPartial()) return std::min(deadline_, event_began_at + kEventTimeout);
  const bool can_retry = route_.isRepeatable() && position_.canResume() && runs_ + 1 < route_.most_attempts;
  // What is of no use leaves time for another engine.
  return splitter.hasUseless() && can_retry ? useful_at + (deadline_ - useful_at) / 2 : deadline_;
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
  // A comment, or other lines that are part of no text, which belong to this answer only if it goes on.
  if (!event.id && !event.has_data) {
    comments_ += event.bytes;
    return true;
  }
  events += std::exchange(comments_, {});
  events += event.bytes;
  if (!first_event_) first_event_ = event.id;
  ++events_;
  if (events_ == events_before_ + 1) noteAnswerBegun();
  if (position_.build() && !is_stream_recorded_) noteStreamBegun();
  return true;
}

void ExchangeRun::noteStreamBegun() {
  is_stream_recorded_ = true;
  if (stream_.empty()) return;
  // The caller may wait for longer than the route's timeout, which ends this answer.
  const auto remaining = readMilliseconds(request_.header(context_.dialect.headers().remaining_ms));
  const Instant now = monotonicNow();
  const Instant last_resume = std::max(deadline_, received_at_ + remaining.value_or(Duration::zero()));
  const Duration lifetime = std::min(last_resume - now + kResumeMargin, kMaxStreamLifetime);
  context_.streams.noteBegun(now, request::StreamRecord{stream_, query_.service, *position_.build()}, lifetime);
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::endStream(const EngineExchange& exchange, bool is_framed) {
  const bool is_crash = !is_framed && co_await hasCrashedAfterClose();
  if (is_crash) co_return AttemptEnd::kStreamBroken;
  const request::TextEnd end =
      position_.judgeEnd(is_framed ? request::AnswerEnd::kFramed : request::AnswerEnd::kClosed);
  const bool can_retry = route_.isRepeatable() && position_.canResume() && runs_ + 1 < route_.most_attempts;
  // An answer without framing that ends with a clean close counts as complete if no other attempt can verify it.
  if (end == request::TextEnd::kWhole || (end == request::TextEnd::kUnproved && !can_retry)) {
    verdict_ = EngineVerdict::kGood;
    const bool begun = co_await beginStream(exchange);
    if (!begun) co_return AttemptEnd::kCallerLeft;
    const bool passed = co_await forwardEvents(exchange, std::exchange(comments_, {}));
    if (!passed) co_return AttemptEnd::kCallerLeft;
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
