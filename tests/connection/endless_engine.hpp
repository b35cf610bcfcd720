#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "connection/asio.hpp"

namespace hatchfork::connection {

/// An engine on loopback that answers its first request with `begin` and then `piece` again and again, with a pause
/// before each, until the connection is closed.
class EndlessEngine {
 public:
  EndlessEngine(asio::io_context& context, std::string begin, std::string piece, Duration pause)
      : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        socket_(context),
        timer_(context),
        next_(std::move(begin)),
        piece_(std::move(piece)),
        pause_(pause) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code error) {
      if (error) return;
      asio::async_read_until(socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
                             [this](boost::system::error_code, std::size_t) { write(); });
    });
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  bool isClosed() const { return is_closed_; }
  /// Number of bytes that the other side, or its machine, has taken.
  std::size_t written() const { return written_; }

 private:
  void write() {
    asio::async_write(socket_, asio::buffer(next_), [this](boost::system::error_code error, std::size_t bytes) {
      written_ += bytes;
      is_closed_ = static_cast<bool>(error);
      if (error) return;
      next_ = piece_;
      timer_.expires_after(pause_);
      timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) write();
      });
    });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  Timer timer_;
  std::string request_;
  std::string next_;
  std::string piece_;
  Duration pause_;
  bool is_closed_ = false;
  std::size_t written_ = 0;
};

}  // namespace hatchfork::connection
