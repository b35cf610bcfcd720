#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "connection/asio.hpp"

namespace hatchfork::connection {

/// What a scripted engine does after its bytes. An engine that ends stops listening before it closes the connection.
enum class AfterAnswer { kStaysSilent, kCloses, kResets, kEnds };

/// An engine on loopback that answers each connection with given bytes, and then stays silent, closes or resets it, or
/// ends.
class ScriptedEngine {
 public:
  ScriptedEngine(asio::io_context& context, std::string answer, AfterAnswer after = AfterAnswer::kStaysSilent)
      : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        answer_(std::move(answer)),
        after_(after) {
    accept();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t accepted() const { return sockets_.size(); }
  /// Heads of the requests, in the order of their connections.
  const std::vector<std::shared_ptr<std::string>>& requests() const { return requests_; }

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      auto held = std::make_shared<tcp::socket>(std::move(socket));
      sockets_.push_back(held);
      auto request = std::make_shared<std::string>();
      requests_.push_back(request);
      asio::async_read_until(*held, asio::dynamic_buffer(*request), "\r\n\r\n",
                             [this, held, request](boost::system::error_code, std::size_t) {
                               asio::async_write(*held, asio::buffer(answer_),
                                                 [this, held](boost::system::error_code, std::size_t) {
                                                   if (after_ == AfterAnswer::kStaysSilent) return;
                                                   if (after_ == AfterAnswer::kEnds) acceptor_.close();
                                                   const bool resets = after_ == AfterAnswer::kResets;
                                                   held->set_option(asio::socket_base::linger(resets, 0));
                                                   held->close();
                                                 });
                             });
      accept();
    });
  }

  tcp::acceptor acceptor_;
  std::string answer_;
  AfterAnswer after_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::shared_ptr<std::string>> requests_;
};

}  // namespace hatchfork::connection
