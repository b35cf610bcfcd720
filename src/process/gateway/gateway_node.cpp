#include "process/gateway/gateway_node.hpp"

#include <fmt/format.h>

#include <random>

#include "common/log.hpp"
#include "connection/stop_signal.hpp"
#include "process/gateway/caller_request.hpp"

namespace hatchfork::gateway {

using connection::Awaitable;
using connection::HttpResponse;
using connection::monotonicNow;

namespace {

constexpr Duration kRenewTimeout = fromMillis(900);
constexpr Duration kStopPollInterval = fromMillis(20);

std::uint64_t drawSession() {
  std::random_device source;
  // Fits a JSON number of 53 bits.
  return ((std::uint64_t{source()} << 20) ^ source()) & ((std::uint64_t{1} << 53) - 1);
}

OnlineHandlerOptions onlineOptions(const GatewaySettings& settings, std::uint64_t session) {
  OnlineHandlerOptions options;
  options.batch_groups = settings.batch_groups;
  options.engine_timeout = settings.engine_timeout;
  options.id_prefix = fmt::format("{}-{:x}", settings.name.value, session);
  return options;
}

BatchRunnerOptions runnerOptions(const GatewaySettings& settings, std::uint64_t session) {
  BatchRunnerOptions options;
  options.gateway = settings.name;
  options.session = session;
  options.batch_groups = settings.batch_groups;
  options.engine_timeout = settings.engine_timeout;
  return options;
}

}  // namespace

GatewayNode::GatewayNode(GatewaySettings settings)
    : settings_(std::move(settings)),
      session_(drawSession()),
      control_(control_context_, settings_.replicas),
      watch_(settings_.name, session_, settings_.zone),
      client_(traffic_context_),
      traffic_(settings_.name, settings_.zone, session_),
      batch_runner_(runnerOptions(settings_, session_), traffic_, client_, control_),
      online_(onlineOptions(settings_, session_), traffic_, client_, control_,
              [this](const std::vector<request::AttemptId>& attempts) { batch_runner_.pause(attempts); }),
      batch_api_(traffic_, control_, settings_.batch_groups,
                 [this](GroupId group) { batch_runner_.noteSealed(group); }),
      load_poller_(traffic_, client_) {}

GatewayNode::~GatewayNode() = default;

Status GatewayNode::run() {
  connection::HttpServerOptions http_options;
  http_options.listen = settings_.listen;
  http_options.largest_body = settings_.largest_body;
  auto handler = [this](const connection::HttpRequest& request, connection::ResponseWriter& writer) {
    return handle(request, writer);
  };
  server_ = std::make_unique<connection::HttpServer>(
      traffic_context_, std::vector<connection::asio::io_context*>{&traffic_context_}, http_options, handler);
  const Status listening = server_->start();
  if (!isOk(listening)) return listening;
  control_.start();
  connection::asio::co_spawn(control_context_, renewLoop(), connection::asio::detached);
  connection::asio::co_spawn(traffic_context_, batch_runner_.run(), connection::asio::detached);
  connection::asio::co_spawn(traffic_context_, load_poller_.run(), connection::asio::detached);
  connection::asio::co_spawn(traffic_context_, stopOnSignal(), connection::asio::detached);
  logEvent(LogLevel::kInfo, "gateway_started", {{"listen", toString(settings_.listen)}, {"session", session_}});
  std::thread traffic_thread([this] { traffic_context_.run(); });
  control_context_.run();
  traffic_thread.join();
  logEvent(LogLevel::kInfo, "gateway_stopped");
  return okStatus();
}

Awaitable<void> GatewayNode::renewLoop() {
  while (true) {
    if (!renewal_in_flight_) sendRenewal();
    control_bytes_ = control_.totalBytes();
    const bool has_configuration = watch_.configuration() != nullptr;
    co_await connection::sleepFor(has_configuration ? settings_.renew_interval : fromMillis(50));
  }
}

void GatewayNode::sendRenewal() {
  renewal_in_flight_ = true;
  const Instant sent_at = monotonicNow();
  control_.call(kConfigurationGroup, watch_.makeRequest(), kRenewTimeout,
                [this, sent_at](const control::ControlReply& reply) { takeRenewal(sent_at, reply); });
}

void GatewayNode::takeRenewal(Instant sent_at, const control::ControlReply& reply) {
  renewal_in_flight_ = false;
  const auto* renewed = std::get_if<control::RenewConfigurationReply>(&reply);
  if (renewed == nullptr) return;
  const bool changed = watch_.takeReply(sent_at, *renewed);
  if (watch_.wantsMore()) sendRenewal();
  connection::asio::post(traffic_context_, [this, busy = watch_.busyGroups()] { batch_runner_.setBusyGroups(busy); });
  if (changed) {
    publishVersion();
    return;
  }
  connection::asio::post(traffic_context_, [this, until = watch_.leaseUntil()] { traffic_.renewLease(until); });
}

void GatewayNode::publishVersion() {
  std::vector<request::LiveGateway> gateways;
  for (const control::LiveGateway& gateway : watch_.liveGateways()) {
    gateways.push_back(request::LiveGateway{gateway.gateway, gateway.zone});
  }
  const bool listed = std::any_of(gateways.begin(), gateways.end(),
                                  [this](const request::LiveGateway& gateway) { return gateway.id == settings_.name; });
  if (!listed) gateways.push_back(request::LiveGateway{settings_.name, settings_.zone});
  auto version =
      std::make_shared<const GatewayVersion>(watch_.configuration(), std::move(gateways), watch_.leavingEngines());
  logEvent(LogLevel::kInfo, "configuration_in_force",
           {{"revision", version->configuration().revision}, {"gateways", version->liveGatewayCount()}});
  connection::asio::post(traffic_context_, [this, version, until = watch_.leaseUntil()] {
    traffic_.takeVersion(monotonicNow(), version, until);
    ready_ = true;
  });
}

Awaitable<void> GatewayNode::handle(const connection::HttpRequest& request, connection::ResponseWriter& writer) {
  const bool is_post = request.method == "POST";
  const bool is_completion = request.path == "/v1/chat/completions" || request.path == "/v1/completions";
  if (is_post && is_completion) {
    co_await online_.handle(request, writer);
    co_return;
  }
  HttpResponse response;
  if (request.path == "/healthz") {
    response = connection::jsonResponse(200, R"({"status":"ok"})");
  } else if (request.path == "/readyz") {
    const bool ready = ready_ && !stopping_ && traffic_.leaseInForce(monotonicNow());
    response =
        connection::jsonResponse(ready ? 200 : 503, ready ? R"({"status":"ready"})" : R"({"status":"not_ready"})");
  } else if (request.path == "/metrics") {
    response = metricsResponse();
  } else if (request.path == "/v1/models" && request.method == "GET") {
    response = modelsResponse(request);
  } else if (request.path.starts_with("/v1/batches")) {
    response = co_await batch_api_.respond(request);
  } else {
    response = connection::errorResponse(Error{ErrorKind::kNotFound,
                                               "no such resource: " + request.method + " " + request.path,
                                               "see the callers' interface in the README",
                                               Executed::kNo,
                                               {}});
  }
  co_await writer.send(std::move(response));
}

HttpResponse GatewayNode::modelsResponse(const connection::HttpRequest& request) const {
  const GatewayVersion* version = traffic_.version();
  if (version == nullptr) {
    return connection::errorResponse(Error{ErrorKind::kUnavailable, "no configuration yet", "come back in a second",
                                           Executed::kNo, fromMillis(1000)});
  }
  const Result<const Tenant*> tenant = authenticate(*version, request);
  if (!isOk(tenant)) return connection::errorResponse(errorOf(tenant));
  nlohmann::json data = nlohmann::json::array();
  for (const auto& [id, service] : version->configuration().services) {
    if (!isOk(version->serviceFor(*valueOf(tenant), id.value))) continue;
    data.push_back(nlohmann::json{{"id", id}, {"object", "model"}});
  }
  return connection::jsonResponse(200, nlohmann::json{{"object", "list"}, {"data", data}}.dump());
}

HttpResponse GatewayNode::metricsResponse() const {
  const TrafficCounters& counters = const_cast<GatewayNode*>(this)->traffic_.counters();
  std::string text;
  const auto add = [&text](std::string_view name, std::uint64_t value) { text += fmt::format("{} {}\n", name, value); };
  add("hatchfork_traffic_online_accepted_total", counters.online_accepted);
  add("hatchfork_traffic_online_completed_total", counters.online_completed);
  add("hatchfork_traffic_online_refused_total", counters.online_refused);
  add("hatchfork_traffic_online_failed_total", counters.online_failed);
  add("hatchfork_traffic_online_tokens_total", counters.online_tokens);
  add("hatchfork_traffic_retries_total", counters.retries);
  add("hatchfork_traffic_resumes_total", counters.resumes);
  add("hatchfork_traffic_batch_items_total", counters.batch_items_run);
  add("hatchfork_traffic_batch_pauses_total", counters.batch_pauses);
  add("hatchfork_traffic_batch_tokens_total", counters.batch_tokens);
  add("hatchfork_traffic_batch_items_held", batch_runner_.heldItems());
  const request::PolicyCounters& policies = traffic_.policies().counters();
  add("hatchfork_traffic_online_in_flight", traffic_.policies().inFlight());
  add("hatchfork_traffic_policy_denied_total", policies.denied);
  add("hatchfork_traffic_policy_failed_total", policies.failed);
  add("hatchfork_traffic_policy_shed_total", policies.shed);
  add("hatchfork_control_bytes_total", control_bytes_);
  if (traffic_.version() != nullptr) {
    add("hatchfork_control_configuration_revision", traffic_.version()->configuration().revision);
  }
  HttpResponse response;
  response.headers.push_back(connection::HttpHeader{"Content-Type", "text/plain; version=0.0.4"});
  response.body = std::move(text);
  return response;
}

/// Planned stop: not ready at once; requests are still taken and answered, each closing its connection, during the
/// linger; then idle connections are closed, running requests and batch items end, held items are given back.
Awaitable<void> GatewayNode::stopOnSignal() {
  co_await connection::awaitStopSignal();
  logEvent(LogLevel::kInfo, "planned_stop_started");
  stopping_ = true;
  server_->startDraining();
  batch_runner_.startDraining();
  co_await connection::sleepFor(settings_.linger);
  server_->stopAccepting();
  const Instant give_up = monotonicNow() + settings_.drain_timeout;
  while (monotonicNow() < give_up && (server_->openConnections() > 0 || !batch_runner_.isDrained())) {
    co_await connection::sleepFor(kStopPollInterval);
  }
  if (server_->activeRequests() > 0) {
    logEvent(LogLevel::kWarning, "drain_timeout", {{"requests", server_->activeRequests()}});
  }
  connection::asio::post(control_context_, [this] {
    control_.stop();
    control_context_.stop();
  });
  traffic_context_.stop();
}

}  // namespace hatchfork::gateway
