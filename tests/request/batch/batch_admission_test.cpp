#include "request/batch/batch_admission.hpp"

#include <catch2/catch.hpp>

namespace hatchfork::request {
namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

const EngineId kEngine("engine");

ServiceFleet makeFleet() {
  ServiceFleet fleet;
  fleet.engines = {{kEngine, ZoneId("zone"), 16, false, false}};
  fleet.gateways = {{GatewayId("gateway"), ZoneId("zone")}};
  return fleet;
}

struct Fixture {
  BatchAdmission admission{makeOptions()};
  AttemptId next = 1;

  Fixture() { admission.updateFleet(at(0), std::make_shared<const ServiceFleet>(makeFleet()), at(100000)); }
  static BatchAdmissionOptions makeOptions() {
    BatchAdmissionOptions options;
    options.self = GatewayId("gateway");
    options.reserved_slots = 1;
    return options;
  }
  /// Starts attempts until no more fit, each after the first token of the previous one.
  std::uint32_t fill(Instant now) {
    while (admission.admit(now, next)) admission.recordBatchToken(next++, 1);
    return admission.running();
  }
  void report(Instant now, std::uint32_t online, bool preempts) {
    LoadReport report;
    report.online_running = online;
    report.preempts_batch = preempts;
    admission.applyLoadReport(now, kEngine, report);
  }
};

TEST_CASE("batch work fills idle slots, is preempted immediately and refills freed slots", "[batch]") {
  Fixture fixture;
  CHECK(fixture.fill(at(0)) == 15);
  // The first request takes the reserved slot; each further one preempts the newest attempt.
  CHECK(fixture.admission.beginOnline(at(100), kEngine).empty());
  CHECK(fixture.admission.beginOnline(at(100), kEngine) == std::vector<AttemptId>{15});
  CHECK(fixture.admission.beginOnline(at(100), kEngine) == std::vector<AttemptId>{14});
  CHECK(fixture.admission.running() == 13);
  CHECK(fixture.fill(at(101)) == 13);
  for (int request = 0; request < 3; ++request) {
    fixture.admission.recordOnlineFirstToken(at(200), kEngine, fromMillis(100));
  }
  CHECK(fixture.fill(at(1000)) == 13);
  fixture.admission.endOnline(at(1100), kEngine, true);
  fixture.admission.endOnline(at(1100), kEngine, true);
  CHECK(fixture.fill(at(1100)) == 14);
  fixture.admission.endOnline(at(1200), kEngine, true);
  CHECK(fixture.fill(at(1200)) == 15);
}

TEST_CASE("batch work is paused for each online request, up to all slots", "[batch]") {
  Fixture fixture;
  fixture.fill(at(0));
  for (std::uint32_t online = 1; online <= 20; ++online) {
    fixture.admission.beginOnline(at(online), kEngine);
    CHECK(fixture.admission.running() + online <= std::max(16u, online));
  }
  CHECK(fixture.admission.running() == 0);
  CHECK(fixture.fill(at(100)) == 0);
}

TEST_CASE("a preempting engine keeps its batch work and a full engine gets no more", "[batch]") {
  Fixture fixture;
  fixture.report(at(0), 0, true);
  CHECK(fixture.fill(at(0)) == 16);
  CHECK(fixture.admission.beginOnline(at(10), kEngine).empty());
  CHECK(fixture.admission.tick(at(20)).empty());
  fixture.admission.endBatch(at(30), 1);
  CHECK(fixture.fill(at(40)) == 15);
}

TEST_CASE("online work of other gateways in load reports pauses batch work", "[batch]") {
  Fixture fixture;
  fixture.fill(at(0));
  fixture.report(at(10), 10, false);
  CHECK(fixture.admission.tick(at(20)).size() == 9);
  CHECK(fixture.admission.running() == 6);
  fixture.admission.endBatch(at(21), 1);
  CHECK(fixture.fill(at(22)) == 5);
  CHECK(fixture.admission.tick(at(5000)).empty());
  CHECK(fixture.fill(at(5000)) == 15);
}

TEST_CASE("first tokens above the target decrease the limit", "[batch]") {
  Fixture fixture;
  fixture.fill(at(0));
  fixture.admission.beginOnline(at(0), kEngine);
  fixture.admission.recordOnlineFirstToken(at(1000), kEngine, fromMillis(1000));
  fixture.admission.endOnline(at(1000), kEngine, true);
  for (AttemptId attempt = 1; attempt <= 10; ++attempt) fixture.admission.endBatch(at(1000), attempt);
  CHECK(fixture.fill(at(1000)) == 11);
  CHECK(fixture.fill(at(1100)) == 13);
  CHECK(fixture.fill(at(3000)) == 15);
}

TEST_CASE("a frozen gateway whose ownership expired places no items and pauses the running ones", "[batch][freeze]") {
  Fixture fixture;
  fixture.fill(at(0));
  CHECK(fixture.admission.room(at(100001)) == 0);
  CHECK_FALSE(fixture.admission.admit(at(100001), 1000));
  CHECK(fixture.admission.tick(at(100001)).size() == 15);
  fixture.admission.renewOwnership(at(200000));
  CHECK(fixture.fill(at(100002)) == 15);
}

TEST_CASE("batch work on leaving engines and on engines of another owner is paused", "[batch][leaving]") {
  for (int cause = 0; cause < 4; ++cause) {
    Fixture fixture;
    fixture.fill(at(0));
    ServiceFleet fleet = makeFleet();
    if (cause == 0) fleet.engines[0].drained_by_operator = true;
    if (cause == 1) fleet.engines[0].leaving_platform = true;
    if (cause == 2) fleet.gateways = {{GatewayId("other"), ZoneId("zone")}};
    fixture.admission.updateFleet(at(10), std::make_shared<const ServiceFleet>(fleet), at(100000));
    LoadReport leaving;
    leaving.draining = true;
    leaving.preempts_batch = true;
    if (cause == 3) fixture.admission.applyLoadReport(at(10), kEngine, leaving);
    CHECK(fixture.admission.tick(at(20)).size() == 15);
    CHECK(fixture.admission.room(at(30)) == 0);
  }
}

TEST_CASE("a paused item returns to the engine that caches its prompt", "[batch][resume]") {
  BatchAdmission admission(Fixture::makeOptions());
  ServiceFleet fleet = makeFleet();
  fleet.engines.push_back({EngineId("larger"), ZoneId("zone"), 64, false, false});
  admission.updateFleet(at(0), std::make_shared<const ServiceFleet>(fleet), at(20000));
  CHECK(admission.admit(at(0), 1) == EngineId("larger"));
  admission.recordBatchToken(1, 1);
  const PausedPlacement paused{kEngine, at(0)};
  CHECK(admission.admit(at(0), 2, paused) == kEngine);
  // While that engine is full, the item waits for it, and other items are placed elsewhere.
  for (int online = 0; online < 16; ++online) admission.beginOnline(at(1), kEngine);
  CHECK_FALSE(admission.admit(at(2), 3, paused));
  CHECK(admission.admit(at(2), 4) == EngineId("larger"));
  admission.recordBatchToken(4, 1);
  CHECK(admission.admit(at(10000), 5, paused) == EngineId("larger"));
  // The item does not wait for an engine that leaves.
  admission.recordBatchToken(5, 1);
  fleet.engines[0].leaving_platform = true;
  admission.updateFleet(at(20), std::make_shared<const ServiceFleet>(fleet), at(20000));
  CHECK(admission.admit(at(30), 6, paused) == EngineId("larger"));
}

TEST_CASE("the attempt that loses the fewest tokens is paused", "[batch][resume]") {
  Fixture fixture;
  fixture.fill(at(0));
  for (AttemptId attempt = 1; attempt <= 15; ++attempt) {
    fixture.admission.recordBatchToken(attempt, static_cast<std::uint32_t>(20 + attempt));
  }
  // After the first whole block of 64 tokens, only the tokens since the last whole block are lost.
  fixture.admission.recordBatchToken(7, 66);
  fixture.admission.recordBatchToken(8, 128);
  fixture.admission.beginOnline(at(1), kEngine);
  CHECK(fixture.admission.beginOnline(at(1), kEngine) == std::vector<AttemptId>{8});
  CHECK(fixture.admission.beginOnline(at(1), kEngine) == std::vector<AttemptId>{7});
  CHECK(fixture.admission.beginOnline(at(1), kEngine) == std::vector<AttemptId>{1});
}

TEST_CASE("batch prompts are processed one at a time, and not while an online request waits", "[batch]") {
  Fixture fixture;
  CHECK(fixture.admission.admit(at(0), 1));
  CHECK_FALSE(fixture.admission.admit(at(0), 2));
  CHECK(fixture.admission.recordBatchToken(1, 1));
  CHECK_FALSE(fixture.admission.recordBatchToken(1, 2));
  CHECK(fixture.admission.admit(at(1), 2));
  fixture.admission.recordBatchToken(2, 1);
  fixture.admission.beginOnline(at(2), kEngine);
  CHECK_FALSE(fixture.admission.admit(at(3), 3));
  fixture.admission.recordOnlineFirstToken(at(4), kEngine, fromMillis(50));
  CHECK(fixture.admission.admit(at(5), 3));
  fixture.admission.endBatch(at(6), 3);
  CHECK(fixture.admission.admit(at(6), 4));
}

}  // namespace
}  // namespace hatchfork::request
