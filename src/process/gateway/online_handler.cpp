#include "process/gateway/online_handler.hpp"

#include <fmt/format.h>

#include "common/log.hpp"
#include "common/sha256.hpp"
#include "process/gateway/batch_routing.hpp"
#include "process/gateway/completion_json.hpp"

namespace hatchfork::gateway {

using connection::AttemptEnd;
using connection::AttemptOutcome;
using connection::Awaitable;
using connection::monotonicNow;
using connection::ResponseWriter;
using request::FailurePoint;
using request::Urgency;

namespace {

constexpr Duration kClaimTimeout = fromMillis(3000);
constexpr Duration kStaleRetryAfter = fromMillis(1000);

Error staleError() {
  return Error{ErrorKind::kConfigurationStale, "this gateway cannot show that its configuration is the newest",
               "ask another gateway, or come back when this one reaches the control replicas again", Executed::kNo,
               kStaleRetryAfter};
}

Error alreadyClaimed() {
  return Error{ErrorKind::kOutcomeUnknown,
               "this unrepeatable request was already taken up under its idempotency key",
               "look for its effect; use a new key only for a new request",
               Executed::kUnknown,
               {}};
}

/// Releases a tenant's place when the request ends, however it ends.
class LimiterPlace {
 public:
  LimiterPlace(request::TenantLimiter& limiter, TenantId tenant) : limiter_(limiter), tenant_(std::move(tenant)) {}
  ~LimiterPlace() { limiter_.release(tenant_, Urgency::kOnline); }
  LimiterPlace(const LimiterPlace&) = delete;
  LimiterPlace& operator=(const LimiterPlace&) = delete;

 private:
  request::TenantLimiter& limiter_;
  TenantId tenant_;
};

/// Gives up a policy's place when the request ends, however it ends.
class PolicyPlace {
 public:
  PolicyPlace(request::PolicyGate& policies, TenantId tenant, ServiceId service)
      : policies_(policies), tenant_(std::move(tenant)), service_(std::move(service)) {}
  ~PolicyPlace() { policies_.leave(tenant_, service_); }
  PolicyPlace(const PolicyPlace&) = delete;
  PolicyPlace& operator=(const PolicyPlace&) = delete;

 private:
  request::PolicyGate& policies_;
  TenantId tenant_;
  ServiceId service_;
};

}  // namespace

/// What has been passed on to the caller, over all attempts of one request.
struct OnlineHandler::Relay {
  CompletionHead head;
  ResponseWriter& writer;
  bool stream = false;
  bool started = false;
  std::string text;
  std::uint32_t tokens = 0;

  Awaitable<bool> pass(connection::EngineToken token) {
    ++tokens;
    if (!stream) {
      text += token.text;
      co_return true;
    }
    if (!started) {
      const bool begun = co_await start();
      if (!begun) co_return false;
    }
    std::string event = tokenEvent(head, token.index, token.text);
    co_return co_await writer.writeChunk(std::move(event));
  }

  Awaitable<bool> start() {
    started = true;
    std::vector<connection::HttpHeader> headers;
    headers.push_back(connection::HttpHeader{"Content-Type", "text/event-stream"});
    headers.push_back(connection::HttpHeader{"Cache-Control", "no-cache"});
    co_return co_await writer.startStream(200, std::move(headers));
  }

  Awaitable<void> finish(const AttemptEnd& end) {
    const CompletionUsage usage{end.prompt_tokens, tokens};
    if (!stream) {
      connection::HttpResponse whole =
          connection::jsonResponse(200, wholeCompletion(head, text, end.finish_reason, usage).dump());
      co_await writer.send(std::move(whole));
      co_return;
    }
    if (!started) co_await start();
    std::string events = finishEvents(head, end.finish_reason, usage);
    co_await writer.writeChunk(std::move(events));
    co_await writer.finishStream();
  }
};

OnlineHandler::OnlineHandler(OnlineHandlerOptions options, TrafficState& traffic, connection::HttpClient& client,
                             connection::ControlClient& control, PauseHandler pause)
    : options_(std::move(options)), traffic_(traffic), client_(client), control_(control), pause_(std::move(pause)) {}

Awaitable<void> OnlineHandler::handle(const connection::HttpRequest& request, ResponseWriter& writer) {
  const Status served = co_await admitAndRun(request, writer);
  if (isOk(served)) co_return;
  ++traffic_.counters().online_refused;
  connection::HttpResponse response = connection::errorResponse(errorOf(served));
  co_await writer.send(std::move(response));
}

Status OnlineHandler::checkLease(Instant now, const Service* service) const {
  if (traffic_.leaseInForce(now)) return okStatus();
  if (service != nullptr && service->when_stale == StalePolicy::kServeOn) return okStatus();
  return staleError();
}

/// An error return means that nothing was sent to the caller yet.
Awaitable<Status> OnlineHandler::admitAndRun(const connection::HttpRequest& request, ResponseWriter& writer) {
  const Instant now = monotonicNow();
  // Keeps the configuration alive that the parsed request points into.
  const GatewayVersionPtr version = traffic_.versionPtr();
  if (!version) co_return staleError();
  Result<CallerRequest> parsed = parseCallerRequest(now, *version, request);
  if (!isOk(parsed)) co_return errorOf(parsed);
  CallerRequest& caller = valueOf(parsed);
  const Status fresh = checkLease(now, caller.service);
  if (!isOk(fresh)) co_return fresh;
  ServiceTraffic* service = traffic_.service(caller.service->id);
  const Status in_time = service->deadline_gate.check(now, caller.deadline);
  if (!isOk(in_time)) co_return in_time;
  request::PolicyGate& policies = traffic_.policies();
  const Result<PolicyDecision> decision =
      policies.admit(*caller.tenant, *caller.service, WorkKind::kOnline, caller.urgency);
  if (!isOk(decision)) co_return errorOf(decision);
  const Status tokens = limitTokens(caller.body, valueOf(decision).limits.max_tokens);
  if (!isOk(tokens)) co_return tokens;
  const Status entered = policies.enter(caller.tenant->id, caller.service->id, valueOf(decision).limits.concurrency);
  if (!isOk(entered)) co_return entered;
  const PolicyPlace policy_place(policies, caller.tenant->id, caller.service->id);
  const Status admitted = traffic_.admitTenant(now, *caller.tenant, Urgency::kOnline);
  if (!isOk(admitted)) co_return admitted;
  const LimiterPlace place(traffic_.limiter(), caller.tenant->id);
  if (caller.unrepeatable) {
    const Status claimed = co_await claimRun(caller);
    if (!isOk(claimed)) co_return claimed;
  }
  ++traffic_.counters().online_accepted;
  co_return co_await runWithRetries(caller, writer);
}

Awaitable<Status> OnlineHandler::claimRun(const CallerRequest& caller) {
  control::ClaimRunRequest claim;
  claim.tenant = caller.tenant->id;
  claim.idempotency_key = caller.idempotency_key;
  claim.digest = sha256Hex(caller.path + "\n" + caller.body);
  claim.claimant = fmt::format("{}-claim-{}", options_.id_prefix, ++last_request_);
  claim.now = connection::wallNow();
  const GroupId group = groupOfKey(claim.tenant, claim.idempotency_key, options_.batch_groups);
  const control::ControlReply reply = co_await control_.callFrom(group, std::move(claim), kClaimTimeout);
  if (const auto* granted = std::get_if<control::ClaimRunReply>(&reply)) {
    if (granted->granted) co_return okStatus();
    co_return alreadyClaimed();
  }
  Error error{ErrorKind::kInternal, "unexpected reply to a claim", "report this", Executed::kNo, {}};
  if (const auto* refused = std::get_if<control::ErrorReply>(&reply)) error = refused->error;
  // Whatever became of the claim, this gateway has not run the request and will not.
  error.executed = Executed::kNo;
  co_return error;
}

Awaitable<Status> OnlineHandler::runWithRetries(const CallerRequest& caller, ResponseWriter& writer) {
  Relay relay{CompletionHead{fmt::format("{}-{}", options_.id_prefix, ++last_request_), caller.service->id.value,
                             caller.is_chat},
              writer,
              caller.stream,
              false,
              {},
              0};
  if (caller.unrepeatable) {
    relay.head.id = "once-" + sha256Hex(caller.tenant->id.value + "\n" + caller.idempotency_key).substr(0, 32);
  }
  request::RequestTraits traits;
  traits.repeatable = !caller.unrepeatable;
  traits.streaming = caller.stream;
  traits.deadline = caller.deadline;
  request::RouteRequest route;
  route.prompt_blocks = request::hashPromptBlocks(caller.prompt);
  route.prompt_tokens = request::estimatePromptTokens(caller.prompt);
  route.adapter = caller.adapter;
  request::AttemptFailure failure;
  failure.attempts = 0;
  TrafficCounters& counters = traffic_.counters();
  bool first = true;
  Error final_error;
  while (true) {
    // The service may have been removed while an attempt ran.
    ServiceTraffic* service = traffic_.service(caller.service->id);
    const Status fresh = checkLease(monotonicNow(), caller.service);
    Result<request::RouteChoice> choice = staleError();
    if (service != nullptr && isOk(fresh)) {
      if (first) service->retries.recordRequest(monotonicNow());
      choice = service->router.choose(monotonicNow(), route);
    }
    if (!isOk(choice)) {
      final_error = errorOf(choice);
      if (failure.maybe_run_before) final_error.executed = Executed::kUnknown;
      break;
    }
    first = false;
    const EngineId engine = valueOf(choice).engine;
    const EngineBuild build = service->router.buildOf(engine);
    ++failure.attempts;
    const AttemptEnd end = co_await runAttempt(caller, route, relay, engine, *service);
    if (end.outcome == AttemptOutcome::kWhole) {
      ++counters.online_completed;
      co_await relay.finish(end);
      co_return okStatus();
    }
    if (end.outcome == AttemptOutcome::kCancelled) co_return okStatus();
    if (end.outcome == AttemptOutcome::kRejected) {
      final_error = end.error;
      break;
    }
    logEvent(LogLevel::kWarning, "engine_attempt_failed",
             {{"request", relay.head.id}, {"engine", engine.value}, {"cause", end.error.message}});
    failure.point = end.point;
    failure.tokens_relayed = relay.tokens;
    failure.error = end.error;
    service = traffic_.service(caller.service->id);
    if (service == nullptr) {
      final_error = end.error;
      break;
    }
    const request::RetryDecision decision = service->retries.decide(monotonicNow(), traits, failure);
    failure.maybe_run_before = failure.maybe_run_before || end.point != FailurePoint::kNotRun;
    if (const auto* give_up = std::get_if<request::GiveUp>(&decision)) {
      final_error = give_up->error;
      break;
    }
    const bool resume = std::holds_alternative<request::Resume>(decision);
    ++(resume ? counters.resumes : counters.retries);
    route.excluded.push_back(engine);
    if (relay.tokens > 0) route.build = build;
  }
  if (!relay.started) co_return final_error;
  ++counters.online_failed;
  // The caller sees the typed error and no end mark; the connection is closed after it.
  std::string event = errorEvent(final_error);
  co_await relay.writer.writeChunk(std::move(event));
  co_return okStatus();
}

Awaitable<AttemptEnd> OnlineHandler::runAttempt(const CallerRequest& caller, const request::RouteRequest& route,
                                                Relay& relay, const EngineId& engine, ServiceTraffic& service) {
  const Instant started = monotonicNow();
  const ServiceId service_id = caller.service->id;
  const std::optional<connection::Endpoint> endpoint = traffic_.endpointOf(engine);
  if (!endpoint || !service.router.mayDispatch(engine)) {
    AttemptEnd gone;
    gone.error = Error{ErrorKind::kUnavailable, "the engine has left", "ask again", Executed::kNo, fromMillis(200)};
    co_return gone;
  }
  pause_(service.admission.beginOnline(started, engine));
  request::RoutedAttempt routed = service.router.beginAttempt(started, engine, Urgency::kOnline, route);
  connection::EngineCall call;
  call.endpoint = *endpoint;
  call.path = caller.path;
  call.body = caller.body;
  call.request_id = relay.head.id;
  call.urgency = Urgency::kOnline;
  call.resume_from = relay.tokens;
  call.silence_limit = options_.engine_timeout;
  if (caller.deadline) call.deadline = *caller.deadline;
  connection::EngineAttempt attempt(client_, std::move(call));
  bool first_token = true;
  auto on_token = [&](connection::EngineToken token) -> Awaitable<bool> {
    ServiceTraffic* current = traffic_.service(service_id);
    if (first_token && current != nullptr) {
      const Duration taken = std::chrono::duration_cast<Duration>(monotonicNow() - started);
      current->deadline_gate.recordFirstToken(taken);
      current->router.recordFirstToken(monotonicNow(), routed, taken);
      current->admission.recordOnlineFirstToken(monotonicNow(), engine, taken);
    }
    first_token = false;
    ++traffic_.counters().online_tokens;
    return relay.pass(std::move(token));
  };
  const AttemptEnd end = co_await attempt.run(on_token);
  ServiceTraffic* current = traffic_.service(service_id);
  if (current != nullptr) {
    request::AttemptResult result = request::AttemptResult::kFailed;
    const bool blameless = end.outcome == AttemptOutcome::kWhole || end.outcome == AttemptOutcome::kRejected;
    if (blameless) result = request::AttemptResult::kSucceeded;
    if (end.outcome == AttemptOutcome::kCancelled) result = request::AttemptResult::kCancelled;
    current->router.endAttempt(monotonicNow(), routed, result);
    current->admission.endOnline(monotonicNow(), engine, !first_token);
  }
  co_return end;
}

}  // namespace hatchfork::gateway
