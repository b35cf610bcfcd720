#include "process/exchange/gateway_program.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/exchange/header_rules.hpp"
#include "request/access/caller_identity.hpp"
#include "request/admission/credit_request.hpp"

// Request handling from receipt until the request runs: start-up waits, identification, admission and refusals.
namespace hatchfork::exchange {

using connection::Awaitable;
using connection::HttpResponse;
using connection::monotonicNow;

namespace {

/// Retry delay for a job whose allowed regions do not contain all stores. Operators have to move stores or change
/// the regions, which takes long.
constexpr Duration kRetryWhenStoresMoved = std::chrono::seconds(2);
/// Time for which a configuration confirmed as the newest counts as current. Confirmations arrive every 300 ms.
constexpr Duration kConfigurationCurrentFor = fromMillis(1500);
/// Retry delay given by a stopping gateway: other gateways serve.
constexpr Duration kRetryWhenStopping = fromMillis(10);
/// Retry delay if a refusal is not confirmed by the newest configuration.
constexpr Duration kRetryWhenCurrent = fromMillis(400);

constexpr std::string_view kMissingConfiguration = "this gateway has not received a configuration yet";
constexpr std::string_view kMissingCrashReports =
    "this gateway has not received the list of requests that crash engines yet";

std::string_view toString(StartGate::Outcome outcome) {
  switch (outcome) {
    case StartGate::Outcome::kOpen:
      return "passed";
    case StartGate::Outcome::kRefused:
      return "refused";
    case StartGate::Outcome::kCallerLeft:
      return "caller_left";
  }
  return "refused";
}

/// Returns the host without its port.
std::string_view hostName(std::string_view host) {
  return host.substr(0, host.rfind(':'));
}

}  // namespace

Awaitable<void> GatewayProgram::refuse(const connection::HttpRequest& request, connection::ResponseWriter& writer,
                                       Error error) {
  ++counters_.refused;
  logEvent(LogLevel::kInfo, "request_refused",
           {{"request", request.header(dialect_->headers().request_id)},
            {"host", request.header("Host")},
            {"path", request.path},
            {"version", routes_ ? routes_->version() : 0},
            {"cause", error.message}});
  HttpResponse response = connection::errorResponse(error);
  if (error.retry_after) setRetryAfter(response, *error.retry_after);
  co_await writer.send(std::move(response));
}

Result<const Tenant*> GatewayProgram::authenticateCaller(const RouteTable& routes, bool allows_anonymous,
                                                         const connection::HttpRequest& request) const {
  return request::identifyCaller(routes, allows_anonymous, connection::bearerToken(request.header(kKeyHeader)));
}

Error GatewayProgram::unlessCurrent(Error refusal) const {
  const Instant proved = feed_->provedAt();
  if (proved != Instant::min() && monotonicNow() < proved + kConfigurationCurrentFor) return refusal;
  return Error{ErrorKind::kUnavailable, refusal.message + ", and this gateway may not have the newest configuration",
               "retry after the time in Retry-After", Executed::kNo, kRetryWhenCurrent};
}

Awaitable<void> GatewayProgram::handleJobCall(const JobCall& call, const RouteTable& routes,
                                              const connection::HttpRequest& request,
                                              connection::ResponseWriter& writer) {
  const bool allows_anonymous = routes.allowsAnonymousJobs(hostName(request.header("Host")));
  const Result<const Tenant*> caller = authenticateCaller(routes, allows_anonymous, request);
  if (!isOk(caller)) {
    Error error = unlessCurrent(errorOf(caller));
    co_await refuse(request, writer, std::move(error));
    co_return;
  }
  const TenantId tenant = valueOf(caller) == nullptr ? TenantId() : valueOf(caller)->id;
  HttpResponse response = co_await jobs_.respond(call, tenant, request);
  co_await writer.send(std::move(response));
}

Awaitable<bool> GatewayProgram::awaitStartup(std::function<bool()> is_open, std::string_view missing,
                                             Instant received_at, const connection::HttpRequest& request,
                                             connection::ResponseWriter& writer) {
  const request::EarlyArrival arrival{received_at, readMilliseconds(request.header(dialect_->headers().remaining_ms))};
  const std::size_t bytes = request.body.size();
  const StartGate::Result passed = co_await start_gate_.pass(std::move(is_open), arrival, bytes, writer);
  if (passed.was_held) {
    const Duration waited = monotonicNow() - received_at;
    logEvent(LogLevel::kInfo, "request_held",
             {{"request", request.header(dialect_->headers().request_id)},
              {"for", missing},
              {"waited_ms", toMillis(waited)},
              {"remaining_ms", arrival.remaining ? toMillis(*arrival.remaining) : -1},
              {"outcome", toString(passed.outcome)}});
  }
  if (passed.outcome == StartGate::Outcome::kRefused) {
    Error error{ErrorKind::kUnavailable, std::string(missing), "retry after the time in Retry-After", Executed::kNo,
                passed.come_back_after};
    co_await refuse(request, writer, std::move(error));
  }
  co_return passed.outcome == StartGate::Outcome::kOpen;
}

Awaitable<bool> GatewayProgram::refusesForStop(Instant received_at, Duration longest,
                                               const connection::HttpRequest& request,
                                               connection::ResponseWriter& writer) {
  if (stop_.mayRun(received_at, received_at + longest)) co_return false;
  Error error{ErrorKind::kUnavailable, "this gateway stops and may not be able to finish the request",
              "send it again on a new connection", Executed::kNo, kRetryWhenStopping};
  co_await refuse(request, writer, std::move(error));
  co_return true;
}

Awaitable<void> GatewayProgram::handle(const connection::HttpRequest& request, connection::ResponseWriter& writer) {
  const Instant received_at = monotonicNow();
  if (!routes_) {
    std::function<bool()> is_open = [this] { return routes_ != nullptr; };
    const bool passed = co_await awaitStartup(std::move(is_open), kMissingConfiguration, received_at, request, writer);
    if (!passed) co_return;
  }
  const std::shared_ptr<const RouteTable> routes = routes_;
  const JobCall call = dialect_->jobCall(request.method, request.target);
  if (!std::holds_alternative<UnknownCall>(call)) {
    const bool is_refused = co_await refusesForStop(received_at, JobApi::kLongestCall, request, writer);
    if (is_refused) co_return;
    co_await handleJobCall(call, *routes, request, writer);
    co_return;
  }
  const Route* route = routes->find(hostName(request.header("Host")), request.path);
  if (route == nullptr) {
    Error error = unlessCurrent(
        Error{ErrorKind::kNotFound, "no route has this host and path", "correct the host and path", Executed::kNo, {}});
    co_await refuse(request, writer, std::move(error));
    co_return;
  }
  const Result<const Tenant*> caller = authenticateCaller(*routes, route->allows_anonymous, request);
  if (!isOk(caller)) {
    Error error = unlessCurrent(errorOf(caller));
    co_await refuse(request, writer, std::move(error));
    co_return;
  }
  const Tenant* tenant = valueOf(caller);
  if (request.header(dialect_->headers().request_id).empty()) {
    Error error{ErrorKind::kInvalidArgument,
                "the request has no identifier",
                "send the header " + dialect_->headers().request_id,
                Executed::kNo,
                {}};
    co_await refuse(request, writer, std::move(error));
    co_return;
  }
  const Duration remaining =
      readMilliseconds(request.header(dialect_->headers().remaining_ms)).value_or(route->timeout);
  const Duration longest =
      route->kind == RouteKind::kBatch ? JobApi::kLongestCall : std::min(route->timeout, remaining);
  const bool is_refused = co_await refusesForStop(received_at, longest, request, writer);
  if (is_refused) co_return;
  if (route->kind == RouteKind::kBatch) {
    if (!mayStoreJobsOf(*route, tenant)) {
      Error error{ErrorKind::kUnavailable,
                  "stores lie outside of the allowed regions: " + request::namesOfAllowedRegions(*route, tenant),
                  "retry after the time in Retry-After, or allow the regions of all stores", Executed::kNo,
                  kRetryWhenStoresMoved};
      co_await refuse(request, writer, std::move(error));
      co_return;
    }
    const TenantId submitter = tenant == nullptr ? TenantId() : tenant->id;
    // Has `peerGone` tell whether the caller has left; its submission is finished all the same.
    writer.watchPeer([] {});
    HttpResponse response = co_await jobs_.submit(*route, routes->version(), submitter, request);
    if (writer.peerGone()) {
      logEvent(LogLevel::kInfo, "job_submitter_left",
               {{"request", request.header(dialect_->headers().request_id)}, {"status", response.status}});
    }
    co_await writer.send(std::move(response));
    co_return;
  }
  co_await handleOnline(routes, *route, tenant, received_at, request, writer);
}

/// All stores are checked, since any store may come to hold or run the items of a job.
bool GatewayProgram::mayStoreJobsOf(const Route& route, const Tenant* tenant) const {
  const auto zones = request::allowedZones(route, tenant, settings_.zones);
  const auto& stores = feed_->view().stores;
  return !zones || std::all_of(stores.begin(), stores.end(),
                               [&](const fleet::StoreAddress& store) { return zones->contains(store.zone); });
}

Awaitable<void> GatewayProgram::handleOnline(const std::shared_ptr<const RouteTable>& routes, const Route& route,
                                             const Tenant* tenant, Instant received_at,
                                             const connection::HttpRequest& request,
                                             connection::ResponseWriter& writer) {
  if (!has_crash_reports_) {
    std::function<bool()> is_open = [this] { return has_crash_reports_; };
    const bool passed = co_await awaitStartup(std::move(is_open), kMissingCrashReports, received_at, request, writer);
    if (!passed) co_return;
  }
  if (tenant != nullptr && tenant->limits.online_requests_per_second > 0) {
    LimitedRequest limited = limitedRequest(route, *tenant, request);
    const Status admitted = co_await rate_limits_.admit(*tenant, std::move(limited), writer);
    if (!isOk(admitted) && errorOf(admitted).kind == ErrorKind::kCancelled) {
      ++counters_.caller_left;
      writer.abort();
      logEvent(LogLevel::kInfo, "caller_left_before_credit",
               {{"request", request.header(dialect_->headers().request_id)}, {"tenant", tenant->id.value}});
      co_return;
    }
    if (!isOk(admitted)) {
      Error error = errorOf(admitted);
      co_await refuse(request, writer, std::move(error));
      co_return;
    }
  }
  ServiceId service = split_.choose(route);
  ExchangeContext context{*dialect_,
                          engines_,
                          selector_,
                          counters_,
                          settings_.zone,
                          settings_.zones,
                          gate_,
                          placement_,
                          settings_.load.zone_line,
                          crashes_,
                          answering_prompts_,
                          trials_,
                          streams_,
                          *slow_readers_,
                          stop_,
                          feed_->hasCurrentBuilds(monotonicNow()),
                          received_at};
  ExchangeRun run(context, routes, route, tenant, std::move(service), request, writer);
  co_await run.run();
}

LimitedRequest GatewayProgram::limitedRequest(const Route& route, const Tenant& tenant,
                                              const connection::HttpRequest& request) const {
  LimitedRequest limited;
  limited.id = request.header(dialect_->headers().request_id);
  limited.bytes = request.body.size();
  if (!settings_.load.return_appointments) return limited;
  const Duration remaining = readMilliseconds(request.header(dialect_->headers().remaining_ms)).value_or(route.timeout);
  limited.credit_request = request::creditRequestFor(route.objective, std::min(remaining, route.timeout), remaining);
  limited.credit_request.content =
      request::contentHash({tenant.id.value, request.method, request.header("Host"), request.target, request.body});
  if (settings_.load.ordered_waiting) limited.credit_request.rank = route.priority;
  return limited;
}

}  // namespace hatchfork::exchange
