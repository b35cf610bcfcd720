#include "connection/slow_readers.hpp"

#include <catch2/catch.hpp>

#include "connection/engine_exchange.hpp"
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"

namespace hatchfork::connection {
namespace {

constexpr std::uint16_t kPort = 39431;
constexpr std::size_t kSlowCallers = 500;
constexpr std::size_t kAnswerBytes = 256u << 10;
constexpr std::size_t kMostBytes = 8u << 20;
constexpr Duration kLongTimeout = std::chrono::seconds(20);
constexpr Duration kSlowPause = std::chrono::seconds(1);
const Endpoint kServer{"127.0.0.1", kPort};

/// Patience in a tenth of the usual, so that the test takes seconds.
request::ByteBudgetLimits shortLimits() {
  request::ByteBudgetLimits limits;
  limits.most_bytes = kMostBytes;
  limits.patience = fromMillis(1000);
  limits.silence_limit_under_pressure = fromMillis(300);
  limits.min_silence_limit = fromMillis(100);
  return limits;
}

/// A server that answers as a gateway does, with what it collected, and callers on the same thread.
class SlowStage {
 public:
  SlowStage() : readers(std::make_shared<SlowReaders>(context, shortLimits())), client(context) {
    HttpServerOptions options;
    options.listen = kServer;
    options.slow_readers = readers;
    auto handler = [this](const HttpRequest& request, ResponseWriter& writer) { return handle(request, writer); };
    server = std::make_unique<HttpServer>(context, std::vector<asio::io_context*>{&context}, options, handler);
    REQUIRE(isOk(server->start()));
    readers->start();
  }

  Awaitable<void> handle(const HttpRequest& request, ResponseWriter& writer) {
    if (request.path == "/stream") {
      co_await writer.startStream(200, {});
      bool open = true;
      while (open) open = co_await writer.writeChunk(std::string(16 << 10, 's'));
      ++streams_ended;
      co_return;
    }
    HttpResponse response;
    response.status = 200;
    const std::size_t wanted = request.path == "/big" ? kAnswerBytes : 1000;
    {
      const std::unique_ptr<HeldBytes> held = readers->collect("answer");
      while (response.body.size() < wanted) {
        const bool has_room = co_await readers->awaitRoom(held.get(), monotonicNow() + kLongTimeout);
        if (!has_room) co_return;
        const std::size_t piece = std::min<std::size_t>(4096, wanted - response.body.size());
        held->add(piece);
        response.body.append(piece, 'a');
        most_held = std::max(most_held, readers->bytes());
      }
    }
    co_await writer.send(std::move(response));
  }

  /// Asks for a long answer and reads a byte a second; counts how the answer ends.
  Awaitable<void> readSlowly(std::string target) {
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.open(tcp::v4(), error);
    socket.set_option(asio::socket_base::receive_buffer_size(4096), error);
    const tcp::endpoint endpoint(asio::ip::make_address(kServer.host), kServer.port);
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    char byte = 0;
    while (!error && !stopped) {
      co_await asio::async_read(socket, asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
      if (!hurries) co_await sleepFor(kSlowPause);
    }
    // The end of the connection itself, not a proper close behind the last byte of an answer.
    if (error == asio::error::connection_reset) ++resets;
    if (error == asio::error::eof) ++proper_ends;
  }

  Awaitable<void> ask(std::string target) {
    HttpClientRequest request;
    request.method = "GET";
    request.target = std::move(target);
    const Result<HttpResponse> response = co_await client.fetch(kServer, std::move(request), kLongTimeout);
    if (isOk(response) && valueOf(response).status == 200 && valueOf(response).body.size() == 1000) ++served;
  }

  template <class Body>
  void run(Body body) {
    auto wrapped = [&]() -> Awaitable<void> {
      co_await body();
      stopped = true;
      context.stop();
    };
    asio::co_spawn(context, wrapped(), asio::detached);
    context.run();
  }

  asio::io_context context;
  std::shared_ptr<SlowReaders> readers;
  HttpClient client;
  std::unique_ptr<HttpServer> server;
  std::size_t most_held = 0;
  std::size_t served = 0;
  std::size_t resets = 0;
  std::size_t proper_ends = 0;
  std::size_t streams_ended = 0;
  /// Slow callers read what they still have at once, so that they see how it ends.
  bool hurries = false;
  bool stopped = false;
};

}  // namespace

TEST_CASE("Five hundred callers that read a byte a second leave room for others", "[slow_readers]") {
  SlowStage stage;
  constexpr std::size_t kAsked = 40;
  auto body = [&]() -> Awaitable<void> {
    for (std::size_t i = 0; i < kSlowCallers; ++i) {
      asio::co_spawn(stage.context, stage.readSlowly(i % 2 == 0 ? "/big" : "/stream"), asio::detached);
    }
    for (std::size_t i = 0; i < kAsked; ++i) {
      co_await stage.ask("/small");
      co_await sleepFor(fromMillis(100));
    }
    const Instant give_up = monotonicNow() + kLongTimeout;
    while (stage.readers->counters().callers_let_go < kSlowCallers / 2 && monotonicNow() < give_up) {
      co_await sleepFor(fromMillis(50));
    }
    stage.hurries = true;
    while (stage.resets < kSlowCallers / 2 && monotonicNow() < give_up) co_await sleepFor(fromMillis(50));
  };
  stage.run(body);
  CHECK(stage.served == kAsked);
  CHECK(stage.most_held <= kMostBytes);
  CHECK(stage.readers->counters().callers_let_go >= kSlowCallers / 2);
  // Nobody who was let go can take what it has for whole.
  CHECK(stage.resets >= kSlowCallers / 2);
  CHECK(stage.proper_ends == 0);
}

TEST_CASE("A stream whose caller takes nothing ends as a broken one", "[slow_readers]") {
  SlowStage stage;
  auto body = [&]() -> Awaitable<void> {
    asio::co_spawn(stage.context, stage.readSlowly("/stream"), asio::detached);
    const Instant give_up = monotonicNow() + kLongTimeout;
    while (stage.resets == 0 && monotonicNow() < give_up) {
      co_await sleepFor(fromMillis(50));
      stage.hurries = stage.readers->counters().callers_let_go > 0;
    }
  };
  stage.run(body);
  CHECK(stage.readers->counters().callers_let_go == 1);
  CHECK(stage.streams_ended == 1);
  CHECK(stage.resets == 1);
  CHECK(stage.readers->bytes() == 0);
}

TEST_CASE("A caller that reads all the time is never let go", "[slow_readers]") {
  SlowStage stage;
  std::size_t received = 0;
  auto body = [&]() -> Awaitable<void> {
    tcp::socket socket(stage.context);
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(kServer.host), kServer.port);
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    const std::string request = "GET /big HTTP/1.1\r\nHost: x\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    std::string piece(16 << 10, '\0');
    while (!error && received < kAnswerBytes) {
      received +=
          co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
      co_await sleepFor(fromMillis(60));
    }
  };
  stage.run(body);
  CHECK(received >= kAnswerBytes);
  CHECK(stage.readers->counters().callers_let_go == 0);
}

TEST_CASE("An engine that stops reading a long request is let go, and its request has perhaps run", "[slow_readers]") {
  asio::io_context context;
  auto readers = std::make_shared<SlowReaders>(context, shortLimits());
  readers->start();
  const tcp::endpoint endpoint(asio::ip::make_address(kServer.host), kServer.port);
  tcp::acceptor acceptor(context, endpoint);
  std::vector<tcp::socket> accepted;
  acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) { accepted.push_back(std::move(socket)); });
  std::optional<ExchangeFailure> failure;
  EngineClient engines(context, readers);
  auto body = [&]() -> Awaitable<void> {
    EngineRequest request;
    request.engine = EngineId("i-1");
    request.endpoint = kServer;
    request.method = "POST";
    request.target = "/";
    request.body.assign(32u << 20, 'x');
    ExchangeStart started = co_await engines.open(std::move(request), monotonicNow() + kLongTimeout, nullptr);
    if (auto* failed = std::get_if<ExchangeFailure>(&started)) failure = *failed;
    // The write that was cut off gives its bytes back.
    co_await sleepFor(fromMillis(50));
    context.stop();
  };
  asio::co_spawn(context, body(), asio::detached);
  context.run();
  REQUIRE(failure);
  CHECK(failure->may_have_run);
  CHECK(failure->cause == "the engine reads too slowly");
  CHECK(readers->counters().engines_let_go == 1);
  CHECK(readers->bytes() == 0);
}

}  // namespace hatchfork::connection
