#include <catch2/catch.hpp>

#include "connection/http_client.hpp"
#include "connection/http_server.hpp"

namespace hatchfork::connection {
namespace {

constexpr Duration kLongTimeout = std::chrono::seconds(20);
constexpr std::uint16_t kPort = 39411;
constexpr std::size_t kLargeAnswer = 2u << 20;

/// A server and a client on one io_context; `run` ends when the test's coroutine has ended.
class HttpFixture {
 public:
  HttpFixture() : client(context) {
    HttpServerOptions options;
    options.listen = Endpoint{"127.0.0.1", kPort};
    options.largest_body = 1000;
    auto handler = [this](const HttpRequest& request, ResponseWriter& writer) { return handle(request, writer); };
    server = std::make_unique<HttpServer>(context, std::vector<asio::io_context*>{&context}, options, handler);
  }

  Awaitable<void> handle(const HttpRequest& request, ResponseWriter& writer) {
    ++handled;
    if (request.path == "/throw") throw std::runtime_error("broken handler");
    if (request.path == "/stream") {
      co_await writer.startStream(200, {});
      for (int piece = 0; piece < 3; ++piece) co_await writer.writeChunk("piece" + std::to_string(piece) + ";");
      if (request.queryValue("whole") == "yes") co_await writer.finishStream();
      co_return;
    }
    const std::string body = request.path == "/large" ? std::string(kLargeAnswer, 'x') : request.path + request.body;
    co_await writer.send(jsonResponse(200, request.method + body));
  }

  template <class Body>
  void run(Body body) {
    REQUIRE(isOk(server->start()));
    std::exception_ptr failure;
    auto wrapped = [&]() -> Awaitable<void> {
      try {
        co_await body();
      } catch (...) {
        failure = std::current_exception();
      }
      context.stop();
    };
    asio::co_spawn(context, wrapped(), asio::detached);
    context.run();
    if (failure) std::rethrow_exception(failure);
  }

  Awaitable<Result<HttpResponse>> fetch(std::string target, std::string body = "") {
    HttpClientRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    return client.fetch(Endpoint{"127.0.0.1", kPort}, std::move(request), kLongTimeout);
  }

  asio::io_context context;
  HttpClient client;
  std::unique_ptr<HttpServer> server;
  int handled = 0;
};

TEST_CASE("requests on a kept connection are answered each with its own answer", "[http]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    for (int number = 0; number < 3; ++number) {
      const Result<HttpResponse> response = co_await fixture.fetch("/a" + std::to_string(number), "body");
      REQUIRE(isOk(response));
      CHECK(valueOf(response).body == "POST/a" + std::to_string(number) + "body");
    }
    CHECK(fixture.server->openConnections() == 1);
  });
}

TEST_CASE("a stream without its end is an error, with its end it is whole", "[http]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    const Result<HttpResponse> whole = co_await fixture.fetch("/stream?whole=yes");
    REQUIRE(isOk(whole));
    CHECK(valueOf(whole).body == "piece0;piece1;piece2;");
    const Result<HttpResponse> cut = co_await fixture.fetch("/stream");
    REQUIRE_FALSE(isOk(cut));
    CHECK(errorOf(cut).kind == ErrorKind::kUpstreamFailed);
    CHECK(errorOf(cut).executed == Executed::kUnknown);
  });
}

TEST_CASE("an oversize body and a throwing handler get their typed errors and the server goes on", "[http]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    const Result<HttpResponse> large = co_await fixture.fetch("/", std::string(5000, 'x'));
    REQUIRE(isOk(large));
    CHECK(valueOf(large).status == 413);
    CHECK(errorFromResponse(413, valueOf(large).body).kind == ErrorKind::kTooLarge);
    CHECK(fixture.handled == 0);
    const Result<HttpResponse> thrown = co_await fixture.fetch("/throw");
    REQUIRE(isOk(thrown));
    CHECK(valueOf(thrown).status == 500);
    const Result<HttpResponse> fine = co_await fixture.fetch("/fine");
    REQUIRE(isOk(fine));
    CHECK(valueOf(fine).status == 200);
  });
}

TEST_CASE("a refused connection is surely not run; a port in use names its remedy", "[http]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    HttpClientRequest request;
    const Endpoint closed{"127.0.0.1", 1};
    const Result<HttpResponse> refused = co_await fixture.client.fetch(closed, request, kLongTimeout);
    REQUIRE_FALSE(isOk(refused));
    CHECK(errorOf(refused).executed == Executed::kNo);
    HttpServerOptions options;
    options.listen = Endpoint{"127.0.0.1", kPort};
    HttpServer second(fixture.context, {&fixture.context}, options, {});
    const Status started = second.start();
    REQUIRE_FALSE(isOk(started));
    CHECK_FALSE(errorOf(started).remedy.empty());
  });
}

TEST_CASE("while draining an answer is whole and closes its connection", "[http]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    const Result<HttpResponse> before = co_await fixture.fetch("/before");
    REQUIRE(isOk(before));
    fixture.server->startDraining();
    const Result<HttpResponse> during = co_await fixture.fetch("/during");
    REQUIRE(isOk(during));
    CHECK(valueOf(during).body == "GET/during");
    // The caller's kernel may acknowledge the end of the answer with a delay.
    for (int wait = 0; wait < 100 && fixture.server->openConnections() > 0; ++wait) co_await sleepFor(fromMillis(1));
    CHECK(fixture.server->openConnections() == 0);
  });
}

TEST_CASE("a request that has arrived when idle connections are closed is answered", "[http][stop]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    tcp::socket caller(fixture.context);
    co_await caller.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), kPort), asio::use_awaitable);
    const std::string request = "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n";
    std::string answer;
    for (int number = 0; number < 2; ++number) {
      boost::system::error_code error;
      // No turn of the event loop lies between these two steps, so the bytes are unread when connections are closed.
      asio::write(caller, asio::buffer(request), error);
      if (number == 1) fixture.server->stopAccepting();
      std::array<char, 4096> bytes{};
      const std::size_t received =
          co_await caller.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      answer.assign(bytes.data(), received);
      CHECK(answer.starts_with("HTTP/1.1 200"));
    }
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(fixture.handled == 2);
  });
}

// Guards against callers that get a reset in place of the end of an answer that was sent whole.
TEST_CASE("an answer that closes its connection is not lost to a request behind it", "[http][stop]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    fixture.server->startDraining();
    tcp::socket caller(fixture.context, tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(8192));
    co_await caller.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), kPort), asio::use_awaitable);
    const std::string request = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::system::error_code error;
    asio::write(caller, asio::buffer(request), error);
    co_await sleepFor(fromMillis(30));
    asio::write(caller, asio::buffer(request), error);
    std::size_t received = 0;
    std::vector<char> bytes(64u << 10);
    while (!error) {
      received +=
          co_await caller.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    }
    CHECK(error == asio::error::eof);
    CHECK(received > kLargeAnswer);
    CHECK(fixture.handled == 1);
    co_await sleepFor(fromMillis(50));
    CHECK(fixture.server->openConnections() == 0);
  });
}

// Guards against clients that end a process with what is parsed only once it is whole.
TEST_CASE("trailers and heads of chunks without end are refused, and what is held of them is bounded", "[http]") {
  const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string trailers = head + "4\r\nbody\r\n0\r\n";
  const auto [begin, piece] =
      GENERATE_COPY(std::pair(trailers, std::string("a: b\r\n")), std::pair(head + "4;a=", std::string("x")));
  std::string endless = begin;
  while (endless.size() < kLargeAnswer) endless += piece;
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    tcp::socket caller(fixture.context, tcp::v4());
    co_await caller.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), kPort), asio::use_awaitable);
    boost::system::error_code ignored;
    asio::async_write(caller, asio::buffer(endless), [](boost::system::error_code, std::size_t) {});
    std::string answer(12, ' ');
    co_await asio::async_read(caller, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, ignored));
    CHECK(answer == "HTTP/1.1 431");
    CHECK(fixture.handled == 0);
    caller.close(ignored);
    const Result<HttpResponse> next = co_await fixture.fetch("/next");
    CHECK(isOk(next));
  });
}

TEST_CASE("trailers of an ordinary size are passed over", "[http]") {
  HttpFixture fixture;
  fixture.run([&]() -> Awaitable<void> {
    tcp::socket caller(fixture.context, tcp::v4());
    co_await caller.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), kPort), asio::use_awaitable);
    const std::string request =
        "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4;a=b\r\nbody\r\n0\r\nX-Late: yes\r\n\r\n";
    boost::system::error_code error;
    asio::write(caller, asio::buffer(request), error);
    std::string answer;
    while (!error) {
      std::array<char, 1000> bytes;
      const std::size_t received =
          co_await caller.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      answer.append(bytes.data(), received);
    }
    CHECK(answer.find("POST/xbody") != std::string::npos);
  });
}

TEST_CASE("endpoints are IP numbers with a port", "[http]") {
  CHECK(parseEndpoint("127.0.0.1:80") == Endpoint{"127.0.0.1", 80});
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "localhost:80", "1.2.3.4:8x"}) {
    CHECK_FALSE(parseEndpoint(text).has_value());
  }
}

}  // namespace
}  // namespace hatchfork::connection
