#pragma once

#include <functional>
#include <vector>

#include "connection/http_client.hpp"
#include "process/control/platform_view.hpp"

namespace hatchfork::node {

/// Fetches the platform's list of machines about twice a second and reports the leaving engines. While the list can't
/// be had, the last one stands. Control replicas poll, and tell gateways in their lease renewals, so that the load on
/// the platform and the bytes of control don't grow with the gateways. Control thread.
class PlatformPoller {
 public:
  using Handler = std::function<void(std::vector<EngineId> leaving)>;

  PlatformPoller(connection::HttpClient& client, connection::Endpoint platform, Handler on_list);
  connection::Awaitable<void> run();

 private:
  connection::HttpClient& client_;
  connection::Endpoint platform_;
  Handler on_list_;
  control::PlatformView view_;
};

}  // namespace hatchfork::node
