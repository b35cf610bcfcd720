#include "request/routing/router.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "request/routing/ownership.hpp"

namespace hatchfork::request {
namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

ServiceFleet makeFleet(std::size_t engines, std::size_t zones, std::size_t gateways) {
  ServiceFleet fleet;
  fleet.service = ServiceId("service");
  for (std::size_t index = 0; index < engines; ++index) {
    const ZoneId zone("zone" + std::to_string(index % zones));
    fleet.engines.push_back({EngineId("engine" + std::to_string(index)), zone, 8, false, false});
  }
  for (std::size_t index = 0; index < gateways; ++index) {
    const ZoneId zone("zone" + std::to_string(index % zones));
    fleet.gateways.push_back({GatewayId("gateway" + std::to_string(index)), zone});
  }
  return fleet;
}

RouterOptions makeOptions() {
  RouterOptions options;
  options.self = GatewayId("gateway0");
  options.zone = ZoneId("zone0");
  return options;
}

Router makeRouter(const ServiceFleet& fleet, RouterOptions options = makeOptions()) {
  Router router(options);
  router.updateFleet(at(0), std::make_shared<const ServiceFleet>(fleet));
  return router;
}

RouteChoice chosen(Router& router, Instant now, const RouteRequest& request = {}) {
  const Result<RouteChoice> choice = router.choose(now, request);
  REQUIRE(isOk(choice));
  return valueOf(choice);
}

TEST_CASE("requests stay in their zone while it has capacity and spill over when it is full", "[router]") {
  Router router = makeRouter(makeFleet(6, 3, 1));
  int local = 0;
  int attempts = 0;
  while (true) {
    const Result<RouteChoice> choice = router.choose(at(0), {});
    if (!isOk(choice)) {
      CHECK(errorOf(choice).kind == ErrorKind::kOverloaded);
      CHECK(errorOf(choice).executed == Executed::kNo);
      CHECK(errorOf(choice).retry_after);
      break;
    }
    ++attempts;
    if (attempts <= 8) CHECK(valueOf(choice).in_own_zone);
    local += valueOf(choice).in_own_zone ? 1 : 0;
    router.beginAttempt(at(0), valueOf(choice).engine, Urgency::kOnline, {});
  }
  CHECK(attempts == 6 * 16);
  CHECK(local == 2 * 16);
}

TEST_CASE("each of the three leaving signs alone stops new work", "[router][leaving]") {
  for (int sign = 0; sign < 3; ++sign) {
    ServiceFleet fleet = makeFleet(2, 1, 1);
    Router router = makeRouter(fleet);
    const EngineId leaving = fleet.engines[0].id;
    CHECK(router.mayDispatch(leaving));
    if (sign == 0) fleet.engines[0].drained_by_operator = true;
    if (sign == 1) fleet.engines[0].leaving_platform = true;
    router.updateFleet(at(10), std::make_shared<const ServiceFleet>(fleet));
    LoadReport report;
    report.draining = sign == 2;
    router.applyLoadReport(at(20), leaving, report);
    CHECK_FALSE(router.mayDispatch(leaving));
    for (int index = 0; index < 20; ++index) CHECK(chosen(router, at(30)).engine == fleet.engines[1].id);
    RouteRequest tried;
    tried.excluded = {fleet.engines[1].id};
    const Result<RouteChoice> none = router.choose(at(40), tried);
    REQUIRE_FALSE(isOk(none));
    CHECK(errorOf(none).kind == ErrorKind::kUnavailable);
  }
}

TEST_CASE("the subset contains engines of other zones for the loss of the own zone", "[router][zone-loss]") {
  ServiceFleet fleet = makeFleet(90, 3, 9);
  Router router = makeRouter(fleet);
  CHECK(router.subset().size() == makeOptions().subset_size);
  for (FleetEngine& engine : fleet.engines) engine.leaving_platform = engine.zone == ZoneId("zone0");
  router.updateFleet(at(10), std::make_shared<const ServiceFleet>(fleet));
  CHECK_FALSE(chosen(router, at(20)).in_own_zone);
}

TEST_CASE("shared prefixes go to the engine that has them cached, within the load bound", "[router][affinity]") {
  Router router = makeRouter(makeFleet(8, 1, 1));
  RouteRequest request;
  request.prompt_blocks = hashPromptBlocks(std::string(2000, 'a') + std::string(500, 'b'));
  request.prompt_tokens = 625;
  const EngineId first = chosen(router, at(0), request).engine;
  RoutedAttempt attempt = router.beginAttempt(at(0), first, Urgency::kOnline, request);
  router.recordFirstToken(at(200), attempt, fromMillis(200));
  router.endAttempt(at(300), attempt, AttemptResult::kSucceeded);
  for (int index = 0; index < 10; ++index) {
    const RouteChoice choice = chosen(router, at(400), request);
    CHECK(choice.engine == first);
    CHECK(choice.cached_blocks == request.prompt_blocks.size());
  }
  for (int index = 0; index < 7; ++index) router.beginAttempt(at(500), first, Urgency::kOnline, {});
  CHECK(chosen(router, at(500), request).engine != first);
  for (const std::uint64_t block : request.prompt_blocks) router.applyCacheEvent(first, CacheEvent{1, block, false});
  CHECK(chosen(router, at(600), request).cached_blocks == 0);
}

TEST_CASE("peer load from load reports counts until the reports expire", "[router]") {
  const ServiceFleet fleet = makeFleet(2, 1, 1);
  Router router = makeRouter(fleet);
  LoadReport busy;
  busy.online_running = 16;
  router.applyLoadReport(at(0), fleet.engines[0].id, busy);
  for (int index = 0; index < 20; ++index) CHECK(chosen(router, at(100)).engine == fleet.engines[1].id);
  std::map<EngineId, int> counts;
  for (int index = 0; index < 200; ++index) ++counts[chosen(router, at(10000)).engine];
  CHECK(counts[fleet.engines[0].id] > 20);
}

TEST_CASE("failing engines are ejected up to the cap and return gradually", "[router][outlier]") {
  OutlierOptions options;
  OutlierDetector detector(options);
  detector.setFleetSize(10);
  for (int engine = 0; engine < 9; ++engine) {
    for (int failure = 0; failure < 3; ++failure) detector.recordFailure(at(0), EngineId(std::to_string(engine)));
  }
  int ejected = 0;
  for (int engine = 0; engine < 9; ++engine) ejected += detector.isEjected(at(1), EngineId(std::to_string(engine)));
  CHECK(ejected == 4);
  const EngineId first("0");
  REQUIRE(detector.isEjected(at(1), first));
  CHECK(detector.nextReturn(at(1)) == fromMillis(1999));
  CHECK(detector.trafficShare(at(1), first) == 0);
  const double early = detector.trafficShare(at(3000), first);
  const double later = detector.trafficShare(at(6000), first);
  CHECK(early > 0);
  CHECK(early < later);
  CHECK(detector.trafficShare(at(7000), first) == 1);
  detector.recordFailure(at(3000), first);
  CHECK(detector.isEjected(at(3000 + 3999), first));
}

TEST_CASE("every engine has exactly one batch owner, spread evenly, independent of the order of the view",
          "[ownership]") {
  ServiceFleet fleet = makeFleet(20, 3, 3);
  ServiceFleet reversed = fleet;
  std::reverse(reversed.engines.begin(), reversed.engines.end());
  std::reverse(reversed.gateways.begin(), reversed.gateways.end());
  std::map<EngineId, int> owners;
  for (const LiveGateway& gateway : fleet.gateways) {
    std::vector<EngineId> owned;
    for (const std::size_t position : ownedEngines(fleet, gateway.id)) owned.push_back(fleet.engines[position].id);
    std::vector<EngineId> same;
    for (const std::size_t position : ownedEngines(reversed, gateway.id)) same.push_back(reversed.engines[position].id);
    CHECK(owned == same);
    CHECK(owned.size() >= 6);
    CHECK(owned.size() <= 7);
    for (const EngineId& engine : owned) ++owners[engine];
  }
  CHECK(owners.size() == 20);
  for (const auto& [engine, count] : owners) CHECK(count == 1);
}

TEST_CASE("an answer is continued only by an engine of its build", "[router][build]") {
  ServiceFleet fleet = makeFleet(4, 1, 1);
  fleet.engines[0].build = EngineBuild("v1");
  fleet.engines[1].build = EngineBuild("v2");
  fleet.engines[2].build = EngineBuild("v2");
  Router router = makeRouter(fleet);
  RouteRequest request;
  request.build = router.buildOf(fleet.engines[1].id);
  for (int i = 0; i < 20; ++i) CHECK(router.buildOf(chosen(router, at(i), request).engine) == EngineBuild("v2"));
  request.excluded = {fleet.engines[1].id, fleet.engines[2].id};
  CHECK_FALSE(isOk(router.choose(at(30), request)));
  request.build = EngineBuild();
  CHECK(chosen(router, at(31), request).engine == fleet.engines[3].id);
}

}  // namespace
}  // namespace hatchfork::request
