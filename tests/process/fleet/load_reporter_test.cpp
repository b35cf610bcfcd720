#include "process/fleet/load_reporter.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::fleet;
using request::EngineShare;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const std::vector<StoreAddress> kStores = {{ReplicaId("10.0.0.1"), ZoneId("z1")},
                                           {ReplicaId("10.0.0.2"), ZoneId("z1")},
                                           {ReplicaId("10.0.0.3"), ZoneId("z1")},
                                           {ReplicaId("10.0.1.1"), ZoneId("z2")},
                                           {ReplicaId("10.0.1.2"), ZoneId("z2")}};

struct Sent {
  ReplicaId to;
  std::vector<EngineShare> shares;
};

/// A reporter whose links are played by the test.
struct Stage {
  std::set<ReplicaId> unreachable;
  std::vector<Sent> sent;
  request::EngineKeys engines;
  LoadReporter reporter{"g1", ZoneId("z1"), engines, [this](const ReplicaId& to, const LoadReportFrame& report) {
                          if (unreachable.contains(to)) return false;
                          sent.push_back({to, report.shares});
                          return true;
                        }};
  Stage() { reporter.setStores(kStores); }
};

const std::vector<EngineShare> kLoad = {EngineShare{EngineId("e"), 1, 0, 0}};

LoadDigestFrame digestFrom(const std::string& store) {
  request::LoadDigestWriter writer;
  return LoadDigestFrame{ReplicaId(store), true, writer.changes({EngineShare{EngineId("e"), 3, 0, 0}})};
}

}  // namespace

TEST_CASE("all processes of a zone name the same aggregators", "[loads]") {
  REQUIRE(aggregatorsOf(kStores, ZoneId("z1")) == std::vector<ReplicaId>{ReplicaId("10.0.0.3"), ReplicaId("10.0.0.2")});
  REQUIRE(aggregatorsOf(kStores, ZoneId("z3")).empty());
}

TEST_CASE("changes are reported at once, the same again only now and then", "[loads]") {
  Stage stage;
  stage.reporter.report(kStart, kLoad);
  stage.reporter.report(kStart + fromMillis(50), kLoad);
  REQUIRE(stage.sent.size() == 1);
  stage.reporter.report(kStart + fromMillis(100), {});
  REQUIRE(stage.sent.size() == 2);
  REQUIRE(stage.sent.back().to == ReplicaId("10.0.0.3"));
  stage.reporter.report(kStart + fromMillis(600), {});
  REQUIRE(stage.sent.size() == 3);
}

TEST_CASE("the next aggregator takes over for one out of reach, and gives back", "[loads]") {
  Stage stage;
  stage.reporter.report(kStart, kLoad);
  stage.unreachable = {ReplicaId("10.0.0.3"), ReplicaId("10.0.0.2")};
  stage.reporter.report(kStart + fromMillis(500), kLoad);
  REQUIRE(stage.sent.back().to == ReplicaId("10.0.1.2"));
  stage.unreachable.clear();
  stage.reporter.report(kStart + fromMillis(1000), kLoad);
  // The former one no longer counts this process.
  REQUIRE(stage.sent.back().to == ReplicaId("10.0.1.2"));
  REQUIRE(stage.sent.back().shares.empty());
  REQUIRE(stage.sent[stage.sent.size() - 2].to == ReplicaId("10.0.0.3"));
}

TEST_CASE("a silent aggregator is given up, and what it says late is not taken", "[loads]") {
  Stage stage;
  stage.engines.take(wholeListOf({EngineRecord{EngineId("e"), ServiceId("s"), "10.0.9.1:80", ZoneId("z1"), 8, false}}));
  stage.reporter.report(kStart, kLoad);
  const auto others = stage.reporter.take(kStart, digestFrom("10.0.0.3"));
  REQUIRE(others);
  REQUIRE(others->front().in_flight == 2);
  stage.reporter.report(kStart + fromMillis(2000), kLoad);
  REQUIRE(stage.sent.back().to == ReplicaId("10.0.0.2"));
  REQUIRE_FALSE(stage.reporter.take(kStart + fromMillis(2000), digestFrom("10.0.0.3")));
  REQUIRE(stage.reporter.take(kStart + fromMillis(2000), digestFrom("10.0.0.2")));
}
