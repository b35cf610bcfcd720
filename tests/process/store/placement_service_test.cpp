#include "process/store/placement_service.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::store;
using request::EngineVerdict;

namespace {

const int kFirst = 0;
const int kSecond = 0;

Instant at(std::int64_t milliseconds) {
  return Instant(std::chrono::seconds(100) + fromMillis(milliseconds));
}

std::vector<EngineRecord> engines(int count, std::uint32_t slots, const std::string& zone = "z1") {
  std::vector<EngineRecord> made;
  for (int index = 0; index < count; ++index) {
    EngineRecord engine;
    engine.id = EngineId("e" + std::to_string(index));
    engine.service = ServiceId("llm");
    engine.address = "10.0.0." + std::to_string(index + 1) + ":80";
    engine.zone = ZoneId(zone);
    engine.slots = slots;
    made.push_back(engine);
  }
  return made;
}

fleet::PlacementQuestion question(const std::string& node, std::uint64_t number) {
  return fleet::PlacementQuestion{node, ZoneId("z1"), number, ServiceId("llm"), 100, {}};
}

fleet::PlacementNotes ended(const std::string& node, std::uint64_t number, EngineVerdict verdict) {
  return fleet::PlacementNotes{node, false, {}, {}, {fleet::EndedRequest{number, verdict}}};
}

}  // namespace

TEST_CASE("each slot is assigned once, whichever gateways request it", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  service.takeEngines(at(0), wholeListOf(engines(5, 3)));
  std::map<EngineId, int> taken;
  for (std::uint64_t number = 1; number <= 15; ++number) {
    const bool first = number % 2 == 0;
    const auto answer = service.take(at(0), question(first ? "g1" : "g2", number), first ? &kFirst : &kSecond);
    REQUIRE_FALSE(answer.engine.empty());
    REQUIRE(answer.running < 3);
    ++taken[answer.engine];
  }
  for (const auto& [engine, count] : taken) REQUIRE(count == 3);
  REQUIRE(service.counters().placed_without_free_slot == 0);
  service.take(at(1), question("g1", 99), &kFirst);
  REQUIRE(service.counters().placed_without_free_slot == 1);
}

TEST_CASE("a slot whose request has ended goes to the next request", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  service.takeEngines(at(0), wholeListOf(engines(3, 1)));
  EngineId freed;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    const auto answer = service.take(at(0), question("g1", number), &kFirst);
    if (number == 2) freed = answer.engine;
  }
  service.take(at(5), ended("g1", 2, EngineVerdict::kGood), &kFirst);
  REQUIRE(service.take(at(6), question("g2", 1), &kSecond).engine == freed);
}

TEST_CASE("an engine that failed for one gateway is excluded for all", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  service.takeEngines(at(0), wholeListOf(engines(4, 6)));
  const EngineId failed = service.take(at(0), question("g1", 1), &kFirst).engine;
  service.take(at(5), ended("g1", 1, EngineVerdict::kFailed), &kFirst);
  for (std::uint64_t number = 2; number <= 13; ++number) {
    REQUIRE(service.take(at(6), question("g2", number), &kSecond).engine != failed);
  }
}

TEST_CASE("the slots of a gateway whose connection ends are released", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  service.takeEngines(at(0), wholeListOf(engines(1, 2)));
  service.take(at(0), question("g1", 1), &kFirst);
  service.take(at(0), question("g1", 2), &kFirst);
  service.drop(at(10), &kSecond);
  REQUIRE(service.take(at(11), question("g2", 1), &kSecond).running == 2);
  service.drop(at(12), &kFirst);
  REQUIRE(service.take(at(13), question("g2", 2), &kSecond).running == 1);
}

TEST_CASE("a silent gateway expires", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  service.takeEngines(at(0), wholeListOf(engines(1, 2)));
  service.take(at(0), question("g1", 1), &kFirst);
  service.expire(at(2000));
  REQUIRE(service.gateways() == 1);
  service.expire(at(2600));
  REQUIRE(service.gateways() == 0);
  REQUIRE(service.take(at(2700), question("g2", 1), &kSecond).running == 0);
}

TEST_CASE("a service that has just started learns which requests gateways have, and which have ended", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  service.takeEngines(at(0), wholeListOf(engines(2, 4)));
  fleet::PlacementNotes whole{"g1", true, {}, {}, {}};
  for (std::uint64_t number = 1; number <= 4; ++number) {
    whole.present.push_back(fleet::PlacedRequest{number, EngineId("e0"), 100, true});
  }
  // The placement of another request is in flight.
  whole.present.push_back(fleet::PlacedRequest{5, {}, 0, false});
  service.take(at(0), whole, &kFirst);
  for (std::uint64_t number = 1; number <= 4; ++number) {
    REQUIRE(service.take(at(1), question("g2", number), &kSecond).engine == EngineId("e1"));
  }
  whole.present.clear();
  service.take(at(2), whole, &kFirst);
  REQUIRE(service.take(at(3), question("g2", 5), &kSecond).running == 0);
}

TEST_CASE("engines that a gateway cannot reach are not assigned to its requests", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  service.takeEngines(at(0), wholeListOf(engines(2, 6)));
  fleet::PlacementQuestion asked = question("g1", 1);
  asked.excluded = {EngineId("e0")};
  REQUIRE(service.take(at(0), asked, &kFirst).engine == EngineId("e1"));
  asked.excluded = {EngineId("e0"), EngineId("e1")};
  REQUIRE(service.take(at(0), asked, &kFirst).engine.empty());
  REQUIRE(service.counters().unplaced == 1);
}

TEST_CASE("a full zone sends requests to engines of other zones, as far as their load is reported", "[placement]") {
  PlacementService service(1, ZoneId("z1"), [](const EngineId&) {});
  std::vector<EngineRecord> all = engines(1, 1);
  EngineRecord remote = all.front();
  remote.id = EngineId("remote");
  remote.zone = ZoneId("z2");
  remote.slots = 6;
  all.push_back(remote);
  service.takeEngines(at(0), wholeListOf(all));
  REQUIRE(service.take(at(0), question("g1", 1), &kFirst).engine == EngineId("e0"));
  REQUIRE(service.take(at(0), question("g1", 2), &kFirst).engine == EngineId("remote"));
}

TEST_CASE("an online request takes a free slot, or else preempts a batch run, before it waits", "[placement]") {
  std::vector<EngineId> preempted;
  PlacementService service(1, ZoneId("z1"), [&](const EngineId& engine) { preempted.push_back(engine); });
  service.takeEngines(at(0), wholeListOf(engines(2, 2)));
  service.noteBackground(
      {request::EngineShare{EngineId("e0"), 2, 0, 0}, request::EngineShare{EngineId("e1"), 1, 0, 0}});
  REQUIRE(service.take(at(0), question("g1", 1), &kFirst).engine == EngineId("e1"));
  REQUIRE(preempted.empty());
  for (std::uint64_t number = 2; number <= 4; ++number) {
    REQUIRE(service.take(at(0), question("g1", number), &kFirst).running < 2);
  }
  REQUIRE(preempted.size() == 3);
  REQUIRE(std::count(preempted.begin(), preempted.end(), EngineId("e0")) == 2);
  // No batch run is left to preempt.
  service.take(at(0), question("g1", 5), &kFirst);
  REQUIRE(preempted.size() == 3);
  REQUIRE(service.counters().placed_without_free_slot == 1);
}
