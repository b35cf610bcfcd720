#include "request/access/allowed_zones.hpp"

#include <catch2/catch.hpp>

#include "request/exchange/engine_selector.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const ZoneRegions kRegions = {
    {ZoneId("n1"), RegionId("north")}, {ZoneId("n2"), RegionId("north")}, {ZoneId("s1"), RegionId("south")}};

Route routeIn(std::set<RegionId> regions) {
  Route route;
  route.allowed_regions = std::move(regions);
  return route;
}

Tenant tenantIn(std::set<RegionId> regions) {
  Tenant tenant;
  tenant.allowed_regions = std::move(regions);
  return tenant;
}

}  // namespace

TEST_CASE("the regions of a route and of its tenant both apply", "[regions]") {
  const RegionId north("north");
  const RegionId south("south");
  const Tenant anywhere = tenantIn({});
  const Tenant northern = tenantIn({north});
  REQUIRE_FALSE(allowedZones(routeIn({}), nullptr, kRegions));
  REQUIRE_FALSE(allowedZones(routeIn({}), &anywhere, kRegions));
  REQUIRE(*allowedZones(routeIn({north}), nullptr, kRegions) == std::set<ZoneId>{ZoneId("n1"), ZoneId("n2")});
  REQUIRE(*allowedZones(routeIn({}), &northern, kRegions) == std::set<ZoneId>{ZoneId("n1"), ZoneId("n2")});
  REQUIRE(*allowedZones(routeIn({south, north}), &northern, kRegions) == std::set<ZoneId>{ZoneId("n1"), ZoneId("n2")});
  REQUIRE(allowedZones(routeIn({south}), &northern, kRegions)->empty());
  REQUIRE(namesOfAllowedRegions(routeIn({south, north}), nullptr) == "north, south");
  REQUIRE(namesOfAllowedRegions(routeIn({south}), &northern) == "none that route and tenant both allow");
}

TEST_CASE("a zone of an unknown region serves no request that is restricted to regions", "[regions]") {
  REQUIRE(allowedZones(routeIn({RegionId("north")}), nullptr, {})->empty());
}

TEST_CASE("no engine of another region is chosen in any mode", "[regions][selector]") {
  constexpr Instant kStart{std::chrono::seconds(100)};
  EngineSelector selector(1);
  EngineRecord north{EngineId("north"), ServiceId("llm"), "10.0.0.1:80", ZoneId("n1"), 8};
  EngineRecord south{EngineId("south"), ServiceId("llm"), "10.0.0.2:80", ZoneId("s1"), 8};
  selector.takeEngines(kStart, wholeListOf({north, south}));
  EngineQuery query;
  query.service = ServiceId("llm");
  query.zone = ZoneId("s1");
  query.zones = std::set<ZoneId>{ZoneId("n1")};
  for (const bool background : {false, true}) {
    query.background = background;
    for (int i = 0; i < 20; ++i) REQUIRE(selector.choose(kStart, query)->engine.id == EngineId("north"));
  }
  REQUIRE_FALSE(selector.describeChosen(kStart, EngineId("south"), query, 0, 0));
  query.excluded.insert(EngineId("north"));
  REQUIRE_FALSE(selector.choose(kStart, query));
}
