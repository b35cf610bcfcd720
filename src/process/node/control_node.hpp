#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/frame_connection.hpp"
#include "connection/frame_server.hpp"
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/control/control_service.hpp"
#include "process/node/admin_api.hpp"
#include "process/node/control_settings.hpp"
#include "process/node/platform_poller.hpp"
#include "process/storage/posix_disk.hpp"
#include "process/subscription/wire_messages.hpp"

namespace hatchfork::node {

/// The control program: drives a `ControlService` with sockets, the real disk and the clock, all on one thread; only
/// disk syncs run on another.
class ControlNode {
 public:
  explicit ControlNode(ControlSettings settings);
  ~ControlNode();

  /// Runs until a planned stop has ended. Returns an error when the start failed.
  Status run();

 private:
  using ConnectionPtr = connection::FrameServer::ConnectionPtr;

  Status start();
  /// A frame that cannot be decoded closes only its own connection.
  void onFrame(const std::string& body, const ConnectionPtr& from);
  void onMessage(connection::WireMessage message, const ConnectionPtr& from);
  void answer(const connection::RequestFrame& frame, const ConnectionPtr& from);
  /// Sends what the service has ready.
  void flush();
  void announce();
  connection::Awaitable<void> tickLoop();
  connection::Awaitable<void> stopOnSignal();

  ControlSettings settings_;
  connection::asio::io_context context_;
  std::unique_ptr<PosixDisk> disk_;
  std::unique_ptr<control::ControlService> service_;
  std::unique_ptr<connection::FrameServer> peer_server_;
  std::map<ReplicaId, std::shared_ptr<connection::ReconnectingLink>> peers_;
  std::unique_ptr<AdminApi> admin_;
  std::unique_ptr<connection::HttpServer> admin_server_;
  connection::HttpClient http_client_;
  std::unique_ptr<PlatformPoller> platform_poller_;
  Instant next_announcement_{};
};

}  // namespace hatchfork::node
