#include "connection/http_client.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <optional>

#include "connection/answer_head.hpp"

namespace hatchfork::connection {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t kMostIdlePerEndpoint = 256;
constexpr std::size_t kPieceBytes = 16384;
constexpr Duration kConnectTimeout = std::chrono::seconds(2);
/// What is held of an answer before it is parsed: its header, trailers, heads of chunks. More breaks the connection.
constexpr std::size_t kMaxUnparsedBytes = 64u << 10;
/// Interim answers that may come before the answer; with more, the connection carries none.
constexpr int kMaxInterimAnswers = 8;

Error notSent(const Endpoint& endpoint, const std::string& cause) {
  return Error{ErrorKind::kUnavailable,
               "cannot connect to " + toString(endpoint) + ": " + cause,
               "check that the peer runs and the address is right",
               Executed::kNo,
               {}};
}

Error afterSend(const beast::error_code& error) {
  const bool timeout = error == beast::error::timeout;
  return Error{timeout ? ErrorKind::kDeadlineExceeded : ErrorKind::kUpstreamFailed,
               timeout ? "the peer did not answer in time" : "the connection to the peer broke: " + error.message(),
               "ask again with the same idempotency key",
               Executed::kUnknown,
               {}};
}

/// A connection with the bytes read ahead of the parser.
struct Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
};

/// False if the far side has closed or sent unasked bytes while the connection was idle.
bool isUsable(Connection& connection) {
  char byte = 0;
  const ssize_t received = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

/// Idle connections of one client; exchanges keep it alive to give their connection back.
struct HttpClient::Pool {
  explicit Pool(asio::io_context& io_context) : context(io_context) {}

  std::unique_ptr<Connection> takeIdle(const Endpoint& endpoint) {
    std::vector<std::unique_ptr<Connection>>& list = idle[endpoint];
    while (!list.empty()) {
      std::unique_ptr<Connection> connection = std::move(list.back());
      list.pop_back();
      if (isUsable(*connection)) return connection;
    }
    return nullptr;
  }

  void giveBack(const Endpoint& endpoint, std::unique_ptr<Connection> connection) {
    std::vector<std::unique_ptr<Connection>>& list = idle[endpoint];
    if (list.size() < kMostIdlePerEndpoint) list.push_back(std::move(connection));
  }

  asio::io_context& context;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle;
};

namespace {

class BeastExchange : public HttpExchange {
 public:
  BeastExchange(std::shared_ptr<HttpClient::Pool> pool, Endpoint endpoint, std::unique_ptr<Connection> connection)
      : pool_(std::move(pool)), endpoint_(std::move(endpoint)), connection_(std::move(connection)) {}

  Awaitable<Status> start(const HttpClientRequest& request, Duration timeout) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, toString(endpoint_));
    for (const HttpHeader& header : request.headers) message.set(header.name, header.value);
    message.body() = request.body;
    message.prepare_payload();
    beast::error_code error;
    connection_->stream.expires_after(timeout);
    co_await http::async_write(connection_->stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return afterSend(error);
    for (int heads = 0; heads <= kMaxInterimAnswers; ++heads) {
      const Status head = co_await readHead();
      if (!isOk(head)) co_return head;
      if (isInterimStatus(status())) continue;
      giveBackIfDone();
      co_return okStatus();
    }
    co_return afterSend(http::error::bad_status);
  }

  unsigned status() const override { return parser_->get().result_int(); }

  std::string_view header(std::string_view name) const override {
    const auto found = parser_->get().find(beast::string_view(name.data(), name.size()));
    if (found == parser_->get().end()) return {};
    return std::string_view(found->value().data(), found->value().size());
  }

  Awaitable<Result<std::string>> readSome(Duration timeout) override {
    std::string piece;
    while (!parser_->is_done() && piece.empty()) {
      piece.resize(kPieceBytes);
      parser_->get().body().data = piece.data();
      parser_->get().body().size = piece.size();
      beast::error_code error;
      connection_->stream.expires_after(timeout);
      co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
      if (error == http::error::need_buffer) error = {};
      piece.resize(piece.size() - parser_->get().body().size);
      if (error) co_return afterSend(error);
    }
    giveBackIfDone();
    co_return piece;
  }

  void cancel() override {
    if (connection_) connection_->stream.cancel();
  }

 private:
  Awaitable<Status> readHead() {
    parser_.emplace();
    parser_->body_limit(boost::none);
    while (true) {
      beast::error_code error = parseHead(*parser_, connection_->buffer);
      if (error) co_return afterSend(error);
      if (parser_->is_header_done()) co_return okStatus();
      const std::size_t room = kMaxUnparsedBytes - connection_->buffer.size();
      const std::size_t bytes = co_await connection_->stream.async_read_some(
          connection_->buffer.prepare(std::min(kPieceBytes, room)), asio::redirect_error(asio::use_awaitable, error));
      connection_->buffer.commit(bytes);
      if (error) co_return afterSend(error);
    }
  }

  void giveBackIfDone() {
    if (!connection_ || !parser_->is_done()) return;
    if (parser_->keep_alive() && connection_->buffer.size() == 0) {
      connection_->stream.expires_never();
      pool_->giveBack(endpoint_, std::move(connection_));
    }
    connection_.reset();
  }

  std::shared_ptr<HttpClient::Pool> pool_;
  Endpoint endpoint_;
  std::unique_ptr<Connection> connection_;
  std::optional<AnswerParser> parser_;
};

Awaitable<Result<std::unique_ptr<Connection>>> connectTo(asio::io_context& context, Endpoint endpoint) {
  auto connection = std::make_unique<Connection>(context);
  boost::system::error_code error;
  const asio::ip::address address = asio::ip::make_address(endpoint.host, error);
  if (error) co_return notSent(endpoint, error.message());
  const tcp::endpoint target(address, endpoint.port);
  connection->stream.expires_after(kConnectTimeout);
  co_await connection->stream.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return notSent(endpoint, error.message());
  connection->stream.socket().set_option(tcp::no_delay(true), error);
  co_return std::move(connection);  // cppcheck-suppress returnStdMoveLocal
}

}  // namespace

HttpClient::HttpClient(asio::io_context& context) : pool_(std::make_shared<Pool>(context)) {}
HttpClient::~HttpClient() = default;

asio::io_context& HttpClient::context() {
  return pool_->context;
}

Awaitable<Result<std::unique_ptr<HttpExchange>>> HttpClient::open(Endpoint endpoint, HttpClientRequest request,
                                                                  Duration timeout) {
  std::shared_ptr<Pool> pool = pool_;
  std::unique_ptr<Connection> connection = pool->takeIdle(endpoint);
  if (!connection) {
    Result<std::unique_ptr<Connection>> fresh = co_await connectTo(pool->context, endpoint);
    if (!isOk(fresh)) co_return errorOf(fresh);
    connection = std::move(valueOf(fresh));
  }
  auto exchange = std::make_unique<BeastExchange>(pool, endpoint, std::move(connection));
  const Status started = co_await exchange->start(request, timeout);
  if (!isOk(started)) co_return errorOf(started);
  std::unique_ptr<HttpExchange> opened = std::move(exchange);
  co_return std::move(opened);  // cppcheck-suppress returnStdMoveLocal
}

Awaitable<Result<HttpResponse>> HttpClient::fetch(Endpoint endpoint, HttpClientRequest request, Duration timeout) {
  Result<std::unique_ptr<HttpExchange>> opened = co_await open(std::move(endpoint), std::move(request), timeout);
  if (!isOk(opened)) co_return errorOf(opened);
  HttpExchange& exchange = *valueOf(opened);
  HttpResponse response;
  response.status = exchange.status();
  for (const char* name : {"Content-Type", "Retry-After", "X-Hatchfork-Next", "X-Hatchfork-Total"}) {
    const std::string_view value = exchange.header(name);
    if (!value.empty()) response.headers.push_back(HttpHeader{name, std::string(value)});
  }
  while (true) {
    Result<std::string> piece = co_await exchange.readSome(timeout);
    if (!isOk(piece)) co_return errorOf(piece);
    if (valueOf(piece).empty()) break;
    response.body += valueOf(piece);
  }
  co_return response;
}

}  // namespace hatchfork::connection
