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

/// Fixture: an aggregator of two zones, with one receiver that reads all digests.
struct Fixture {
  std::vector<LoadTotalsFrame> totals;
  std::vector<std::size_t> frame_bytes;
  request::EngineKeys keys;
  request::LoadDigestReader reader;
  LoadAggregator aggregator{ReplicaId("10.0.0.1"), keys,
                            [this](const ReplicaId&, const LoadTotalsFrame& frame) { totals.push_back(frame); }};

  explicit Fixture(int engines = 3) {
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
    for (const EngineShare& entry : reader.others(keys, {})) {
      if (entry.engine == EngineId(id)) return entry.in_flight;
    }
    return 0;
  }
};

}  // namespace

TEST_CASE("receivers get the load of their own zone and of all others", "[loads]") {
  Fixture fixture;
  fixture.report(kStart, "g1", {share("e0", 2)});
  fixture.report(kStart, "g2", {share("e0", 1), share("e1", 4)});
  request::LoadDigestWriter remote;
  fixture.aggregator.take(kStart, LoadTotalsFrame{ReplicaId("10.0.1.1"), remote.changes({share("e1", 5)})});
  fixture.aggregator.tick(kStart);
  REQUIRE(fixture.inFlight("e0") == 3);
  REQUIRE(fixture.inFlight("e1") == 9);
  // The other aggregators receive only the load reported here, so nothing is counted twice.
  request::LoadDigestReader peer;
  REQUIRE(fixture.totals.size() == 1);
  REQUIRE(peer.take(fixture.totals.front().digest, true));
  REQUIRE(peer.others(fixture.keys, {share("e0", 3), share("e1", 4)}).empty());
}

TEST_CASE("the totals of a silent aggregator expire", "[loads]") {
  Fixture fixture;
  request::LoadDigestWriter remote;
  fixture.report(kStart, "g1", {share("e0", 2)});
  fixture.aggregator.take(kStart, LoadTotalsFrame{ReplicaId("10.0.1.1"), remote.changes({share("e1", 5)})});
  fixture.aggregator.tick(kStart);
  const Instant later = kStart + fromMillis(1500);
  fixture.report(later, "g1", {share("e0", 2)});
  fixture.aggregator.tick(later);
  REQUIRE(fixture.inFlight("e1") == 0);
  REQUIRE(fixture.inFlight("e0") == 2);
}

TEST_CASE("a receiver on a new connection gets a complete digest", "[loads]") {
  Fixture fixture;
  fixture.report(kStart, "g1", {share("e0", 2)});
  fixture.aggregator.tick(kStart);
  fixture.reader = request::LoadDigestReader();
  int other_connection = 0;
  fixture.aggregator.take(kStart, LoadReportFrame{"g1", {share("e0", 2)}}, fixture.receiver(&other_connection));
  REQUIRE(fixture.inFlight("e0") == 2);
}

TEST_CASE("the bytes per second to a receiver do not grow with the fleet", "[loads]") {
  const auto bytesPerSecond = [](int engines) {
    Fixture fixture(engines);
    for (int step = 0; step < 200; ++step) {
      const Instant now = kStart + step * fromMillis(50);
      std::vector<EngineShare> shares;
      // Every engine's load changes all the time.
      for (int i = 0; i < engines; ++i) shares.push_back(share("e" + std::to_string(i), 1 + (step + i) % 3));
      fixture.report(now, "g1", shares);
      fixture.aggregator.tick(now);
    }
    std::size_t bytes = 0;
    for (const std::size_t frame : fixture.frame_bytes) bytes += frame;
    return static_cast<double>(bytes) / 10;
  };
  const double few = bytesPerSecond(200);
  REQUIRE(few > 3000);
  REQUIRE(few < 8000);
  REQUIRE(bytesPerSecond(2000) <= few);
}
