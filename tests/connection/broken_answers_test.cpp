#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "connection/engine_exchange.hpp"
#include "tests/connection/early_engine.hpp"
#include "tests/connection/exchange_outcome.hpp"
#include "tests/connection/scripted_engine.hpp"

// Answers of engines in trouble, which no caller may take for an answer.
using namespace hatchfork;
using namespace hatchfork::connection;

namespace {

constexpr std::size_t kLongUpload = 12u << 20;
constexpr Duration kTime = std::chrono::seconds(5);
const std::string kHead = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";

/// Sends one request with a body to `engine` and reads the answer.
Outcome upload(asio::io_context& context, std::uint16_t port, std::size_t bytes) {
  EngineClient client(context);
  EngineRequest request = requestTo(port);
  request.method = "POST";
  request.body = std::string(bytes, 'u');
  Outcome outcome;
  asio::co_spawn(context, exchange(client, std::move(request), nullptr, kTime, outcome),
                 [&context](const std::exception_ptr&) { context.stop(); });
  context.run();
  return outcome;
}

Outcome uploadToEarlyEngine(const std::string& answer, EarlyEnd end, std::size_t bytes = kLongUpload) {
  asio::io_context context;
  EarlyEngine engine(context, answer, end);
  return upload(context, engine.port(), bytes);
}

/// What becomes of a request whose engine sends these bytes and closes the connection.
Outcome answerOf(const std::string& bytes) {
  asio::io_context context;
  ScriptedEngine engine(context, bytes, AfterAnswer::kCloses);
  return upload(context, engine.port(), 4);
}

}  // namespace

// Guards against callers that get a part of an answer as the whole of it: the connection has one error to tell, and it
// goes to the upload that is still being written.
TEST_CASE("an answer without a length is not whole if its connection breaks while the upload is being sent",
          "[exchange][broken]") {
  const std::string status = GENERATE("200 OK", "201 Created", "400 Bad Request", "413 Too Large");
  const EarlyEnd end = GENERATE(EarlyEnd::kResets, EarlyEnd::kCloses, EarlyEnd::kEndsAndResets);
  const std::string part = GENERATE("", "part of the body");
  const Outcome outcome = uploadToEarlyEngine("HTTP/1.1 " + status + "\r\nX-Id: r1\r\n\r\n" + part, end);
  CAPTURE(outcome.body, outcome.failure.cause);
  REQUIRE_FALSE(outcome.whole);
  REQUIRE(outcome.failure.may_have_run);
  REQUIRE(outcome.failure.closed_by_engine);
  REQUIRE_FALSE(outcome.failure.timed_out);
}

// Guards against a part that counts as whole since all of the upload is in the buffers of this machine.
TEST_CASE("an answer without a length is not whole if its connection breaks before the engine's machine has the upload",
          "[exchange][broken]") {
  const EarlyEnd end = GENERATE(EarlyEnd::kResets, EarlyEnd::kCloses, EarlyEnd::kEndsAndResets);
  const std::size_t bytes = GENERATE(std::size_t{900} << 10, std::size_t{2} << 20);
  const Outcome outcome = uploadToEarlyEngine(kHead + "\r\npart of the body", end, bytes);
  CAPTURE(bytes, outcome.body, outcome.failure.cause);
  REQUIRE_FALSE(outcome.whole);
  REQUIRE(outcome.failure.may_have_run);
  REQUIRE(outcome.failure.closed_by_engine);
  REQUIRE_FALSE(outcome.failure.timed_out);
}

TEST_CASE("an early answer without a length is whole if its engine then reads the rest of the upload",
          "[exchange][broken]") {
  const Outcome outcome = uploadToEarlyEngine(kHead + "\r\nbody", EarlyEnd::kEndsAndReads);
  CAPTURE(outcome.failure.cause);
  REQUIRE(outcome.whole);
  REQUIRE_FALSE(outcome.framed);
  REQUIRE(outcome.body == "body");
}

// An early refusal, for one, comes from an engine that reads no more of the upload.
TEST_CASE("an early answer that has its length is whole whatever becomes of the upload", "[exchange][broken]") {
  const EarlyEnd end = GENERATE(EarlyEnd::kResets, EarlyEnd::kEndsAndResets, EarlyEnd::kStaysSilent);
  const std::string status = GENERATE("200 OK", "413 Too Large");
  const Outcome outcome =
      uploadToEarlyEngine("HTTP/1.1 " + status + "\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody", end);
  REQUIRE(outcome.whole);
  REQUIRE(outcome.framed);
  REQUIRE(outcome.body == "body");
}

// Guards against a status that is none and reaches callers, and against the body behind it that is taken for an answer.
TEST_CASE("a head whose status is none is no answer", "[exchange][broken]") {
  const std::string status = GENERATE("000", "001", "099", "600", "700", "999");
  const std::string rest = GENERATE("X-Id: r1\r\nContent-Length: 5\r\n\r\nother", "X-Id: r1\r\n\r\nother",
                                    "Content-Length: 5\r\n\r\nother", "X-Id: r0\r\nContent-Length: 0\r\n\r\n",
                                    "X-Id: r1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nother");
  const Outcome outcome = answerOf("HTTP/1.1 " + status + " Odd\r\n" + rest);
  CAPTURE(status, rest, outcome.body);
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.may_have_run);
  REQUIRE_FALSE(outcome.failure.timed_out);
}

// What follows such a head is of that other protocol, whatever it looks like.
TEST_CASE("an engine that changes the protocol unasked has sent no answer", "[exchange][broken]") {
  const Outcome outcome = answerOf(
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: "
      "5\r\n\r\nother");
  CAPTURE(outcome.body);
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.may_have_run);
  REQUIRE_FALSE(outcome.failure.timed_out);
}

TEST_CASE("interim answers come before the answer", "[exchange][broken]") {
  const std::string status = GENERATE("100 Continue", "102 Processing", "103 Early Hints", "199 Odd");
  const Outcome outcome =
      answerOf("HTTP/1.1 " + status + "\r\nX-Id: r1\r\n\r\n" + kHead + "Content-Length: 4\r\n\r\nbody");
  REQUIRE(outcome.whole);
  REQUIRE(outcome.body == "body");
}

// Guards against fields that reach callers with a line that an engine did not mean for them, and against bodies of
// another length than the engine's.
TEST_CASE("a head with a line that begins with a blank is no answer", "[exchange][broken]") {
  const std::string blank = GENERATE(" ", "\t");
  const std::string line = GENERATE("X-Broken: v", "Content-Length: 3", "r1", "");
  const std::string before = GENERATE("", "X-Id: r1\r\n", "X-Id: r1\r\nX-Seal: 1\r\n", "X-Id:\r\n");
  const std::string framing = GENERATE("Content-Length: 5\r\n", "");
  const Outcome outcome =
      answerOf("HTTP/1.1 200 OK\r\n" + before + blank + line + "\r\n" + "X-Id: r1\r\n" + framing + "\r\nother");
  CAPTURE(blank + line, before, framing, outcome.body);
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.may_have_run);
  REQUIRE_FALSE(outcome.failure.timed_out);
}

TEST_CASE("a head with a field whose name is none, or whose value holds a control byte, is no answer",
          "[exchange][broken]") {
  const std::string line =
      GENERATE("X Broken: v", "X-Broken : v", "X-Bro\x01ken: v", "X-Bro\x7fken: v", "X-Bro\xe9ken: v", "X-Bro[ken: v",
               ": v", "X-Broken", "X-Bro\rken: v", "X-Bro\nken: v", "X-Broken: \x01v", "X-Broken: v\rX-Id: r1",
               "\x0bX-Broken: v", "Content-Length : 3", "Content Length: 3", "Content-Length: 3\rX: v");
  const bool is_first = GENERATE(true, false);
  const std::string fields = is_first ? line + "\r\nX-Id: r1\r\n" : "X-Id: r1\r\n" + line + "\r\n";
  const std::string framing = GENERATE("Content-Length: 5\r\n", "");
  const Outcome outcome = answerOf("HTTP/1.1 200 OK\r\n" + fields + framing + "\r\nother");
  CAPTURE(line, fields, outcome.body);
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.may_have_run);
  REQUIRE_FALSE(outcome.failure.timed_out);
}

TEST_CASE("a status line that is none begins no answer", "[exchange][broken]") {
  const std::string line =
      GENERATE("HTTP/1.1 0200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK",
               "HTTP/1.1200 OK", "HTTP/3.7 200 OK", "HTTP/1.1 200 O\x01K", " HTTP/1.1 200 OK");
  const Outcome outcome = answerOf(line + "\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nother");
  CAPTURE(line, outcome.body);
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.may_have_run);
  REQUIRE_FALSE(outcome.failure.timed_out);
}

TEST_CASE("an interim answer has no body: what follows its head is the next head", "[exchange][broken]") {
  const std::string status = GENERATE("100 Continue", "102 Processing", "199 Odd");
  const std::string identifier = GENERATE("", "X-Id: r1\r\n");
  const Outcome outcome = answerOf("HTTP/1.1 " + status + "\r\n" + identifier + "Content-Length: 5\r\n\r\nother");
  REQUIRE_FALSE(outcome.answered);
  REQUIRE(outcome.failure.may_have_run);
}

TEST_CASE("an answer whose trailer has a field whose name is none is not whole", "[exchange][broken]") {
  const std::string line = GENERATE("X Broken: v", "X-Bro\x01ken: v", "X-Broken", ": v");
  const bool is_first = GENERATE(true, false);
  const std::string trailer = is_first ? line + "\r\nX-Sound: 1\r\n" : "X-Sound: 1\r\n" + line + "\r\n";
  const Outcome outcome = answerOf(kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n");
  REQUIRE_FALSE(outcome.whole);
}
