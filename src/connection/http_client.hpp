#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "connection/asio.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::connection {

struct HttpClientRequest {
  std::string method = "GET";
  /// Path with query.
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
};

/// One request in progress whose response body is read piece by piece. Destroying it before the end closes the
/// connection, which cancels the request at the far side.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual unsigned status() const = 0;
  virtual std::string_view header(std::string_view name) const = 0;
  /// Next piece of the body as soon as bytes are there; empty at the proper end. A connection that ends early is
  /// `kUpstreamFailed`, a read longer than `timeout` is `kDeadlineExceeded`.
  virtual Awaitable<Result<std::string>> readSome(Duration timeout) = 0;
  /// Ends the exchange from outside a pending read, which then fails. Same thread.
  virtual void cancel() = 0;
};

/// HTTP/1.1 client with kept-alive connections for each endpoint. Belongs to one thread and its io_context.
///
/// Errors: `kUnavailable` with executed "no" when no connection could be made, so that the request was surely not sent;
/// `kUpstreamFailed` or `kDeadlineExceeded` with executed "unknown" after any byte may have been sent.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& context);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request and reads the response header within `timeout`.
  Awaitable<Result<std::unique_ptr<HttpExchange>>> open(Endpoint endpoint, HttpClientRequest request, Duration timeout);
  /// Sends the request and reads the whole response within `timeout` for the header and again for each body piece.
  Awaitable<Result<HttpResponse>> fetch(Endpoint endpoint, HttpClientRequest request, Duration timeout);

  asio::io_context& context();

  struct Pool;

 private:
  std::shared_ptr<Pool> pool_;
};

}  // namespace hatchfork::connection
