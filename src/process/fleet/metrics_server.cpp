#include "process/fleet/metrics_server.hpp"

#include <utility>

#include "common/log.hpp"

namespace hatchfork::fleet {

MetricsServer::MetricsServer(connection::asio::io_context& context, const FleetSettings& settings, Fill fill)
    : fill_(std::move(fill)) {
  if (!settings.metrics) return;
  path_ = settings.metrics->path;
  connection::HttpServerOptions options;
  options.largest_body = kMaxProbeBody;
  options.listen = connection::Endpoint{settings.address, settings.metrics->port};
  auto serve = [this](const connection::HttpRequest& request, connection::ResponseWriter& writer) {
    return handle(request, writer);
  };
  server_ = std::make_unique<connection::HttpServer>(context, std::vector<connection::asio::io_context*>{&context},
                                                     options, serve);
}

Status MetricsServer::start() {
  return server_ ? server_->start() : okStatus();
}

void fillGroupMetrics(metrics::MetricsPage& page, const consensus::GroupStatus& status) {
  page.gauge("hatchfork_group_leads", "One at the leader of the group.", status.role == consensus::Role::kLeader);
  page.gauge("hatchfork_group_term", "Term of the group.", static_cast<double>(status.term));
  page.gauge("hatchfork_group_committed", "Highest committed entry known here.", static_cast<double>(status.committed));
  page.gauge("hatchfork_group_members", "Members of the group, learners included.",
             static_cast<double>(status.membership.members.size()));
  page.gauge("hatchfork_group_log_bytes", "Bytes of the log on this disk.", static_cast<double>(status.log_bytes));
  page.gauge("hatchfork_group_snapshot_bytes", "Bytes of the current snapshot on this disk.",
             static_cast<double>(status.snapshot_bytes));
  page.gauge("hatchfork_group_fault", "One while the replica has stopped taking part.", status.fault ? 1 : 0);
}

connection::Awaitable<void> MetricsServer::handle(const connection::HttpRequest& request,
                                                  connection::ResponseWriter& writer) {
  connection::HttpResponse response;
  if (request.path == path_) {
    metrics::MetricsPage page;
    fill_(page);
    page.counter("hatchfork_log_lines_dropped_total", "Log lines dropped by budgets or a stalled reader.",
                 static_cast<double>(droppedLogLines()));
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = page.text();
  } else {
    response =
        connection::errorResponse(Error{ErrorKind::kNotFound, "no such page", "ask for " + path_, Executed::kNo, {}});
  }
  co_await writer.send(std::move(response));
}

void fillReleaseMetrics(metrics::MetricsPage& page, ReleaseNumber least_peer, std::uint64_t frames_passed_over) {
  page.gauge("hatchfork_release", "Release of this process, as it tells others.", kThisRelease);
  page.gauge("hatchfork_least_peer_release", "What all peers can read; zero for releases that tell none.", least_peer);
  page.counter("hatchfork_frames_passed_over_total", "Frames of a kind that this release does not know.",
               static_cast<double>(frames_passed_over));
}

}  // namespace hatchfork::fleet
