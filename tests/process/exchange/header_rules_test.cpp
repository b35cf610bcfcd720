#include "process/exchange/header_rules.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::exchange;

TEST_CASE("only end-to-end headers are passed on, in order and with repeats", "[headers]") {
  const std::vector<connection::HttpHeader> headers = {{"Host", "a.example"},
                                                       {"Connection", "close, X-Hop"},
                                                       {"X-Hop", "1"},
                                                       {"X-Twice", "1"},
                                                       {"Content-Length", "5"},
                                                       {"Transfer-Encoding", "chunked"},
                                                       {"Keep-Alive", "timeout=5"},
                                                       {"x-twice", "2"}};
  const auto passed = endToEndHeaders(headers);
  REQUIRE(passed.size() == 3);
  REQUIRE(passed[0].name == "Host");
  REQUIRE(passed[1].value == "1");
  REQUIRE(passed[2].value == "2");
}

TEST_CASE("Retry-After is replaced, in seconds with a fraction", "[headers]") {
  connection::HttpResponse response;
  response.headers = {{"retry-after", "9"}, {"X", "1"}};
  setRetryAfter(response, fromMillis(150));
  REQUIRE(response.headers.size() == 2);
  REQUIRE(response.header("Retry-After") == "0.150");
}
