#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "connection/engine_attempt.hpp"
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/gateway/caller_request.hpp"
#include "process/gateway/service_traffic.hpp"
#include "process/subscription/control_client.hpp"

namespace hatchfork::gateway {

struct OnlineHandlerOptions {
  std::uint32_t batch_groups = 2;
  Duration engine_timeout = fromMillis(10000);
  /// Opens the identifiers of this process's requests; unique for each process start.
  std::string id_prefix;
};

/// Serves online completions: checks, limits, routing, retries, the relay of the answer. Traffic thread only.
class OnlineHandler {
 public:
  /// Pauses batch attempts that must give way.
  using PauseHandler = std::function<void(const std::vector<request::AttemptId>&)>;

  OnlineHandler(OnlineHandlerOptions options, TrafficState& traffic, connection::HttpClient& client,
                connection::ControlClient& control, PauseHandler pause);

  connection::Awaitable<void> handle(const connection::HttpRequest& request, connection::ResponseWriter& writer);

 private:
  struct Relay;

  connection::Awaitable<Status> admitAndRun(const connection::HttpRequest& request, connection::ResponseWriter& writer);
  connection::Awaitable<Status> claimRun(const CallerRequest& caller);
  connection::Awaitable<Status> runWithRetries(const CallerRequest& caller, connection::ResponseWriter& writer);
  connection::Awaitable<connection::AttemptEnd> runAttempt(const CallerRequest& caller,
                                                           const request::RouteRequest& route, Relay& relay,
                                                           const EngineId& engine, ServiceTraffic& service);
  Status checkLease(Instant now, const Service* service) const;

  OnlineHandlerOptions options_;
  TrafficState& traffic_;
  connection::HttpClient& client_;
  connection::ControlClient& control_;
  PauseHandler pause_;
  std::uint64_t last_request_ = 0;
};

}  // namespace hatchfork::gateway
