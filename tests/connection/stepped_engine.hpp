#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "connection/asio.hpp"

namespace hatchfork::connection {

/// An engine on loopback that begins a stream on each connection and sends what the test tells it on the last one.
class SteppedEngine {
 public:
  /// `request`: identifier of the requests that it answers.
  SteppedEngine(asio::io_context& context, std::string request)
      : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), request_(std::move(request)) {
    accept();
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port()); }
  /// Number of streams that it has begun.
  std::size_t streams() const { return streams_; }
  void send(std::uint64_t event, const std::string& data) {
    sendChunk(fmt::format("id: {}\ndata: {}\n\n", event, data));
  }
  void end() { write("0\r\n\r\n"); }
  /// Breaks off the last stream; the engine goes on to listen.
  void breakOff() {
    boost::system::error_code ignored;
    sockets_.back()->close(ignored);
  }

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      auto held = std::make_shared<tcp::socket>(std::move(socket));
      auto head = std::make_shared<std::string>();
      asio::async_read_until(*held, asio::dynamic_buffer(*head), "\r\n\r\n",
                             [this, held, head](boost::system::error_code read_error, std::size_t) {
                               if (!read_error) begin(held);
                             });
      accept();
    });
  }

  void begin(const std::shared_ptr<tcp::socket>& socket) {
    sockets_.push_back(socket);
    ++streams_;
    write(
        fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    request_));
  }

  void sendChunk(const std::string& text) { write(fmt::format("{:x}\r\n{}\r\n", text.size(), text)); }
  void write(const std::string& bytes) { asio::write(*sockets_.back(), asio::buffer(bytes)); }

  tcp::acceptor acceptor_;
  std::string request_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::size_t streams_ = 0;
};

}  // namespace hatchfork::connection
