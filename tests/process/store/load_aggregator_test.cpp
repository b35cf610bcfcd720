#include "process/store/load_aggregator.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::store;
using fleet::LoadDigestFrame;
using fleet::LoadReportFrame;
using fleet::LoadTotalsFrame;
using request::EngineShare;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

EngineShare share(const std::string& engine, std::uint32_t in_flight) {
  return EngineShare{EngineId(engine), in_flight, 0, 0};
}

EngineRecord engine(const std::string& id) {
  return EngineRecord{EngineId(id), ServiceId("s"), "10.0.9.1:80", ZoneId("z1"), 8, false};
}

/// An aggregator of two zones, with one receiver that keeps what it is told.
struct Stage {
  std::vector<LoadTotalsFrame> totals;
  std::vector<std::size_t> frame_bytes;
  request::EngineKeys keys;
  request::LoadDigestReader reader;
  LoadAggregator aggregator{ReplicaId("10.0.0.1"), keys,
                            [this](const ReplicaId&, const LoadTotalsFrame& frame) { totals.push_back(frame); }};

  explicit Stage(int engines = 3) {
    aggregator.setStores({{ReplicaId("10.0.0.1"), ZoneId("z1")}, {ReplicaId("10.0.1.1"), ZoneId("z2")}});
    std::vector<EngineRecord> records;
    for (int i = 0; i < engines; ++i) records.push_back(engine("e" + std::to_string(i)));
    keys.take(wholeListOf(std::move(records)));
  }

  LoadReceiver receiver(const void* connection) {
    return LoadReceiver{connection, [this](const std::string& frame) {
                          frame_bytes.push_back(frame.size());
                          const auto message = decodeTagged<fleet::FleetMessage>(frame);
                          const auto& digest = std::get<LoadDigestFrame>(valueOf(message));
                          REQUIRE(reader.take(digest.digest, digest.is_whole));
                        }};
  }
  void report(Instant now, const std::string& node, std::vector<EngineShare> shares) {
    aggregator.take(now, LoadReportFrame{node, std::move(shares)}, receiver(this));
  }
  std::uint32_t inFlight(const std::string& id) const {
    for (const EngineShare& told : reader.others(keys, {})) {
      if (told.engine == EngineId(id)) return told.in_flight;
    }
    return 0;
  }
};

}  // namespace

TEST_CASE("receivers hear of their own zone and of all others", "[loads]") {
  Stage stage;
  stage.report(kStart, "g1", {share("e0", 2)});
  stage.report(kStart, "g2", {share("e0", 1), share("e1", 4)});
  request::LoadDigestWriter remote;
  stage.aggregator.take(kStart, LoadTotalsFrame{ReplicaId("10.0.1.1"), remote.changes({share("e1", 5)})});
  stage.aggregator.tick(kStart);
  REQUIRE(stage.inFlight("e0") == 3);
  REQUIRE(stage.inFlight("e1") == 9);
  // The other aggregators are told only what is reported here, so nothing is counted twice.
  request::LoadDigestReader peer;
  REQUIRE(stage.totals.size() == 1);
  REQUIRE(peer.take(stage.totals.front().digest, true));
  REQUIRE(peer.others(stage.keys, {share("e0", 3), share("e1", 4)}).empty());
}

TEST_CASE("an aggregator that has fallen silent counts no more", "[loads]") {
  Stage stage;
  request::LoadDigestWriter remote;
  stage.report(kStart, "g1", {share("e0", 2)});
  stage.aggregator.take(kStart, LoadTotalsFrame{ReplicaId("10.0.1.1"), remote.changes({share("e1", 5)})});
  stage.aggregator.tick(kStart);
  const Instant later = kStart + fromMillis(1500);
  stage.report(later, "g1", {share("e0", 2)});
  stage.aggregator.tick(later);
  REQUIRE(stage.inFlight("e1") == 0);
  REQUIRE(stage.inFlight("e0") == 2);
}

TEST_CASE("a receiver on a new connection hears everything again", "[loads]") {
  Stage stage;
  stage.report(kStart, "g1", {share("e0", 2)});
  stage.aggregator.tick(kStart);
  stage.reader = request::LoadDigestReader();
  int other_connection = 0;
  stage.aggregator.take(kStart, LoadReportFrame{"g1", {share("e0", 2)}}, stage.receiver(&other_connection));
  REQUIRE(stage.inFlight("e0") == 2);
}

TEST_CASE("a receiver's bytes a second do not grow with the fleet", "[loads]") {
  const auto bytesASecond = [](int engines) {
    Stage stage(engines);
    for (int step = 0; step < 200; ++step) {
      const Instant now = kStart + step * fromMillis(50);
      std::vector<EngineShare> shares;
      // Every engine's load changes all the time.
      for (int i = 0; i < engines; ++i) shares.push_back(share("e" + std::to_string(i), 1 + (step + i) % 3));
      stage.report(now, "g1", shares);
      stage.aggregator.tick(now);
    }
    std::size_t bytes = 0;
    for (const std::size_t frame : stage.frame_bytes) bytes += frame;
    return static_cast<double>(bytes) / 10;
  };
  const double few = bytesASecond(200);
  REQUIRE(few > 3000);
  REQUIRE(few < 8000);
  REQUIRE(bytesASecond(2000) <= few);
}
