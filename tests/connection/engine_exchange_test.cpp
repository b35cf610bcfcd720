#include "connection/engine_exchange.hpp"

#include <catch2/catch.hpp>

#include "tests/connection/endless_engine.hpp"
#include "tests/connection/exchange_outcome.hpp"
#include "tests/connection/scripted_engine.hpp"

using namespace hatchfork;
using namespace hatchfork::connection;

namespace {

Outcome play(const std::string& answer, Duration cancel_after, int times = 1,
             AfterAnswer after = AfterAnswer::kStaysSilent) {
  asio::io_context context;
  ScriptedEngine engine(context, answer, after);
  EngineClient client(context);
  Outcome outcome;
  for (int i = 0; i < times; ++i) {
    outcome = Outcome();
    auto control = std::make_shared<ExchangeControl>();
    asio::co_spawn(context, exchange(client, requestTo(engine.port()), control, std::chrono::seconds(5), outcome),
                   [&context](const std::exception_ptr&) { context.stop(); });
    Timer timer(context);
    if (cancel_after > Duration::zero()) {
      timer.expires_after(cancel_after);
      timer.async_wait([control](boost::system::error_code error) {
        if (!error && control->cancel) control->cancel();
      });
    }
    context.restart();
    context.run();
  }
  return outcome;
}

/// What became of one request to an engine whose bytes have no end, within 10 s.
struct EndlessOutcome {
  Outcome outcome;
  bool has_ended = false;
  bool is_closed = false;
  std::size_t written = 0;
};

EndlessOutcome playEndless(const std::string& begin, const std::string& piece, Duration pause) {
  EndlessOutcome endless;
  asio::io_context context;
  EndlessEngine engine(context, begin, piece, pause);
  EngineClient client(context);
  asio::co_spawn(context, exchange(client, requestTo(engine.port()), nullptr, std::chrono::hours(1), endless.outcome),
                 [&](const std::exception_ptr&) { endless.has_ended = true; });
  const Instant give_up = monotonicNow() + std::chrono::seconds(10);
  while (!(endless.has_ended && engine.isClosed()) && monotonicNow() < give_up) context.run_for(fromMillis(10));
  endless.is_closed = engine.isClosed();
  endless.written = engine.written();
  return endless;
}

}  // namespace

TEST_CASE("an answer is taken whole if it echoes the request's identifier", "[exchange]") {
  const Outcome outcome = play("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody", Duration::zero());
  REQUIRE(outcome.whole);
  REQUIRE(outcome.framed);
  REQUIRE(outcome.body == "body");
}

TEST_CASE("a surplus answer in front is read and dropped", "[exchange]") {
  const Outcome outcome = play(
      "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: "
      "4\r\n\r\n"
      "body",
      Duration::zero());
  REQUIRE(outcome.whole);
  REQUIRE(outcome.body == "body");
}

TEST_CASE("bytes that are no answer may have run", "[exchange]") {
  const Outcome outcome = play("rubbish\r\n\r\n", Duration::zero());
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.may_have_run);
}

TEST_CASE("a request that is withheld right before it is sent does not reach its engine, and costs no connection",
          "[exchange]") {
  asio::io_context context;
  ScriptedEngine engine(context, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody");
  EngineClient client(context);
  for (const bool may_send : {false, true}) {
    auto control = std::make_shared<ExchangeControl>();
    control->may_send = [may_send] { return may_send; };
    Outcome outcome;
    asio::co_spawn(context, exchange(client, requestTo(engine.port()), control, std::chrono::seconds(5), outcome),
                   [&context](const std::exception_ptr&) { context.stop(); });
    context.restart();
    context.run();
    REQUIRE(outcome.whole == may_send);
    REQUIRE(outcome.failure.was_withheld == !may_send);
    REQUIRE(outcome.failure.may_have_run == may_send);
    const auto& requests = engine.requests();
    REQUIRE((requests.empty() || requests.front()->empty()) == !may_send);
  }
  REQUIRE(client.connectionsMade() == 1);
}

TEST_CASE("an exchange can be cancelled while it waits for its answer", "[exchange]") {
  const Outcome outcome = play("", fromMillis(20), 20);
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.cause == "cancelled");
  REQUIRE(outcome.failure.may_have_run);
}

TEST_CASE("an exchange can be cancelled in the middle of its answer", "[exchange]") {
  const Outcome outcome =
      play("HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", fromMillis(20), 20);
  REQUIRE(outcome.answered);
  REQUIRE_FALSE(outcome.whole);
  REQUIRE(outcome.body == "body");
  REQUIRE(outcome.failure.cause == "cancelled");
}

TEST_CASE("a request that reaches nobody has surely not run", "[exchange]") {
  asio::io_context context;
  EngineClient client(context);
  EngineRequest request;
  request.engine = EngineId("e");
  request.endpoint = Endpoint{"127.0.0.1", 1};
  Outcome outcome;
  asio::co_spawn(context, exchange(client, std::move(request), nullptr, std::chrono::seconds(2), outcome),
                 asio::detached);
  context.run();
  REQUIRE_FALSE(outcome.failure.may_have_run);
}

// Guards against requests that wait until their deadline for an engine that has ended.
TEST_CASE("an engine that closes its connection before its answer is whole fails the exchange at once", "[exchange]") {
  const std::string answer =
      GENERATE("", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nX-Id: r1\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbo",
               "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
  const Instant started = monotonicNow();
  const Outcome outcome = play(answer, Duration::zero(), 1, AfterAnswer::kCloses);
  REQUIRE(monotonicNow() < started + std::chrono::seconds(2));
  REQUIRE_FALSE(outcome.whole);
  REQUIRE(outcome.failure.closed_by_engine);
  REQUIRE_FALSE(outcome.failure.timed_out);
  REQUIRE(outcome.failure.may_have_run);
}

// Guards against callers that get an empty or short body as a whole answer.
TEST_CASE("an answer that is cut at any place of its head, or of a body with framing, is not whole", "[exchange]") {
  const std::string status = GENERATE("200 OK", "404 Not Found", "500 Internal");
  const std::string rest = GENERATE("Content-Length: 12\r\n\r\nbody of this",
                                    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\nmore\r\n0\r\n\r\n");
  const AfterAnswer after = GENERATE(AfterAnswer::kCloses, AfterAnswer::kResets);
  const std::string answer = "HTTP/1.1 " + status + "\r\nX-Id: r1\r\nX-Seal: 1\r\n" + rest;
  for (std::size_t bytes = 0; bytes < answer.size(); ++bytes) {
    CAPTURE(answer.substr(0, bytes));
    const Outcome outcome = play(answer.substr(0, bytes), Duration::zero(), 1, after);
    REQUIRE_FALSE(outcome.whole);
    REQUIRE(outcome.failure.may_have_run);
  }
}

TEST_CASE("an answer without framing that is cut in its head, or reset in its body, is not whole", "[exchange]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: 1\r\n\r\n";
  for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
    CAPTURE(head.substr(0, bytes));
    REQUIRE_FALSE(play(head.substr(0, bytes), Duration::zero(), 1, AfterAnswer::kCloses).whole);
  }
  REQUIRE_FALSE(play(head + "body", Duration::zero(), 1, AfterAnswer::kResets).whole);
}

TEST_CASE("the end of the connection is that of an answer without framing", "[exchange]") {
  const Outcome outcome = play("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nbody", Duration::zero(), 1, AfterAnswer::kCloses);
  REQUIRE(outcome.whole);
  REQUIRE_FALSE(outcome.framed);
  REQUIRE(outcome.body == "body");
}

// Guards against requests that wait for an answer, until their deadline, behind bytes that are none and have no end.
TEST_CASE("bytes without end before an answer end the exchange long before its deadline", "[engine][endless]") {
  const auto [begin, piece] = GENERATE(
      // A head, one field after the other; one without a line's end; a head that comes byte by byte.
      std::pair<std::string, std::string>{"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
      std::pair<std::string, std::string>{"HTTP/1.1 200 OK\r\nX-More: ", "more"},
      std::pair<std::string, std::string>{"", "H"},
      // Interim answers; answers of another request; one whose body has no end.
      std::pair<std::string, std::string>{"", "HTTP/1.1 102 Processing\r\n\r\n"},
      std::pair<std::string, std::string>{"", "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nok"},
      std::pair<std::string, std::string>{"HTTP/1.1 200 OK\r\nX-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n",
                                          "4\r\nmore\r\n"});
  const Duration pause = GENERATE(Duration::zero(), fromMillis(2));
  const EndlessOutcome endless = playEndless(begin, piece, pause);
  REQUIRE(endless.has_ended);
  REQUIRE_FALSE(endless.outcome.answered);
  REQUIRE(endless.outcome.failure.may_have_run);
  REQUIRE(endless.is_closed);
}

// Guards against memory that grows with bytes of a body's framing, which belong to no answer either.
TEST_CASE("framing of a body without end ends the exchange, and little of it is kept", "[engine][endless]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto [begin, piece] =
      GENERATE_COPY(std::pair<std::string, std::string>{head + "4;extension=", std::string(4096, 'x')},
                    std::pair<std::string, std::string>{head + "4\r\nbody\r\n0\r\nX-Trailer: ", std::string(4096, 'x')},
                    std::pair<std::string, std::string>{head + "4\r\nbody\r\n0\r\n", "X-Trailer: more\r\n"},
                    std::pair<std::string, std::string>{head, std::string(4096, '0')});
  const EndlessOutcome endless = playEndless(begin, piece, Duration::zero());
  REQUIRE(endless.has_ended);
  REQUIRE_FALSE(endless.outcome.whole);
  REQUIRE(endless.is_closed);
  REQUIRE(endless.written < (8u << 20));
}
