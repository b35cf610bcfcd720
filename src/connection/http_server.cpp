#include "connection/http_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <unordered_set>

#include "common/log.hpp"
#include "connection/http_conversion.hpp"

namespace hatchfork::connection {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr Duration kAcceptRetryDelay = fromMillis(50);
/// When a caller whose long body found no room comes back: peers that take nothing are let go within that.
constexpr Duration kComeBackAfter = std::chrono::seconds(2);
/// Time for a caller to take the end of its last answer.
constexpr Duration kDeliveryTimeout = std::chrono::seconds(5);
/// What the kernel buffers for a caller: more would hide from the process that the caller reads slowly.
constexpr int kSendBufferBytes = 128 << 10;
/// Bodies up to this size are read whatever else is held.
constexpr std::uint64_t kSmallBody = 64u << 10;
/// A header with more fields counts as held: its tables weigh many times its bytes.
constexpr std::size_t kOrdinaryFields = 100;
/// Estimated memory of a field in all tables, besides its bytes.
constexpr std::size_t kFieldBytes = 200;
/// Bytes that may be read beyond what a header may take.
constexpr std::size_t kReadAheadBytes = 4096;

Error requestError(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), Executed::kNo, {}};
}

}  // namespace

class HttpSession;

/// What the connections of one server share; outlives the server object until the last connection has ended.
struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared> {
  Shared(asio::io_context& context, HttpServerOptions server_options, HttpHandler server_handler)
      : acceptor(context),
        retry_timer(context),
        options(std::move(server_options)),
        handler(std::move(server_handler)) {}

  tcp::acceptor acceptor;
  Timer retry_timer;
  std::vector<asio::io_context*> contexts;
  std::size_t next_context = 0;
  HttpServerOptions options;
  HttpHandler handler;
  std::atomic<bool> draining{false};
  std::atomic<bool> closing_idle{false};
  std::atomic<std::uint32_t> active_requests{0};
  std::atomic<std::uint32_t> open_connections{0};
  std::mutex sessions_mutex;
  std::unordered_set<HttpSession*> sessions;
};

/// One caller's connection: reads requests in turn and runs the handler for each. Lives in its own coroutine's frame,
/// on one thread.
class HttpSession : public ResponseWriter, public std::enable_shared_from_this<HttpSession> {
  using Parser = http::request_parser<http::string_body>;

 public:
  HttpSession(tcp::socket socket, std::shared_ptr<HttpServer::Shared> shared)
      : stream_(std::move(socket)), shared_(std::move(shared)) {
    boost::system::error_code error;
    const tcp::endpoint peer = stream_.socket().remote_endpoint(error);
    if (!error) peer_ = peer.address().to_string();
    ++shared_->open_connections;
    const std::lock_guard lock(shared_->sessions_mutex);
    shared_->sessions.insert(this);
  }

  ~HttpSession() override {
    --shared_->open_connections;
    const std::lock_guard lock(shared_->sessions_mutex);
    shared_->sessions.erase(this);
  }

  Awaitable<void> run() {
    bool more = true;
    while (more) more = co_await serveOne();
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    co_await awaitDelivery(stream_.socket(), kDeliveryTimeout);
  }

  /// Ends the connection if no request is being received or handled. Any thread.
  void closeIfIdle() {
    asio::post(stream_.get_executor(), [self = shared_from_this()] {
      if (self->idle_ && !self->hasUnreadBytes()) self->stream_.cancel();
    });
  }

  Awaitable<bool> send(HttpResponse response) override {
    http::response<http::string_body> message(static_cast<http::status>(response.status), version_);
    for (const HttpHeader& header : response.headers) message.insert(header.name, header.value);
    message.keep_alive(keep_alive_ && !shared_->draining);
    message.body() = std::move(response.body);
    message.prepare_payload();
    responded_ = true;
    beast::error_code error;
    boundWrite();
    const std::unique_ptr<HeldBytes> held = offerBytes(message.body().size());
    http::response_serializer<http::string_body> serializer(message);
    while (!error && !serializer.is_done()) {
      const std::size_t taken =
          co_await http::async_write_some(stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
      if (held) held->noteTaken(taken);
    }
    finished_ = !error;
    keep_alive_ = keep_alive_ && message.keep_alive();
    co_return finished_;
  }

  Awaitable<bool> startStream(unsigned status, std::vector<HttpHeader> headers) override {
    http::response<http::empty_body> message(static_cast<http::status>(status), version_);
    for (const HttpHeader& header : headers) message.insert(header.name, header.value);
    message.keep_alive(keep_alive_ && !shared_->draining);
    message.chunked(true);
    responded_ = true;
    keep_alive_ = keep_alive_ && message.keep_alive();
    http::response_serializer<http::empty_body> serializer(message);
    beast::error_code error;
    boundWrite();
    const std::unique_ptr<HeldBytes> held = offerBytes(kStreamHeadBytes);
    co_await http::async_write_header(stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
    if (error) peer_gone_ = true;
    co_return !error;
  }

  Awaitable<bool> writeChunk(std::string bytes) override {
    if (bytes.empty()) co_return !peer_gone_;
    beast::error_code error;
    boundWrite();
    const std::unique_ptr<HeldBytes> held = offerBytes(bytes.size());
    const auto chunk = http::make_chunk(asio::buffer(bytes));
    const NoteProgress progress{held.get()};
    co_await asio::async_write(stream_, chunk, progress, asio::redirect_error(asio::use_awaitable, error));
    if (error) peer_gone_ = true;
    co_return !error;
  }

  Awaitable<bool> finishStream() override {
    beast::error_code error;
    boundWrite();
    const std::unique_ptr<HeldBytes> held = offerBytes(kStreamEndBytes);
    const auto last = http::make_chunk_last();
    co_await asio::async_write(stream_, last, asio::redirect_error(asio::use_awaitable, error));
    finished_ = !error;
    co_return finished_;
  }

  void nameRequest(const std::string& name) override { request_name_ = name; }

  bool peerGone() const override { return peer_gone_; }

  void watchPeer(std::function<void()> on_gone) override {
    on_gone_ = std::move(on_gone);
    if (buffer_.size() > 0 || watching_) return;
    watching_ = true;
    stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
      self->watching_ = false;
      if (!error) self->lookForPeer();
    });
  }

  void abort() override {
    keep_alive_ = false;
    peer_gone_ = true;
    responded_ = true;
    // A reset tells the caller at once, also where the response had no length.
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
  }

 private:
  /// About what the head and the end of a stream weigh.
  static constexpr std::size_t kStreamHeadBytes = 512;
  static constexpr std::size_t kStreamEndBytes = 5;

  /// Bounds what is held before it is understood: the header, the head of a chunk and the trailers are parsed only once
  /// they are whole, and count against no other limit until then.
  void boundBuffer() {
    const std::size_t most = shared_->options.largest_header + kReadAheadBytes;
    buffer_.max_size(std::max(most, buffer_.size()));
  }

  /// Who reads too slowly is let go by the process's budget where there is one, else after the time of one write.
  void boundWrite() {
    if (shared_->options.slow_readers) {
      stream_.expires_never();
    } else {
      stream_.expires_after(shared_->options.write_timeout);
    }
  }

  /// Counts bytes of a request until it has ended: its body is kept to be sent again.
  std::unique_ptr<HeldBytes> holdRequestBytes(std::size_t bytes) {
    if (!shared_->options.slow_readers || bytes == 0) return nullptr;
    return shared_->options.slow_readers->hold(PeerSide::kCaller, peer_, bytes, nullptr);
  }

  /// Counts a header of many fields until the request has ended. False if there is no room for it.
  bool holdHeader(const Parser& parser) {
    const auto fields = static_cast<std::size_t>(std::distance(parser.get().begin(), parser.get().end()));
    if (!shared_->options.slow_readers || fields <= kOrdinaryFields) return true;
    if (!shared_->options.slow_readers->hasRoom()) return false;
    header_ = holdRequestBytes(fields * kFieldBytes);
    return true;
  }

  /// Counts bytes that wait for the caller, until what is returned is destroyed.
  std::unique_ptr<HeldBytes> offerBytes(std::size_t bytes) {
    if (!shared_->options.slow_readers) return nullptr;
    auto let_go = [weak = weak_from_this()] {
      if (const std::shared_ptr<HttpSession> self = weak.lock()) self->abort();
    };
    std::unique_ptr<HeldBytes> held =
        shared_->options.slow_readers->hold(PeerSide::kCaller, peer_ + ' ' + request_name_, bytes, std::move(let_go));
    held->offer();
    return held;
  }

  /// Reads the rest of a request whose header has come. A long body stays with its caller while there is no room; from
  /// its first byte on it counts as held.
  Awaitable<void> receiveBody(Parser& parser, beast::error_code& error) {
    const std::shared_ptr<SlowReaders>& readers = shared_->options.slow_readers;
    const std::uint64_t length = parser.content_length().value_or(shared_->options.largest_body);
    if (readers && length > kSmallBody) {
      const Instant deadline = monotonicNow() + shared_->options.request_timeout;
      const bool has_room = co_await readers->awaitRoom(nullptr, deadline);
      if (!has_room) {
        lacks_room_ = true;
        error = beast::error::timeout;
        co_return;
      }
    }
    body_ = holdRequestBytes(std::min(length, shared_->options.largest_body));
    co_await http::async_read(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
  }

  /// Readable while a handler is at work: the caller has left, or has sent its next request already.
  void lookForPeer() {
    if (!on_gone_) return;
    char byte = 0;
    const ssize_t received = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) return;
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    peer_gone_ = true;
    const std::function<void()> on_gone = std::move(on_gone_);
    on_gone_ = nullptr;
    on_gone();
  }

  void stopWatching() {
    on_gone_ = nullptr;
    if (!watching_) return;
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
  }

  /// True if the caller has sent bytes that the process has not read.
  bool hasUnreadBytes() {
    char byte = 0;
    return ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  /// Waits for the first byte of a request; false at the end of the connection or when idle connections are closed.
  Awaitable<bool> awaitFirstByte() {
    if (buffer_.size() > 0) co_return true;
    idle_ = true;
    if (shared_->closing_idle && !hasUnreadBytes()) co_return false;
    beast::error_code error;
    stream_.expires_after(shared_->options.idle_timeout);
    const auto space = buffer_.prepare(kReadAheadBytes);
    const std::size_t received =
        co_await stream_.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
    idle_ = false;
    buffer_.commit(received);
    co_return !error && received > 0;
  }

  /// Receives and answers one request; false when the connection is to end.
  Awaitable<bool> serveOne() {
    const bool has_request = co_await awaitFirstByte();
    if (!has_request) co_return false;
    ++shared_->active_requests;
    const bool keep = co_await receiveAndHandle();
    body_.reset();
    header_.reset();
    --shared_->active_requests;
    co_return keep;
  }

  Awaitable<bool> receiveAndHandle() {
    boundBuffer();
    Parser parser;
    parser.body_limit(shared_->options.largest_body);
    parser.header_limit(shared_->options.largest_header);
    beast::error_code error;
    // The stream's own timer would close the socket, and with it the way for the answer that says so.
    stream_.expires_never();
    auto timed_out = std::make_shared<bool>(false);
    Timer timer(stream_.get_executor());
    timer.expires_after(shared_->options.request_timeout);
    timer.async_wait([self = shared_from_this(), timed_out](boost::system::error_code wait_error) {
      if (wait_error) return;
      *timed_out = true;
      boost::system::error_code ignored;
      self->stream_.socket().cancel(ignored);
    });
    co_await http::async_read_header(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
    if (!error && !holdHeader(parser)) {
      lacks_room_ = true;
      error = beast::error::timeout;
      // Frees the tables of the header now: the answer may take seconds.
      parser.release();
    }
    if (!error && !parser.is_done()) co_await receiveBody(parser, error);
    timer.cancel();
    if (error && *timed_out) error = beast::error::timeout;
    version_ = 11;
    responded_ = false;
    finished_ = false;
    request_name_.clear();
    if (error) {
      co_await answerBadRequest(error);
      co_return false;
    }
    version_ = parser.get().version();
    keep_alive_ = parser.get().keep_alive();
    HttpRequest request = convertRequest(parser.release());
    request.peer = peer_;
    co_await runHandler(request);
    co_return finished_&& keep_alive_ && !peer_gone_;
  }

  Awaitable<void> runHandler(const HttpRequest& request) {
    std::string failure;
    try {
      co_await shared_->handler(request, *this);
    } catch (const std::exception& exception) {
      failure = exception.what();
    }
    stopWatching();
    if (failure.empty() && responded_) co_return;
    logEvent(LogLevel::kError, "request_handler_failed", {{"path", request.path}, {"cause", failure}});
    keep_alive_ = false;
    finished_ = false;
    if (responded_) co_return;
    HttpResponse response = errorResponse(Error{ErrorKind::kInternal,
                                                "the request could not be handled",
                                                "report the log line request_handler_failed",
                                                Executed::kUnknown,
                                                {}});
    co_await send(std::move(response));
  }

  Awaitable<void> answerBadRequest(const beast::error_code& error) {
    keep_alive_ = false;
    // Nothing more is parsed on this connection, and its end may take seconds.
    buffer_.clear();
    buffer_.shrink_to_fit();
    if (error == http::error::end_of_stream || error == asio::error::eof || error == asio::error::connection_reset ||
        error == asio::error::operation_aborted) {
      co_return;
    }
    if (lacks_room_) {
      co_await answerLackOfRoom();
      co_return;
    }
    Error cause = requestError(ErrorKind::kInvalidArgument, "malformed HTTP request: " + error.message(),
                               "send a well-formed HTTP/1.1 request");
    const bool header_too_large = error == http::error::header_limit || error == http::error::buffer_overflow;
    if (error == http::error::body_limit || header_too_large) {
      cause = requestError(ErrorKind::kTooLarge, "the request is larger than this server takes",
                           "split it; large batches go in numbered parts");
    }
    const bool too_slow = error == beast::error::timeout;
    if (too_slow) {
      cause = requestError(ErrorKind::kDeadlineExceeded, "the request did not arrive whole in time",
                           "send the whole request within the request timeout");
    }
    HttpResponse response = errorResponse(cause);
    if (too_slow) response.status = 408;
    if (header_too_large) response.status = 431;
    co_await send(std::move(response));
    co_await discardInput();
  }

  /// The request was not read to its end: others hold what there is.
  Awaitable<void> answerLackOfRoom() {
    logEvent(LogLevel::kWarning, "request_refused",
             {{"peer", peer_},
              {"cause", "no room for its header or its body"},
              {"held", shared_->options.slow_readers->bytes()},
              {"most", shared_->options.slow_readers->mostBytes()}});
    Error cause = requestError(ErrorKind::kOverloaded, "no room for the request now", "come back at the given time");
    cause.retry_after = kComeBackAfter;
    HttpResponse response = errorResponse(cause);
    co_await send(std::move(response));
    co_await discardInput();
  }

  /// Takes what the caller is still sending, for a short while, so that the error answer is not lost to a reset.
  Awaitable<void> discardInput() {
    beast::error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    stream_.expires_after(std::chrono::seconds(2));
    std::array<char, 16384> scratch;
    while (!error) {
      co_await stream_.async_read_some(asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, error));
    }
  }

  beast::tcp_stream stream_;
  /// IP number of the caller; empty if it had left before it was asked for.
  std::string peer_;
  std::string request_name_;
  std::shared_ptr<HttpServer::Shared> shared_;
  beast::flat_buffer buffer_;
  unsigned version_ = 11;
  bool idle_ = false;
  bool keep_alive_ = true;
  bool responded_ = false;
  bool finished_ = false;
  bool peer_gone_ = false;
  bool watching_ = false;
  /// The header and the body of the request at hand, as they count in the process's budget.
  std::unique_ptr<HeldBytes> header_;
  std::unique_ptr<HeldBytes> body_;
  /// A long body was not read, or a long header not kept, for lack of room.
  bool lacks_room_ = false;
  std::function<void()> on_gone_;
};

HttpServer::HttpServer(asio::io_context& acceptor_context, std::vector<asio::io_context*> connection_contexts,
                       HttpServerOptions options, HttpHandler handler)
    : shared_(std::make_shared<Shared>(acceptor_context, std::move(options), std::move(handler))) {
  shared_->contexts = std::move(connection_contexts);
}

HttpServer::~HttpServer() {
  boost::system::error_code ignored;
  shared_->acceptor.close(ignored);
}

Status HttpServer::start() {
  boost::system::error_code error;
  const Endpoint& listen = shared_->options.listen;
  const asio::ip::address address = asio::ip::make_address(listen.host, error);
  const tcp::endpoint endpoint(address, listen.port);
  if (!error) shared_->acceptor.open(endpoint.protocol(), error);
  if (!error) shared_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) shared_->acceptor.bind(endpoint, error);
  if (!error) shared_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + toString(listen) + ": " + error.message(),
                 "choose a free port and an address of this machine",
                 Executed::kNo,
                 {}};
  }
  acceptNext();
  return okStatus();
}

void HttpServer::acceptNext() {
  std::shared_ptr<Shared> shared = shared_;
  asio::io_context& context = *shared->contexts[shared->next_context++ % shared->contexts.size()];
  shared->acceptor.async_accept(context, [this, shared, &context](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !shared->acceptor.is_open()) return;
    if (error) {
      logEvent(LogLevel::kWarning, "accept_failed", {{"cause", error.message()}});
      shared->retry_timer.expires_after(kAcceptRetryDelay);
      shared->retry_timer.async_wait([this, shared](boost::system::error_code wait_error) {
        if (!wait_error && shared->acceptor.is_open()) acceptNext();
      });
      return;
    }
    if (shared->open_connections < shared->options.most_connections) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      if (shared->options.slow_readers) {
        socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
      }
      auto session = std::make_shared<HttpSession>(std::move(socket), shared);
      auto run = [session]() -> Awaitable<void> { co_await session->run(); };
      asio::co_spawn(context, std::move(run), asio::detached);
    }
    acceptNext();
  });
}

void HttpServer::startDraining() {
  shared_->draining = true;
}

void HttpServer::stopAccepting() {
  boost::system::error_code ignored;
  shared_->acceptor.close(ignored);
  shared_->draining = true;
  shared_->closing_idle = true;
  std::vector<std::shared_ptr<HttpSession>> sessions;
  {
    const std::lock_guard lock(shared_->sessions_mutex);
    for (HttpSession* session : shared_->sessions) sessions.push_back(session->weak_from_this().lock());
  }
  for (const std::shared_ptr<HttpSession>& session : sessions) {
    if (session) session->closeIfIdle();
  }
}

void HttpServer::setBounds(std::uint32_t largest_header, std::uint64_t largest_body, Duration request_timeout,
                           Duration idle_timeout) {
  shared_->options.largest_header = largest_header;
  shared_->options.largest_body = largest_body;
  shared_->options.request_timeout = request_timeout;
  shared_->options.idle_timeout = idle_timeout;
}

std::uint32_t HttpServer::activeRequests() const {
  return shared_->active_requests;
}
std::uint32_t HttpServer::openConnections() const {
  return shared_->open_connections;
}

}  // namespace hatchfork::connection
