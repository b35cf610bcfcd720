#include "connection/frame_server.hpp"

#include "common/log.hpp"

namespace hatchfork::connection {

namespace {
constexpr Duration kAcceptRetryDelay = fromMillis(50);
}

FrameServer::FrameServer(asio::io_context& context, Endpoint listen, FrameHandler on_frame, CloseHandler on_close)
    : context_(context),
      listen_(std::move(listen)),
      on_frame_(std::move(on_frame)),
      on_close_(std::move(on_close)),
      acceptor_(context),
      retry_timer_(context) {}

FrameServer::~FrameServer() {
  stop();
}

Status FrameServer::start() {
  boost::system::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(listen_.host, error), listen_.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + toString(listen_) + ": " + error.message(),
                 "choose a free port and an address of this machine",
                 Executed::kNo,
                 {}};
  }
  acceptNext();
  return okStatus();
}

void FrameServer::stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  const std::set<ConnectionPtr> open = std::move(connections_);
  connections_.clear();
  for (const ConnectionPtr& open_connection : open) open_connection->close();
}

void FrameServer::acceptNext() {
  acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      adopt(std::move(socket));
      acceptNext();
      return;
    }
    logEvent(LogLevel::kWarning, "accept_failed", {{"cause", error.message()}});
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([this](boost::system::error_code wait_error) {
      if (!wait_error && acceptor_.is_open()) acceptNext();
    });
  });
}

void FrameServer::adopt(tcp::socket socket) {
  auto weak = std::make_shared<std::weak_ptr<FrameConnection>>();
  auto on_frame = [this, weak](std::string body) {
    const ConnectionPtr from = weak->lock();
    if (from) on_frame_(std::move(body), from);
  };
  auto on_close = [this, weak] {
    const ConnectionPtr closed = weak->lock();
    if (!closed) return;
    connections_.erase(closed);
    if (on_close_) on_close_(closed);
  };
  auto accepted = std::make_shared<FrameConnection>(std::move(socket), on_frame, on_close);
  *weak = accepted;
  connections_.insert(accepted);
  accepted->start();
}

}  // namespace hatchfork::connection
