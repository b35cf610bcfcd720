#include "version/route_table.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;

namespace {

Route route(const std::string& host, const std::string& prefix, const std::string& service, std::uint32_t weight = 1) {
  Route made;
  made.name = host + prefix;
  made.host = host;
  made.prefix = prefix;
  made.timeout = fromMillis(1000);
  made.split = {{ServiceId(service), weight}};
  return made;
}

Result<std::shared_ptr<const RouteTable>> build(std::vector<Route> routes) {
  RoutedService service;
  service.id = ServiceId("llm");
  return RouteTable::build(1, std::move(routes), {service}, CallerLimits{});
}

}  // namespace

TEST_CASE("the longest prefix of the host wins", "[routes]") {
  const auto table = valueOf(
      build({route("a.example", "/x/", "llm"), route("a.example", "/x/y/", "llm"), route("b.example", "/", "llm")}));
  REQUIRE(table->find("a.example", "/x/y/z")->prefix == "/x/y/");
  REQUIRE(table->find("a.example", "/x/y/")->prefix == "/x/y/");
  REQUIRE(table->find("a.example", "/x/yz")->prefix == "/x/");
  REQUIRE(table->find("b.example", "/anything")->prefix == "/");
  REQUIRE(table->find("a.example", "/other/") == nullptr);
  REQUIRE(table->find("a.example", "/x") == nullptr);
  REQUIRE(table->find("c.example", "/x/") == nullptr);
  REQUIRE(table->find("a.example", "") == nullptr);
}

TEST_CASE("an invalid document is rejected with the reason", "[routes]") {
  const auto refused = [](std::vector<Route> routes, const std::string& word) {
    const auto built = build(std::move(routes));
    REQUIRE_FALSE(isOk(built));
    REQUIRE(errorOf(built).kind == ErrorKind::kInvalidArgument);
    REQUIRE_THAT(errorOf(built).message, Catch::Contains(word));
  };
  refused({route("a.example", "/x/", "nobody")}, "unknown service");
  refused({route("a.example", "/x/", "llm"), route("a.example", "/x/", "llm")}, "two routes");
  refused({route("a.example", "/x/", "llm", 0)}, "weights");
  refused({route("a.example", "x/", "llm")}, "prefix");
  refused({route("a.example", "/x", "llm")}, "prefix");
  Route no_time = route("a.example", "/x/", "llm");
  no_time.timeout = Duration::zero();
  refused({no_time}, "time-out");
}

TEST_CASE("only safe requests and resumable streams may run twice", "[routes]") {
  Route made = route("a.example", "/x/", "llm");
  made.kind = RouteKind::kSafe;
  REQUIRE(made.isRepeatable());
  made.kind = RouteKind::kUnsafe;
  REQUIRE_FALSE(made.isRepeatable());
  made.kind = RouteKind::kStream;
  REQUIRE_FALSE(made.isRepeatable());
  made.resumable = true;
  REQUIRE(made.isRepeatable());
}
