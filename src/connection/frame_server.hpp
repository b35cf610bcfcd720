#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "common/result.hpp"
#include "connection/asio.hpp"
#include "connection/frame_connection.hpp"

namespace hatchfork::connection {

/// Accepts frame connections of other processes. Belongs to one thread.
class FrameServer {
 public:
  using ConnectionPtr = std::shared_ptr<FrameConnection>;
  using FrameHandler = std::function<void(std::string body, const ConnectionPtr& from)>;
  using CloseHandler = std::function<void(const ConnectionPtr& closed)>;

  FrameServer(asio::io_context& context, Endpoint listen, FrameHandler on_frame, CloseHandler on_close = nullptr);
  ~FrameServer();

  /// Binds and starts to accept. A port in use is `kUnavailable`.
  Status start();
  void stop();
  std::size_t connections() const { return connections_.size(); }

 private:
  void acceptNext();
  void adopt(tcp::socket socket);

  asio::io_context& context_;
  Endpoint listen_;
  FrameHandler on_frame_;
  CloseHandler on_close_;
  tcp::acceptor acceptor_;
  Timer retry_timer_;
  std::set<ConnectionPtr> connections_;
};

}  // namespace hatchfork::connection
