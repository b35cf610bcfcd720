#include "process/exchange/exchange_run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/exchange/header_rules.hpp"

namespace hatchfork::exchange {

using connection::AnswerPiece;
using connection::Awaitable;
using connection::EndOfAnswer;
using connection::EngineExchange;
using connection::ExchangeFailure;
using connection::ExchangeStart;
using connection::HttpHeader;
using connection::HttpResponse;
using connection::monotonicNow;
using request::EngineChoice;
using request::EngineQuery;
using request::EngineVerdict;

namespace {

/// Number of engines that may decline a request or be unreachable before it is refused.
constexpr std::uint32_t kMaxRefusals = 4;
/// Retry delay given to a caller after a refusal.
constexpr Duration kRetryAfter = fromMillis(150);
constexpr std::size_t kMaxBufferedAnswerBytes = 64u << 20;
/// HTTP 421, returned by an engine that is not the expected one.
constexpr unsigned kMisdirected = 421;
constexpr std::string_view kEventStream = "text/event-stream";

}  // namespace

ExchangeRun::ExchangeRun(ExchangeContext context, std::shared_ptr<const RouteTable> routes, const Route& route,
                         const Tenant* tenant, ServiceId service, const connection::HttpRequest& request,
                         connection::ResponseWriter& writer)
    : context_(std::move(context)),
      routes_(std::move(routes)),
      route_(route),
      tenant_(tenant),
      request_(request),
      writer_(writer),
      control_(std::make_shared<connection::ExchangeControl>()) {
  query_.service = std::move(service);
  readRequest();
}

void ExchangeRun::readRequest() {
  const HeaderNames& names = context_.dialect.headers();
  received_at_ = context_.received_at;
  retry_after_ = kRetryAfter;
  deadline_ = received_at_ + route_.timeout;
  id_ = std::string(request_.header(names.request_id));
  last_event_id_ = std::string(request_.header(names.last_event_id));
  fingerprint_ = request::fingerprintOf({tenant_ == nullptr ? std::string_view() : tenant_->id.value, request_.method,
                                         request_.header("Host"), request_.target, request_.body});
  if (const auto remaining = readMilliseconds(request_.header(names.remaining_ms))) {
    deadline_ = std::min(deadline_, received_at_ + *remaining);
  }
  query_.zone = context_.zone;
  query_.zones = request::allowedZones(route_, tenant_, context_.regions);
  query_.prefix_affinity = route_.prefix_affinity;
  query_.prefers_settled_builds = route_.kind == RouteKind::kStream && route_.resumable;
  query_.prompt = request::parsePromptShape(request_.header(names.prompt_parts), request_.header(names.token_usage));
}

void ExchangeRun::endForStop() {
  logEvent(LogLevel::kWarning, "stop_ends_request",
           {{"request", id_},
            {"route", route_.name},
            {"engine", engine_.value},
            {"runs", runs_},
            {"events", events_},
            {"left_ms", toMillis(deadline_ - monotonicNow())},
            {"after_ms", elapsedMs()}});
  is_ended_by_stop_ = true;
  deadline_ = std::min(deadline_, monotonicNow());
  if (control_->cancel) control_->cancel();
}

Awaitable<void> ExchangeRun::run() {
  const PlannedStop::Registration registration(context_.stop, [this] { endForStop(); });
  ++context_.counters.received;
  writer_.nameRequest(id_);
  writer_.watchPeer([this] {
    caller_left_ = true;
    if (control_->cancel) control_->cancel();
  });
  std::optional<Error> refusal = readResume();
  if (!refusal && position_.last()) refusal = co_await findResumedBuild();
  if (refusal) {
    co_await refuseResume(std::move(*refusal));
    co_return;
  }
  AttemptEnd end = AttemptEnd::kNotSent;
  cause_ = "no_engine";
  if (query_.zones) cause_ += " in the allowed regions: " + request::namesOfAllowedRegions(route_, tenant_);
  while (mayRetry(end)) {
    query_.build = position_.build();
    // The lease is obtained once an engine is chosen, so that none is left unused while the request queues.
    const bool is_rejected = co_await rejectsQuarantined(LeaseUse::kNone);
    if (is_rejected) break;
    const std::optional<EngineChoice> choice = co_await chooseEngine();
    const bool may_attempt = co_await mayAttempt(choice);
    if (!may_attempt) {
      if (placement_number_ != 0) context_.placement.noteEnded(placement_number_, EngineVerdict::kNeutral);
      break;
    }
    end = co_await attempt(*choice);
    query_.excluded.insert(engine_);
  }
  if (trial_granted_at_) context_.trials.endUnused(trial_subject_, trial_holder_);
  co_await conclude(end);
}

bool ExchangeRun::mayRetry(AttemptEnd end) const {
  if (end == AttemptEnd::kAnswered || end == AttemptEnd::kCallerLeft || caller_left_) return false;
  if (monotonicNow() >= deadline_) return false;
  if (refusals_ >= kMaxRefusals) return false;
  const bool may_have_run = end == AttemptEnd::kBroken || end == AttemptEnd::kStreamBroken;
  if (may_have_run && !route_.isRepeatable()) return false;
  // A partly relayed stream can be resumed only after an event with an identifier.
  if (stream_started_ && !position_.canResume()) return false;
  return runs_ < std::max<std::uint32_t>(1, route_.most_attempts);
}

std::vector<HttpHeader> ExchangeRun::callerHeaders() const {
  const HeaderNames& names = context_.dialect.headers();
  const bool has_tenants = !routes_->tenants().empty();
  std::vector<HttpHeader> headers = endToEndHeaders(request_.headers);
  std::erase_if(headers, [&](const HttpHeader& header) {
    return isSameHeader(header.name, names.remaining_ms) || isSameHeader(header.name, names.expected_engine) ||
           (has_tenants && (isSameHeader(header.name, kKeyHeader) || isSameHeader(header.name, names.tenant))) ||
           (route_.kind == RouteKind::kStream && isSameHeader(header.name, names.last_event_id));
  });
  return headers;
}

connection::EngineRequest ExchangeRun::engineRequest(const EngineChoice& choice) const {
  const HeaderNames& names = context_.dialect.headers();
  connection::EngineRequest out;
  out.engine = choice.engine.id;
  out.endpoint = engine_endpoint_;
  out.method = request_.method;
  out.target = request_.target;
  out.body = request_.body;
  out.echo_name = names.request_id;
  out.echo_value = id_;
  out.headers = callerHeaders();
  if (tenant_ != nullptr) out.headers.push_back({names.tenant, tenant_->id.value});
  const auto remaining = std::max<std::int64_t>(1, toMillis(deadline_ - monotonicNow()));
  out.headers.push_back({names.remaining_ms, std::to_string(remaining)});
  out.headers.push_back({names.expected_engine, choice.engine.id.value});
  // Until an event is relayed, this is the caller's own last event: an attempt may break before its first event.
  if (position_.last()) out.headers.push_back({names.last_event_id, std::to_string(*position_.last())});
  return out;
}

bool ExchangeRun::isDeclined(const EngineExchange& exchange) const {
  return exchange.status() == kMisdirected || !exchange.header(context_.dialect.headers().not_executed).empty();
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::attempt(const EngineChoice& choice) {
  engine_ = choice.engine.id;
  engine_endpoint_ = connection::parseEndpoint(choice.engine.address).value_or(connection::Endpoint{});
  engine_build_ = choice.engine.build;
  engine_incarnation_ = choice.engine.born;
  verdict_ = EngineVerdict::kNeutral;
  cause_.clear();
  attempt_began_at_ = monotonicNow();
  attempt_first_at_.reset();
  events_before_ = events_;
  closed_by_engine_ = false;
  engine_state_ = connection::EngineReachability::kUnknown;
  ++context_.counters.attempts;
  if (stream_started_) ++context_.counters.resumed;
  logAttempt(choice);
  ticket_ = context_.selector.begin(monotonicNow(), engine_, query_);
  const bool placed_here = placement_number_ == 0;
  if (placed_here) placement_number_ = context_.placement.noteBegun(engine_, query_);
  const bool is_suspect = !context_.crashes.isQuiet() && context_.crashes.isKeptApart(crashSubjects());
  request::RequestFingerprint suspect;
  if (is_suspect) suspect = context_.crashes.noteBegun(monotonicNow(), crashSubjects(), engine_);
  connection::EngineRequest sent = engineRequest(choice);
  ExchangeStart started = co_await context_.engines.open(std::move(sent), deadline_, control_);
  AttemptEnd end = AttemptEnd::kBroken;
  if (auto* failure = std::get_if<ExchangeFailure>(&started)) {
    cause_ = failure->cause;
    closed_by_engine_ = failure->closed_by_engine;
    end = failure->may_have_run ? AttemptEnd::kBroken : AttemptEnd::kNotSent;
    const bool past_deadline = monotonicNow() >= deadline_;
    if (!caller_left_ && !past_deadline) verdict_ = EngineVerdict::kFailed;
  } else {
    std::unique_ptr<EngineExchange> exchange = std::move(std::get<std::unique_ptr<EngineExchange>>(started));
    end = co_await relay(*exchange);
  }
  if (caller_left_ && end != AttemptEnd::kAnswered) end = AttemptEnd::kCallerLeft;
  const bool not_run = end == AttemptEnd::kDeclined || end == AttemptEnd::kNotSent;
  not_run ? ++refusals_ : ++runs_;
  if (!not_run) {
    trial_holder_.clear();
    trial_granted_at_.reset();
  }
  if (end == AttemptEnd::kDeclined) ++context_.counters.declined;
  const Instant ended_at = monotonicNow();
  const std::optional<request::AnswerTiming> timing = attemptTiming(ended_at);
  if (timing) context_.selector.noteTiming(ticket_, *timing);
  context_.selector.end(ended_at, ticket_, verdict_);
  context_.placement.noteEnded(std::exchange(placement_number_, 0), verdict_, timing);
  if (closed_by_engine_ && engine_state_ == connection::EngineReachability::kUnknown) co_await probeEngine();
  if (closed_by_engine_) noteEngineCrash();
  if (is_suspect) context_.crashes.noteEnded(monotonicNow(), suspect, engine_);
  logAttemptEnd(end, cause_);
  co_return end;
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::relay(EngineExchange& exchange) {
  const Instant now = monotonicNow();
  context_.selector.noteFirstByte(now, ticket_);
  attempt_first_at_ = now;
  const auto load = request::parseEngineLoad(exchange.header(context_.dialect.headers().engine_load));
  context_.placement.noteAnswering(placement_number_, load ? load->pace : 0);
  if (load) context_.selector.noteLoad(now, engine_, *load);
  if (isDeclined(exchange)) {
    cause_ = fmt::format("declined_{}", exchange.status());
    verdict_ = exchange.status() == kMisdirected ? EngineVerdict::kGone : EngineVerdict::kDeclined;
    // The engine may be the expected one, with other weights.
    const bool names_weights = !request_.header(context_.dialect.headers().expected_weights).empty();
    if (exchange.status() == kMisdirected && names_weights) verdict_ = EngineVerdict::kNeutral;
    // Reads the answer to its end so that the connection can be reused.
    const AnswerPiece rest = co_await exchange.read(now + kRetryAfter);
    if (std::holds_alternative<std::string>(rest)) co_await exchange.read(now + kRetryAfter);
    co_return AttemptEnd::kDeclined;
  }
  if (!first_byte_at_) first_byte_at_ = now;
  const bool is_success = exchange.status() / 100 == 2;
  const bool is_stream = exchange.header("Content-Type").starts_with(kEventStream);
  if (is_success && is_stream) co_return co_await relayStream(exchange);
  if (stream_started_) {
    cause_ = fmt::format("resume_answered_{}", exchange.status());
    co_return AttemptEnd::kStreamBroken;
  }
  co_return co_await relayBuffered(exchange);
}

std::optional<request::AnswerTiming> ExchangeRun::attemptTiming(Instant now) const {
  if (verdict_ != EngineVerdict::kGood || !attempt_first_at_) return std::nullopt;
  request::AnswerTiming timing;
  timing.first_ms = toSeconds(*attempt_first_at_ - attempt_began_at_) * 1000;
  timing.held_ms = toSeconds(now - *attempt_first_at_) * 1000;
  timing.events = events_ - events_before_;
  return timing;
}

std::vector<HttpHeader> ExchangeRun::answerHeaders(const EngineExchange& exchange) const {
  return endToEndHeaders(exchange.headers());
}

Awaitable<bool> ExchangeRun::collectAnswer(EngineExchange& exchange, std::string& body) {
  connection::SlowReaders& readers = context_.slow_readers;
  const std::unique_ptr<connection::HeldBytes> held = readers.collect(id_);
  const std::size_t most_bytes = std::min(kMaxBufferedAnswerBytes, readers.mostBytes());
  // A body that goes on and on leaves time for another engine.
  const Instant now = monotonicNow();
  const bool has_other_attempt = route_.isRepeatable() && runs_ + 1 < route_.most_attempts;
  Instant until = has_other_attempt ? now + (deadline_ - now) / 2 : deadline_;
  while (true) {
    const Instant asked_at = monotonicNow();
    const bool has_room = co_await readers.awaitRoom(held.get(), deadline_);
    if (!has_room) {
      cause_ = "answer: no buffer space before the deadline";
      co_return false;
    }
    // The time until other callers have read is not the engine's.
    until = std::min(deadline_, until + (monotonicNow() - asked_at));
    AnswerPiece piece = co_await exchange.read(until);
    if (const auto* failure = std::get_if<ExchangeFailure>(&piece)) {
      cause_ = "answer: " + failure->cause;
      closed_by_engine_ = failure->closed_by_engine;
      if (!caller_left_ && monotonicNow() < deadline_) verdict_ = EngineVerdict::kFailed;
      co_return false;
    }
    if (const auto* end = std::get_if<EndOfAnswer>(&piece)) {
      const bool is_crash = !end->framed && co_await hasCrashedAfterClose();
      co_return !is_crash;
    }
    const std::string& bytes = std::get<std::string>(piece);
    held->add(bytes.size());
    body += bytes;
    if (body.size() <= most_bytes) continue;
    cause_ = "answer_too_large";
    verdict_ = EngineVerdict::kFailed;
    co_return false;
  }
}

Awaitable<ExchangeRun::AttemptEnd> ExchangeRun::relayBuffered(EngineExchange& exchange) {
  HttpResponse response;
  response.status = exchange.status();
  response.headers = answerHeaders(exchange);
  const bool is_whole = co_await collectAnswer(exchange, response.body);
  if (!is_whole) co_return AttemptEnd::kBroken;
  const bool is_failure = response.status >= 500;
  verdict_ = is_failure ? EngineVerdict::kNeutral : EngineVerdict::kGood;
  if (is_failure) cause_ = fmt::format("status_{}", response.status);
  const bool can_retry = is_failure && route_.isRepeatable() && runs_ + 1 < route_.most_attempts;
  if (can_retry && monotonicNow() < deadline_) co_return AttemptEnd::kBroken;
  // These statuses state that the request was not executed, which only a declining engine can guarantee.
  constexpr unsigned kNotExecutedStatuses[] = {408, 429, 503};
  if (std::find(std::begin(kNotExecutedStatuses), std::end(kNotExecutedStatuses), response.status) !=
      std::end(kNotExecutedStatuses)) {
    co_return AttemptEnd::kBroken;
  }
  const unsigned status = response.status;
  const bool sent = co_await writer_.send(std::move(response));
  if (!sent) co_return AttemptEnd::kCallerLeft;
  ++context_.counters.answered;
  context_.crashes.noteAnswered(monotonicNow(), fingerprint_);
  if (status / 100 == 2) noteAnswerBegun();
  logEnd("answered", status);
  co_return AttemptEnd::kAnswered;
}

/// Sends the final answer if no attempt has sent it.
Awaitable<void> ExchangeRun::conclude(AttemptEnd last) {
  if (last == AttemptEnd::kAnswered) co_return;
  if (is_ended_by_stop_) cause_ = "the gateway stops";
  if (caller_left_ || last == AttemptEnd::kCallerLeft) {
    ++context_.counters.caller_left;
    writer_.abort();
    logEnd("caller_left", 0);
    co_return;
  }
  if (stream_started_ && position_.mayBeComplete()) {
    // The connection was closed cleanly, and no other engine can tell whether the text was complete.
    const AttemptEnd end = co_await finishStream(answer_status_);
    if (end == AttemptEnd::kAnswered) co_return;
  }
  if (stream_started_) {
    ++context_.counters.failed;
    writer_.abort();
    logEnd("stream_cut", 0);
    co_return;
  }
  const bool past_deadline = monotonicNow() >= deadline_;
  Error error;
  if (runs_ == 0) {
    ++context_.counters.refused;
    error = Error{ErrorKind::kUnavailable, "no engine accepted the request: " + cause_,
                  "retry after the time in Retry-After", Executed::kNo, retry_after_};
  } else {
    ++context_.counters.failed;
    error = Error{past_deadline ? ErrorKind::kDeadlineExceeded : ErrorKind::kUpstreamFailed,
                  "the engine did not complete its answer: " + cause_, "retry if the request may run twice",
                  Executed::kUnknown, std::nullopt};
  }
  HttpResponse response = connection::errorResponse(error);
  if (runs_ == 0) setRetryAfter(response, retry_after_);
  const unsigned status = response.status;
  co_await writer_.send(std::move(response));
  logEnd(runs_ == 0 ? "refused" : "failed", status);
}

}  // namespace hatchfork::exchange
