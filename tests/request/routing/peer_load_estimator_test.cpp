#include "request/routing/peer_load_estimator.hpp"

#include <catch2/catch.hpp>

#include "request/routing/router.hpp"

namespace hatchfork::request {
namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

TEST_CASE("own requests in a delayed report do not count as peer load", "[router][lag]") {
  PeerLoadEstimator load;
  std::vector<std::uint32_t> own;
  for (int index = 0; index < 200; ++index) own.push_back(index / 10 % 2 == 0 ? 2 : 12);
  double max_estimate = 0;
  for (int index = 2; index < 200; ++index) {
    // Each report is half a second old, which is two polls.
    load.recordReport(at(index * 250), own[index - 2], own[index]);
    max_estimate = std::max(max_estimate, load.estimate(at(index * 250)));
  }
  CHECK(max_estimate < 2);
}

TEST_CASE("a steady peer load is estimated beside the own load and expires with the reports", "[router][lag]") {
  PeerLoadEstimator load;
  for (int index = 0; index < 40; ++index) load.recordReport(at(index * 250), 6 + 4, 4);
  CHECK(load.estimate(at(9750)) == Approx(6).margin(0.1));
  CHECK(load.estimate(at(9750 + 3001)) == 0);
}

TEST_CASE("a burst that has ended does not exclude its engine from the choice", "[router][lag]") {
  ServiceFleet fleet;
  fleet.engines = {{EngineId("busy"), ZoneId("zone"), 8, false, false}};
  fleet.gateways = {{GatewayId("gateway"), ZoneId("zone")}};
  RouterOptions options;
  options.self = GatewayId("gateway");
  options.zone = ZoneId("zone");
  Router router(options);
  router.updateFleet(at(0), std::make_shared<const ServiceFleet>(fleet));
  std::vector<RoutedAttempt> attempts;
  for (int index = 0; index < 15; ++index) {
    attempts.push_back(router.beginAttempt(at(index), EngineId("busy"), Urgency::kOnline, {}));
  }
  LoadReport report;
  report.online_running = 8;
  report.online_queued = 7;
  router.applyLoadReport(at(500), EngineId("busy"), report);
  for (RoutedAttempt& attempt : attempts) router.endAttempt(at(700), attempt, AttemptResult::kSucceeded);
  router.applyLoadReport(at(750), EngineId("busy"), report);
  // The report still includes the requests that have ended.
  for (int index = 0; index < 14; ++index) {
    CHECK(isOk(router.choose(at(800), {})));
    router.beginAttempt(at(800), EngineId("busy"), Urgency::kOnline, {});
  }
}

}  // namespace
}  // namespace hatchfork::request
