#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "connection/asio.hpp"
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/control/configuration_watch.hpp"
#include "process/gateway/batch_api.hpp"
#include "process/gateway/batch_runner.hpp"
#include "process/gateway/gateway_settings.hpp"
#include "process/gateway/load_poller.hpp"
#include "process/gateway/online_handler.hpp"
#include "process/gateway/service_traffic.hpp"
#include "process/subscription/control_client.hpp"

namespace hatchfork::gateway {

/// The gateway program. The control thread keeps the configuration lease and the links to the control replicas; the
/// traffic thread serves callers, runs batch items and owns all routing state. They meet only in immutable versions,
/// handed over by `post`.
class GatewayNode {
 public:
  explicit GatewayNode(GatewaySettings settings);
  ~GatewayNode();

  /// Runs until a planned stop has ended. Returns an error when the start failed.
  Status run();

 private:
  connection::Awaitable<void> renewLoop();
  void sendRenewal();
  void takeRenewal(Instant sent_at, const control::ControlReply& reply);
  void publishVersion();
  connection::Awaitable<void> handle(const connection::HttpRequest& request, connection::ResponseWriter& writer);
  connection::Awaitable<void> stopOnSignal();
  connection::HttpResponse modelsResponse(const connection::HttpRequest& request) const;
  connection::HttpResponse metricsResponse() const;

  GatewaySettings settings_;
  std::uint64_t session_;
  // Control thread.
  connection::asio::io_context control_context_;
  connection::ControlClient control_;
  ConfigurationWatch watch_;
  bool renewal_in_flight_ = false;
  std::atomic<std::uint64_t> control_bytes_{0};
  // Traffic thread.
  connection::asio::io_context traffic_context_;
  connection::HttpClient client_;
  TrafficState traffic_;
  BatchRunner batch_runner_;
  OnlineHandler online_;
  BatchApi batch_api_;
  LoadPoller load_poller_;
  std::unique_ptr<connection::HttpServer> server_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> stopping_{false};
};

}  // namespace hatchfork::gateway
