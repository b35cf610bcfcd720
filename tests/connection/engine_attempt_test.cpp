#include "connection/engine_attempt.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "tests/connection/scripted_engine.hpp"

using namespace hatchfork;
using namespace hatchfork::connection;

namespace {

const std::string kRefusal = R"({"error":{"kind":"invalid_argument","message":"m","remedy":"r","executed":"no"}})";

AttemptEnd attempt(const std::string& bytes, AfterAnswer after) {
  asio::io_context context;
  ScriptedEngine engine(context, bytes, after);
  HttpClient client(context);
  EngineCall call;
  call.endpoint = Endpoint{"127.0.0.1", engine.port()};
  call.path = "/v1/completions";
  call.body = "{}";
  call.request_id = "r1";
  call.silence_limit = std::chrono::seconds(2);
  EngineAttempt running(client, std::move(call));
  AttemptEnd end;
  const auto on_token = [](EngineToken) -> Awaitable<bool> { co_return true; };
  asio::co_spawn(context, running.run(on_token), [&](const std::exception_ptr&, AttemptEnd ended) {
    end = std::move(ended);
    context.stop();
  });
  context.run();
  return end;
}

std::string refusalOf(std::size_t length) {
  return "HTTP/1.1 400 Bad Request\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + kRefusal;
}

}  // namespace

TEST_CASE("a refusal that says that the request was not run is an engine's answer", "[engine][broken]") {
  const AttemptEnd end = attempt(refusalOf(kRefusal.size()), AfterAnswer::kStaysSilent);
  REQUIRE(end.outcome == AttemptOutcome::kRejected);
  REQUIRE(end.point == request::FailurePoint::kNotRun);
}

// Guards against a request that runs twice, or a caller that gets a refusal, since a part of an answer says "not run".
TEST_CASE("a refusal that breaks off says nothing", "[engine][broken]") {
  const AfterAnswer after = GENERATE(AfterAnswer::kCloses, AfterAnswer::kResets, AfterAnswer::kStaysSilent);
  const AttemptEnd end = attempt(refusalOf(kRefusal.size() + 10), after);
  REQUIRE(end.outcome == AttemptOutcome::kFailed);
  REQUIRE(end.point == request::FailurePoint::kNoAnswer);
  REQUIRE(end.error.executed == Executed::kUnknown);
}
