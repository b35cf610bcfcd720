#include "connection/http_client.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "tests/connection/early_engine.hpp"
#include "tests/connection/scripted_engine.hpp"

// Answers of servers in trouble, as clients of the older fleet, of the operators' commands and of the load tool read
// them.
using namespace hatchfork;
using namespace hatchfork::connection;

namespace {

constexpr Duration kTime = std::chrono::seconds(2);
constexpr std::size_t kLongUpload = 12u << 20;

Result<HttpResponse> fetch(asio::io_context& context, HttpClient& client, std::uint16_t port, std::string body = "") {
  HttpClientRequest request;
  request.method = "POST";
  request.body = std::move(body);
  Result<HttpResponse> result = Error();
  asio::co_spawn(context, client.fetch(Endpoint{"127.0.0.1", port}, std::move(request), kTime),
                 [&](const std::exception_ptr&, Result<HttpResponse> response) {
                   result = std::move(response);
                   context.stop();
                 });
  context.restart();
  context.run();
  return result;
}

Result<HttpResponse> answerOf(const std::string& bytes) {
  asio::io_context context;
  ScriptedEngine server(context, bytes, AfterAnswer::kCloses);
  HttpClient client(context);
  return fetch(context, client, server.port());
}

}  // namespace

TEST_CASE("a client gets no answer from a head that is none", "[http][broken]") {
  const std::string head =
      GENERATE("HTTP/1.1 000 Odd\r\n", "HTTP/1.1 099 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/1.1 999 Odd\r\n",
               "HTTP/1.1 101 Odd\r\n", "HTTP/1.1 200 OK\r\n X-Broken: v\r\n",
               "HTTP/1.1 200 OK\r\nX-Seal: 1\r\n\tX-Broken: v\r\n", "HTTP/1.1 200 OK\r\nX Broken: v\r\n",
               "HTTP/1.1 200 OK\r\nX-Bro\x01ken: v\r\n", "HTTP/1.1 0200 OK\r\n");
  const Result<HttpResponse> response = answerOf(head + "Content-Length: 5\r\n\r\nother");
  CAPTURE(head);
  REQUIRE_FALSE(isOk(response));
  REQUIRE(errorOf(response).kind == ErrorKind::kUpstreamFailed);
  REQUIRE(errorOf(response).executed == Executed::kUnknown);
}

// Guards against the answer to a request that the next request on its connection gets.
TEST_CASE("a client reads past interim answers to its answer", "[http][broken]") {
  const std::string status = GENERATE("100 Continue", "102 Processing", "103 Early Hints");
  asio::io_context context;
  ScriptedEngine server(context, "HTTP/1.1 " + status + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  HttpClient client(context);
  const Result<HttpResponse> response = fetch(context, client, server.port());
  REQUIRE(isOk(response));
  REQUIRE(valueOf(response).status == 200);
  REQUIRE(valueOf(response).body == "body");
}

TEST_CASE("a client gets no answer from interim answers without end", "[http][broken]") {
  std::string bytes;
  for (int i = 0; i < 100; ++i) bytes += "HTTP/1.1 102 Processing\r\n\r\n";
  const Result<HttpResponse> response = answerOf(bytes + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE_FALSE(isOk(response));
  REQUIRE(errorOf(response).executed == Executed::kUnknown);
}

TEST_CASE("a client takes no part of an answer without a length for the whole", "[http][broken]") {
  const EarlyEnd end = GENERATE(EarlyEnd::kResets, EarlyEnd::kCloses, EarlyEnd::kEndsAndResets);
  asio::io_context context;
  EarlyEngine server(context, "HTTP/1.1 200 OK\r\n\r\npart of the body", end);
  HttpClient client(context);
  const Result<HttpResponse> response = fetch(context, client, server.port(), std::string(kLongUpload, 'u'));
  REQUIRE_FALSE(isOk(response));
  REQUIRE(errorOf(response).executed == Executed::kUnknown);
}
