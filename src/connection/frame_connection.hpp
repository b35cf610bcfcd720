#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "connection/asio.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::connection {

/// Largest frame taken or sent: a batch part or a snapshot chunk with room to spare.
constexpr std::uint32_t kLargestFrame = 32u << 20;

/// One TCP connection that carries length-prefixed frames (32-bit big-endian length, then the body) both ways. An
/// oversize frame closes only this connection. Belongs to one thread.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  using FrameHandler = std::function<void(std::string body)>;
  using CloseHandler = std::function<void()>;

  FrameConnection(tcp::socket socket, FrameHandler on_frame, CloseHandler on_close);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  /// Starts to read. Keep the object in a shared_ptr.
  void start();
  /// Queues a frame; drops it and closes the connection when the far side has stopped reading.
  void send(const std::string& body);
  void close();
  bool isOpen() const { return open_; }
  /// What all connections of the process may hold together that peers have not taken, in bytes. Beyond it a peer that
  /// has not taken its share loses its connection. Unless set, each connection has a bound of its own alone.
  static void setOutboxLimit(std::size_t bytes);
  /// What all connections hold now. May be asked by any thread.
  static std::size_t outboxBytesOfProcess();
  /// Bytes of the frames that all connections are receiving or handling now. May be asked by any thread.
  static std::size_t incomingBytesOfProcess();
  /// Bytes sent and received so far, frame headers included; the control plane's cost is read from these.
  std::uint64_t bytesSent() const { return bytes_sent_; }
  std::uint64_t bytesReceived() const { return bytes_received_; }

 private:
  Awaitable<void> readLoop();
  Awaitable<void> writeLoop();
  /// True if the frame would be more than this connection may hold, by itself or beside all others.
  bool isOverfull(std::size_t frame_bytes) const;
  void noteOutbox(std::size_t added, std::size_t taken);

  tcp::socket socket_;
  FrameHandler on_frame_;
  CloseHandler on_close_;
  std::deque<std::string> outbox_;
  std::size_t outbox_bytes_ = 0;
  bool writing_ = false;
  bool open_ = true;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

/// A connection to one fixed endpoint that is made again after a failure, with growing pauses. Frames sent while it is
/// down are dropped: the users of this class resend by their own timers.
class ReconnectingLink : public std::enable_shared_from_this<ReconnectingLink> {
 public:
  using StateHandler = std::function<void(bool connected)>;

  ReconnectingLink(asio::io_context& context, Endpoint endpoint, FrameConnection::FrameHandler on_frame,
                   StateHandler on_state);

  void start();
  void stop();
  /// False if the link is down and the frame was dropped.
  bool send(const std::string& body);
  /// Sends now, or when the connection comes up within a moment; for messages that are of use only while they are new.
  void sendSoon(std::string body);
  /// The far side is known to be up: a link that waits for its next try, or for the end of one, connects at once.
  void retryNow();
  bool isConnected() const { return connection_ && connection_->isOpen(); }
  const Endpoint& endpoint() const { return endpoint_; }
  /// Bytes both ways over all connections of this link.
  std::uint64_t totalBytes() const;

 private:
  Awaitable<void> run();
  void onClosed();
  void flushWaiting();

  asio::io_context& context_;
  Endpoint endpoint_;
  FrameConnection::FrameHandler on_frame_;
  StateHandler on_state_;
  std::shared_ptr<FrameConnection> connection_;
  /// Cancelled to wake `run` when the connection has closed or the link is stopped.
  Timer closed_;
  std::uint64_t bytes_of_closed_ = 0;
  /// Frames of `sendSoon` that wait for the connection, oldest first.
  struct WaitingFrame {
    std::string body;
    Instant since;
  };
  std::deque<WaitingFrame> waiting_;
  std::size_t waiting_bytes_ = 0;
  bool stopped_ = false;
  bool retry_now_ = false;
  Instant retried_at_{};
  /// Of the try in flight.
  std::shared_ptr<tcp::socket> connecting_;
};

}  // namespace hatchfork::connection
