#pragma once

#include <set>

#include "connection/http_client.hpp"
#include "process/gateway/service_traffic.hpp"

namespace hatchfork::gateway {

/// Fetches the load reports of the engines that this gateway routes to, each about every 250 ms. A silent engine slows
/// down nothing but its own reports. Traffic thread only.
class LoadPoller {
 public:
  LoadPoller(TrafficState& traffic, connection::HttpClient& client);
  connection::Awaitable<void> run();

 private:
  connection::Awaitable<void> poll(ServiceId service, EngineId engine, connection::Endpoint endpoint);

  TrafficState& traffic_;
  connection::HttpClient& client_;
  std::set<EngineId> in_flight_;
};

}  // namespace hatchfork::gateway
