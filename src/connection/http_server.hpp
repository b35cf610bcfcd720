#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "connection/asio.hpp"
#include "connection/http_types.hpp"
#include "connection/slow_readers.hpp"

namespace hatchfork::connection {

/// Sends the response to one request. Lives as long as the request's handler. Each method returns false when the
/// connection is gone; the handler should then stop its work.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Sends a whole response. Call once, and not after `startStream`.
  virtual Awaitable<bool> send(HttpResponse response) = 0;
  /// Sends the header of a chunked response.
  virtual Awaitable<bool> startStream(unsigned status, std::vector<HttpHeader> headers) = 0;
  virtual Awaitable<bool> writeChunk(std::string bytes) = 0;
  /// Sends the last chunk. A stream that is not finished is seen by the caller as cut off, never as whole.
  virtual Awaitable<bool> finishStream() = 0;
  /// True once the caller is known to have gone (end of file seen while the handler was at work).
  virtual bool peerGone() const = 0;
  /// Calls `on_gone` once if the caller leaves while the handler is at work. Nothing is noticed of a caller that has
  /// already sent its next request.
  virtual void watchPeer(std::function<void()> on_gone) = 0;
  /// Names the request in log lines of its connection.
  virtual void nameRequest(const std::string&) {}
  /// Ends the connection without a proper end of the response, so that the caller can't take it for whole.
  virtual void abort() = 0;
};

/// Handles one request; runs on the thread of the connection. Must call `send`, or `startStream` ... `finishStream`.
using HttpHandler = std::function<Awaitable<void>(const HttpRequest&, ResponseWriter&)>;

struct HttpServerOptions {
  Endpoint listen;
  /// Larger bodies are answered with 413 and the connection is closed.
  std::uint64_t largest_body = 16u << 20;
  /// Time to receive a whole request once its first byte has come; then 408 and close.
  Duration request_timeout = std::chrono::seconds(30);
  /// How long an idle keep-alive connection is kept.
  Duration idle_timeout = std::chrono::seconds(120);
  /// Time for the caller to take one write; a caller that never reads is cut off after it.
  Duration write_timeout = std::chrono::seconds(30);
  std::uint32_t most_connections = 10000;
  /// Largest header, trailer or head of a chunk; larger ones are answered with 431, and the connection is closed.
  std::uint32_t largest_header = 32u << 10;
  /// Counts what is held for callers that read slowly, and ends the connections of the slowest; then `write_timeout`
  /// bounds nothing. Long requests wait to be read while it has no room. Only with one thread of connections.
  std::shared_ptr<SlowReaders> slow_readers;
};

/// HTTP/1.1 server. Accepts on `acceptor_context` and spreads connections over `connection_contexts` in turn; a
/// connection stays on its thread. A handler that throws is answered with 500 and the connection is closed.
class HttpServer {
 public:
  HttpServer(asio::io_context& acceptor_context, std::vector<asio::io_context*> connection_contexts,
             HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts to accept. A port in use is `kUnavailable`.
  Status start();
  /// From now on each response carries `Connection: close`; connections are still accepted. Any thread.
  void startDraining();
  /// Stops accepting and closes idle connections; running requests go on, and what has arrived is read and answered.
  /// Acceptor thread.
  void stopAccepting();
  /// Requests being received or handled now. Any thread.
  std::uint32_t activeRequests() const;
  std::uint32_t openConnections() const;
  /// Changes the bounds for requests that begin from now on. Thread of the connections, which must be one.
  void setBounds(std::uint32_t largest_header, std::uint64_t largest_body, Duration request_timeout,
                 Duration idle_timeout);

  struct Shared;

 private:
  void acceptNext();

  std::shared_ptr<Shared> shared_;
};

}  // namespace hatchfork::connection
