#include <catch2/catch.hpp>
#include <map>

#include "request/exchange/prompt_shape.hpp"
#include "request/exchange/weighted_split.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

TEST_CASE("the shape of a prompt is read from its headers", "[prompt]") {
  const PromptShape shape = parsePromptShape("5c1e07a2:800, 91bd3f06:410,e4402b7d:250", "1460,80");
  REQUIRE(shape.parts.size() == 3);
  REQUIRE(shape.parts[0].id == 0x5c1e07a2);
  REQUIRE(shape.sharedTokens() == 1210);
  REQUIRE(shape.prompt_tokens == 1460);
  REQUIRE(shape.max_output_tokens == 80);
}

TEST_CASE("malformed prompt headers are left out", "[prompt]") {
  REQUIRE(parsePromptShape("", "").prompt_tokens == 0);
  REQUIRE(parsePromptShape("zz:1,5:x,:", "a").parts.empty());
  REQUIRE(parsePromptShape("5:10,6:20", "").prompt_tokens == 30);
}

TEST_CASE("every run of requests comes close to the weights", "[split]") {
  Route route;
  route.host = "a.example";
  route.prefix = "/x/";
  route.split = {{ServiceId("one"), 90}, {ServiceId("two"), 10}, {ServiceId("none"), 0}};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    WeightedSplit split(seed);
    std::map<ServiceId, int> chosen;
    for (int i = 0; i < 200; ++i) ++chosen[split.choose(route)];
    REQUIRE(chosen[ServiceId("one")] >= 179);
    REQUIRE(chosen[ServiceId("two")] >= 19);
    REQUIRE(chosen[ServiceId("none")] == 0);
  }
}

TEST_CASE("a changed split resets its state", "[split]") {
  Route route;
  route.host = "a.example";
  route.prefix = "/x/";
  route.split = {{ServiceId("one"), 1}, {ServiceId("two"), 1}};
  WeightedSplit split(3);
  for (int i = 0; i < 7; ++i) split.choose(route);
  route.split = {{ServiceId("two"), 1}};
  for (int i = 0; i < 7; ++i) REQUIRE(split.choose(route) == ServiceId("two"));
}
