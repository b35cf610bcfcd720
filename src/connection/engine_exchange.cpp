#include "connection/engine_exchange.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <utility>

#include "connection/answer_head.hpp"
#include "connection/engine_connection.hpp"
#include "connection/request_write.hpp"

namespace hatchfork::connection {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr Duration kConnectTimeout = fromMillis(160);
constexpr Duration kSilentPeerTimeout = fromMillis(1500);
constexpr std::size_t kMostIdlePerEngine = 64;
constexpr std::size_t kPieceBytes = 4096;
constexpr std::uint32_t kLargestHead = 64u << 10;
/// An engine sends the head of an answer at once. Longer than a pause of its machine may take.
constexpr Duration kHeadTimeout = std::chrono::seconds(1);
/// Interim and surplus answers that may come before the answer to a request, and bytes of surplus bodies; with more,
/// the connection carries no answers.
constexpr int kMostOtherAnswers = 8;
constexpr std::size_t kMostSurplusBytes = 1u << 20;
constexpr Duration kAcknowledgementPoll = fromMillis(5);

}  // namespace

struct EngineClient::Pool {
  Pool(asio::io_context& io_context, std::shared_ptr<SlowReaders> readers)
      : context(io_context), slow_readers(std::move(readers)) {}

  EngineConnectionPtr takeIdle(const EngineId& engine, const Endpoint& endpoint, Instant now) {
    std::vector<EngineConnectionPtr>& list = idle[engine];
    while (!list.empty()) {
      EngineConnectionPtr connection = std::move(list.back());
      list.pop_back();
      if (connection->endpoint == endpoint && isUsable(*connection, now)) return connection;
    }
    return nullptr;
  }

  void giveBack(const EngineId& engine, EngineConnectionPtr connection) {
    std::vector<EngineConnectionPtr>& list = idle[engine];
    if (list.size() >= kMostIdlePerEngine) return;
    connection->idle_since = monotonicNow();
    list.push_back(std::move(connection));
  }

  asio::io_context& context;
  std::shared_ptr<SlowReaders> slow_readers;
  std::map<EngineId, std::vector<EngineConnectionPtr>> idle;
  std::uint64_t made = 0;
  std::uint64_t reused = 0;
};

namespace {

class PooledExchange final : public EngineExchange, public std::enable_shared_from_this<PooledExchange> {
 public:
  PooledExchange(std::shared_ptr<EngineClient::Pool> pool, EngineRequest request, std::function<bool()> may_send)
      : pool_(std::move(pool)), request_(std::move(request)), may_send_(std::move(may_send)), timer_(pool_->context) {}

  ~PooledExchange() override { close(); }

  Awaitable<std::optional<ExchangeFailure>> start(Instant deadline) {
    connection_ = pool_->takeIdle(request_.engine, request_.endpoint, monotonicNow());
    if (connection_) {
      ++pool_->reused;
    } else {
      std::optional<ExchangeFailure> failed = co_await connect(deadline);
      if (failed) co_return failed;
    }
    if (may_send_ && !may_send_()) co_return withhold();
    reused_ = connection_->served > 0;
    ++connection_->served;
    write();
    co_return co_await readHead(deadline);
  }

  unsigned status() const override { return parser_->get().result_int(); }

  std::string_view header(std::string_view name) const override {
    const auto found = parser_->get().find(beast::string_view(name.data(), name.size()));
    if (found == parser_->get().end()) return {};
    return std::string_view(found->value().data(), found->value().size());
  }

  std::vector<HttpHeader> headers() const override {
    std::vector<HttpHeader> fields;
    for (const auto& field : parser_->get()) {
      fields.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
    }
    return fields;
  }

  Awaitable<AnswerPiece> read(Instant deadline) override {
    std::string piece;
    while (!parser_->is_done() && piece.empty()) {
      std::optional<ExchangeFailure> failed = co_await readPiece(piece, deadline);
      if (failed) co_return *failed;
    }
    if (!piece.empty()) co_return piece;
    const bool framed = parser_->chunked() || parser_->content_length().has_value();
    finish();
    co_return EndOfAnswer{framed};
  }

  void cancel() override {
    cancelled_ = true;
    timer_.cancel();
    // A read that is in flight ends with an error later, and still uses the buffer then: the connection itself must
    // stay until its coroutine has gone on.
    boost::system::error_code ignored;
    if (connection_) connection_->socket.close(ignored);
  }

  bool reused() const override { return reused_; }

 private:
  Awaitable<std::optional<ExchangeFailure>> connect(Instant deadline) {
    connection_ = std::make_shared<EngineConnection>(pool_->context);
    connection_->endpoint = request_.endpoint;
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(request_.endpoint.host, error), request_.endpoint.port);
    if (!error) {
      arm(std::min(deadline, monotonicNow() + kConnectTimeout));
      co_await connection_->socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
      timer_.cancel();
    }
    if (error || timed_out_ || cancelled_) {
      ExchangeFailure failure = failureOf(error);
      failure.may_have_run = false;
      failure.closed_by_engine = false;
      failure.cause = "connect: " + failure.cause;
      connection_.reset();
      co_return failure;
    }
    ++pool_->made;
    connection_->socket.set_option(tcp::no_delay(true), error);
    detectSilentPeer(connection_->socket, kSilentPeerTimeout);
    co_return std::nullopt;
  }

  /// Keeps the connection for another request.
  ExchangeFailure withhold() {
    pool_->giveBack(request_.engine, std::move(connection_));
    connection_.reset();
    ExchangeFailure failure;
    failure.may_have_run = false;
    failure.was_withheld = true;
    failure.cause = "withheld";
    return failure;
  }

  /// Counts the request until the engine has read it.
  std::shared_ptr<HeldBytes> offerBytes(std::size_t bytes) {
    if (!pool_->slow_readers) return nullptr;
    auto let_go = [weak = weak_from_this()] {
      const std::shared_ptr<PooledExchange> self = weak.lock();
      if (!self) return;
      self->reads_too_slowly_ = true;
      self->cancel();
    };
    std::shared_ptr<HeldBytes> held =
        pool_->slow_readers->hold(PeerSide::kEngine, request_.engine.value, bytes, std::move(let_go));
    held->offer();
    return held;
  }

  /// Sends the whole request beside the wait for the answer, which may come before the request has been read.
  void write() {
    auto bytes = std::make_shared<std::string>(encodeRequest(request_));
    request_.body.clear();
    auto write = std::make_shared<RequestWrite>(pool_->context);
    write_ = write;
    const std::shared_ptr<HeldBytes> held = offerBytes(bytes->size());
    const NoteProgress progress{held.get()};
    asio::async_write(connection_->socket, asio::buffer(*bytes), progress,
                      [bytes, write, held, connection = connection_](boost::system::error_code error, std::size_t) {
                        write->noteEnd(error);
                      });
  }

  Awaitable<std::optional<ExchangeFailure>> readHead(Instant deadline) {
    for (int others = 0; others <= kMostOtherAnswers; ++others) {
      parser_.emplace();
      parser_->body_limit(boost::none);
      parser_->header_limit(kLargestHead);
      std::optional<ExchangeFailure> failed = co_await readOneHead(deadline);
      if (failed) co_return failAnd(std::move(*failed));
      const bool interim = isInterimStatus(status());
      if (!interim && isOwnAnswer()) co_return std::nullopt;
      if (interim) continue;
      failed = co_await skipAnswer(deadline);
      if (failed) co_return failAnd(std::move(*failed));
    }
    co_return failAnd(ExchangeFailure{true, false, "answers of other requests without end"});
  }

  /// Reads a head until `deadline`, and for no longer than `kHeadTimeout` from its first byte on.
  Awaitable<std::optional<ExchangeFailure>> readOneHead(Instant deadline) {
    bool has_begun = false;
    arm(deadline);
    while (true) {
      const beast::error_code error = parseHead(*parser_, connection_->buffer);
      if (error) co_return failureOf(error);
      if (parser_->is_header_done()) break;
      const bool begins = connection_->buffer.size() > 0 && !std::exchange(has_begun, true);
      if (begins) arm(std::min(deadline, monotonicNow() + kHeadTimeout));
      std::optional<ExchangeFailure> failed = co_await readMore();
      if (failed) co_return failed;
    }
    timer_.cancel();
    co_return std::nullopt;
  }

  /// An answer without any identifier is taken only if the engine could not read the request.
  bool isOwnAnswer() const {
    const std::string_view echoed = header(request_.echo_name);
    if (echoed.empty()) return parser_->get().result_int() >= 400 && !reused_;
    return echoed == request_.echo_value;
  }

  /// Reads a surplus answer that belongs to an earlier request.
  Awaitable<std::optional<ExchangeFailure>> skipAnswer(Instant deadline) {
    const bool framed = parser_->chunked() || parser_->content_length().has_value();
    if (!framed) co_return ExchangeFailure{true, false, "an answer of another request without a length"};
    const Instant until = std::min(deadline, monotonicNow() + kHeadTimeout);
    std::size_t bytes = 0;
    while (!parser_->is_done()) {
      std::string piece;
      std::optional<ExchangeFailure> failed = co_await readPiece(piece, until);
      if (failed) co_return failed;
      bytes += piece.size();
      if (bytes > kMostSurplusBytes) co_return ExchangeFailure{true, false, "an answer of another request without end"};
    }
    co_return std::nullopt;
  }

  Awaitable<std::optional<ExchangeFailure>> readPiece(std::string& piece, Instant deadline) {
    if (!connection_) co_return ExchangeFailure{true, false, "cancelled"};
    piece.resize(kPieceBytes);
    parser_->get().body().data = piece.data();
    parser_->get().body().size = piece.size();
    parser_->get().body().more = true;
    arm(deadline);
    std::optional<ExchangeFailure> failed;
    std::size_t framing_bytes = 0;
    while (!failed && !parser_->is_done() && parser_->get().body().size == piece.size()) {
      failed = co_await parseSome(framing_bytes);
    }
    timer_.cancel();
    if (failed) co_return failAnd(std::move(*failed));
    piece.resize(piece.size() - parser_->get().body().size);
    co_return std::nullopt;
  }

  /// Parses what was read, or reads more where that is not enough. `framing_bytes`: number of bytes so far that were
  /// not part of the body.
  Awaitable<std::optional<ExchangeFailure>> parseSome(std::size_t& framing_bytes) {
    beast::error_code error;
    if (connection_->buffer.size() > 0) {
      const std::size_t used = parser_->put(connection_->buffer.data(), error);
      connection_->buffer.consume(used);
      framing_bytes += used;
      const bool is_unfinished = error == http::error::need_more || error == http::error::need_buffer;
      if (error && !is_unfinished) co_return failureOf(error);
      if (used > 0) co_return std::nullopt;
    }
    if (framing_bytes + connection_->buffer.size() > kLargestHead) {
      co_return ExchangeFailure{true, false, "an answer whose framing has no end"};
    }
    co_return co_await readMore();
  }

  /// Reads more bytes of an answer; the end of the connection may be that of an answer that has begun.
  Awaitable<std::optional<ExchangeFailure>> readMore() {
    beast::error_code error;
    const std::size_t bytes = co_await connection_->socket.async_read_some(
        connection_->buffer.prepare(kPieceBytes), asio::redirect_error(asio::use_awaitable, error));
    connection_->buffer.commit(bytes);
    if (error == asio::error::eof && parser_->got_some() && !cancelled_ && !timed_out_) {
      error = {};
      parser_->put_eof(error);
      if (!error) error = co_await awaitTaken();
    }
    if (error || cancelled_ || timed_out_) co_return failureOf(error);
    co_return std::nullopt;
  }

  /// Waits until the engine's machine has the whole request, and returns the error of a connection that breaks before.
  /// An answer that ends with its connection is whole only if that did not break, and the connection's one error may
  /// have gone to the write, after which a read shows a proper end.
  Awaitable<boost::system::error_code> awaitTaken() {
    const std::shared_ptr<RequestWrite> write = write_;
    const EngineConnectionPtr connection = connection_;
    const boost::system::error_code error = co_await write->awaitEnd();
    if (error) co_return error;
    while (!cancelled_ && !timed_out_ && hasUnacknowledgedBytes(connection->socket)) {
      co_await sleepFor(kAcknowledgementPoll);
    }
    if (isBroken(connection->socket)) co_return asio::error::make_error_code(asio::error::connection_reset);
    co_return boost::system::error_code();
  }

  void arm(Instant deadline) {
    timed_out_ = false;
    timer_.expires_after(std::max(Duration::zero(), deadline - monotonicNow()));
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      const std::shared_ptr<PooledExchange> self = weak.lock();
      if (error || !self || !self->connection_) return;
      self->timed_out_ = true;
      boost::system::error_code ignored;
      self->connection_->socket.cancel(ignored);
    });
  }

  ExchangeFailure failureOf(const boost::system::error_code& error) const {
    ExchangeFailure failure;
    failure.timed_out = timed_out_;
    failure.closed_by_engine = !timed_out_ && !cancelled_;
    failure.cause = cancelled_ ? "cancelled" : timed_out_ ? "timeout" : error.message();
    if (reads_too_slowly_) failure.cause = "the engine reads too slowly";
    return failure;
  }

  ExchangeFailure failAnd(ExchangeFailure failure) {
    close();
    return failure;
  }

  void close() {
    if (!connection_) return;
    boost::system::error_code ignored;
    connection_->socket.close(ignored);
    connection_.reset();
  }

  /// The answer is whole: the connection is kept if nothing is left on it either way.
  void finish() {
    if (!connection_) return;
    const bool whole =
        parser_->is_done() && parser_->keep_alive() && write_->isDone() && connection_->buffer.size() == 0;
    if (!whole) {
      close();
      return;
    }
    connection_->idle_time = idleTimeOf(header("Keep-Alive"));
    pool_->giveBack(request_.engine, std::move(connection_));
    connection_.reset();
  }

  std::shared_ptr<EngineClient::Pool> pool_;
  EngineRequest request_;
  std::function<bool()> may_send_;
  Timer timer_;
  EngineConnectionPtr connection_;
  std::optional<AnswerParser> parser_;
  /// Null until the request is sent.
  std::shared_ptr<RequestWrite> write_;
  bool reused_ = false;
  bool timed_out_ = false;
  bool cancelled_ = false;
  bool reads_too_slowly_ = false;
};

/// Lets the owner hold the exchange alone although timers refer to it.
class OwnedExchange final : public EngineExchange {
 public:
  explicit OwnedExchange(std::shared_ptr<PooledExchange> exchange) : exchange_(std::move(exchange)) {}
  ~OwnedExchange() override { exchange_->cancel(); }
  unsigned status() const override { return exchange_->status(); }
  std::string_view header(std::string_view name) const override { return exchange_->header(name); }
  std::vector<HttpHeader> headers() const override { return exchange_->headers(); }
  Awaitable<AnswerPiece> read(Instant deadline) override { return exchange_->read(deadline); }
  void cancel() override { exchange_->cancel(); }
  bool reused() const override { return exchange_->reused(); }

 private:
  std::shared_ptr<PooledExchange> exchange_;
};

}  // namespace

EngineClient::EngineClient(asio::io_context& context, std::shared_ptr<SlowReaders> slow_readers)
    : pool_(std::make_shared<Pool>(context, std::move(slow_readers))) {}
EngineClient::~EngineClient() = default;

Awaitable<ExchangeStart> EngineClient::open(EngineRequest request, Instant deadline,
                                            std::shared_ptr<ExchangeControl> control) {
  std::function<bool()> may_send = control ? control->may_send : nullptr;
  auto exchange = std::make_shared<PooledExchange>(pool_, std::move(request), std::move(may_send));
  if (control) {
    control->cancel = [weak = std::weak_ptr<PooledExchange>(exchange)] {
      if (const auto running = weak.lock()) running->cancel();
    };
  }
  std::optional<ExchangeFailure> failed = co_await exchange->start(deadline);
  if (failed) co_return std::move(*failed);
  std::unique_ptr<EngineExchange> owned = std::make_unique<OwnedExchange>(std::move(exchange));
  co_return std::move(owned);  // cppcheck-suppress returnStdMoveLocal
}

Awaitable<EngineReachability> EngineClient::probe(EngineId engine, Endpoint endpoint) {
  const std::shared_ptr<Pool> pool = pool_;
  auto connection = std::make_shared<EngineConnection>(pool->context);
  connection->endpoint = endpoint;
  auto timer = std::make_shared<Timer>(pool->context);
  timer->expires_after(kConnectTimeout);
  timer->async_wait([connection](boost::system::error_code error) {
    boost::system::error_code ignored;
    if (!error) connection->socket.close(ignored);
  });
  boost::system::error_code error;
  const tcp::endpoint target(asio::ip::make_address(endpoint.host, error), endpoint.port);
  if (!error) co_await connection->socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  timer->cancel();
  if (error == asio::error::connection_refused) co_return EngineReachability::kEnded;
  if (error) co_return EngineReachability::kUnknown;
  ++pool->made;
  connection->socket.set_option(tcp::no_delay(true), error);
  detectSilentPeer(connection->socket, kSilentPeerTimeout);
  pool->giveBack(engine, std::move(connection));
  co_return EngineReachability::kListening;
}

void EngineClient::closeIdle(const std::function<bool(const EngineId&)>& in_use) {
  const Instant now = monotonicNow();
  for (auto& [engine, list] : pool_->idle) {
    const bool wanted = in_use(engine);
    std::erase_if(list, [&](const EngineConnectionPtr& connection) { return !wanted || !isUsable(*connection, now); });
  }
  std::erase_if(pool_->idle, [](const auto& entry) { return entry.second.empty(); });
}

std::uint64_t EngineClient::connectionsMade() const {
  return pool_->made;
}
std::uint64_t EngineClient::connectionsReused() const {
  return pool_->reused;
}

}  // namespace hatchfork::connection
