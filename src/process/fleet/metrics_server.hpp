#pragma once

#include <functional>
#include <memory>
#include <string>

#include "connection/http_server.hpp"
#include "process/consensus/replicated_group.hpp"
#include "process/fleet/fleet_settings.hpp"
#include "process/metrics/metrics_page.hpp"
#include "version/release.hpp"

namespace hatchfork::fleet {

/// Largest body at ports for probes and metrics, whose requests need none.
inline constexpr std::uint64_t kMaxProbeBody = 4096;

/// Serves a process's metrics at the address of its settings; does nothing where they name none. Belongs to one thread.
class MetricsServer {
 public:
  using Fill = std::function<void(metrics::MetricsPage& page)>;

  MetricsServer(connection::asio::io_context& context, const FleetSettings& settings, Fill fill);
  Status start();

 private:
  connection::Awaitable<void> handle(const connection::HttpRequest& request, connection::ResponseWriter& writer);

  std::string path_;
  Fill fill_;
  std::unique_ptr<connection::HttpServer> server_;
};

/// What every replica tells of its group.
void fillGroupMetrics(metrics::MetricsPage& page, const consensus::GroupStatus& status);
/// `least_peer`: what all peers can read.
void fillReleaseMetrics(metrics::MetricsPage& page, ReleaseNumber least_peer, std::uint64_t frames_passed_over);

}  // namespace hatchfork::fleet
