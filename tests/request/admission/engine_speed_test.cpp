#include "request/admission/engine_speed.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <numeric>

#include "request/exchange/engine_selector.hpp"
#include "tests/request/admission/uneven_engines.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const ServiceId kService("llm");
const ZoneId kZone("z1");
constexpr EngineSpeedLimits kLimits;

AnswerTiming answer(double step_ms) {
  return AnswerTiming{30, step_ms * 16, 17};
}

ServiceSpeed usualService(double step_ms) {
  ServiceSpeed service;
  for (int i = 0; i < 200; ++i) service.note(answer(step_ms), kLimits);
  return service;
}

EngineQuery query() {
  EngineQuery made;
  made.service = kService;
  made.zone = kZone;
  made.prompt.prompt_tokens = 350;
  return made;
}

struct Outcome {
  std::size_t requests = 0;
  std::size_t late = 0;
  double busiest_over_mean = 0;
};

/// Replays a square wave with a jump. One process places the requests and learns of their starts and ends 5 ms late.
Outcome playJump(bool learns_pace, std::uint64_t seed, double jump) {
  constexpr double kObjectiveMs = 300;
  constexpr Duration kReportDelay = fromMillis(5);
  constexpr double kReportDelayMs = 5;
  constexpr double kEndMs = 12000;
  replay::VirtualTime time;
  replay::UnevenEngines engines(time, {}, seed);
  SelectorLimits limits;
  limits.places_zone = true;
  limits.learns_pace = learns_pace;
  EngineSelector selector(seed, limits);
  selector.takeEngines(time.now(), wholeListOf(engines.records(kService, kZone)));
  for (double at = 0; at < kEndMs; at += 50) time.at(at, [&] { selector.notePeerLoads(time.now(), {}); });
  const replay::Load load{{0, 100}, {3400, 255}, {5800, 100}, {9200, 255 * jump}, {11600, 100}};
  Outcome outcome;
  for (const double at : replay::arrivals(load, kEndMs, seed)) {
    time.at(at, [&, at] {
      const auto choice = selector.choose(time.now(), query());
      const TicketId ticket = selector.begin(time.now(), choice->engine.id, query());
      ++outcome.requests;
      engines.send(choice->engine.id, {[&, at, ticket](std::uint32_t pace) {
                                         if (time.nowMs() - at > kObjectiveMs) ++outcome.late;
                                         time.at(time.nowMs() + kReportDelayMs, [&, ticket, pace] {
                                           selector.noteFirstByte(time.now() - kReportDelay, ticket);
                                           selector.notePace(time.now(), ticket, pace);
                                         });
                                       },
                                       [&, ticket](const AnswerTiming& timing) {
                                         time.at(time.nowMs() + kReportDelayMs, [&, ticket, timing] {
                                           selector.noteTiming(ticket, timing);
                                           selector.end(time.now(), ticket, EngineVerdict::kGood);
                                         });
                                       }});
    });
  }
  time.run();
  const std::vector<double> shares = engines.busyShares();
  const double mean = std::accumulate(shares.begin(), shares.end(), 0.0) / static_cast<double>(shares.size());
  outcome.busiest_over_mean = *std::max_element(shares.begin(), shares.end()) / mean;
  return outcome;
}

}  // namespace

TEST_CASE("a load jump at engines of three speeds: fewer requests wait at slow engines once their speed is known",
          "[pace]") {
  Outcome without;
  Outcome with;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    without.late += playJump(false, seed, 1.7).late;
    const Outcome outcome = playJump(true, seed, 1.7);
    with.late += outcome.late;
    CAPTURE(seed, outcome.busiest_over_mean);
    REQUIRE(outcome.busiest_over_mean <= 1.15);
  }
  CAPTURE(without.late, with.late);
  REQUIRE(without.late > 50);
  REQUIRE(with.late * 2 <= without.late);
}

TEST_CASE("an engine's speed is learned against the service's mean", "[pace]") {
  const ServiceSpeed service = usualService(36);
  EngineSpeed fast;
  EngineSpeed slow;
  for (int i = 0; i < 30; ++i) {
    fast.note(answer(36 * 0.6), service, kLimits);
    slow.note(answer(36 * 1.6), service, kLimits);
  }
  REQUIRE(fast.learned(service, kLimits) == Approx(0.6).margin(0.08));
  REQUIRE(slow.learned(service, kLimits) == Approx(1.6).margin(0.1));
  REQUIRE(fast.effectiveSlots(replay::kBegin, 8, service, kLimits) >
          2 * slow.effectiveSlots(replay::kBegin, 8, service, kLimits));
}

TEST_CASE("few observations have little weight, and a single outlier even less", "[pace]") {
  const ServiceSpeed service = usualService(36);
  EngineSpeed engine;
  REQUIRE(engine.learned(service, kLimits) == 1);
  engine.note(answer(36 * 100), service, kLimits);
  REQUIRE(engine.learned(service, kLimits) <= 1.5);
  EngineSpeed known;
  for (int i = 0; i < 20; ++i) known.note(answer(36), service, kLimits);
  known.note(answer(36 * 100), service, kLimits);
  REQUIRE(known.learned(service, kLimits) < 1.06);
}

TEST_CASE("a learned speed stays within its bounds, whatever answers took", "[pace]") {
  const bool holds = rc::check([](const std::vector<std::uint16_t>& steps) {
    ServiceSpeed service;
    EngineSpeed engine;
    for (const std::uint16_t step : steps) {
      service.note(answer(step), kLimits);
      engine.note(answer(step * 7.0), service, kLimits);
      const double learned = engine.learned(service, kLimits);
      RC_ASSERT(learned >= 1 / kLimits.max_learned_factor);
      RC_ASSERT(learned <= kLimits.max_learned_factor);
    }
  });
  REQUIRE(holds);
}

TEST_CASE("a speed reported by an engine decays, and expires after a second", "[pace]") {
  const Instant now = replay::kBegin;
  EngineSpeed engine;
  REQUIRE(engine.reported(now, kLimits) == 1);
  REQUIRE(engine.reportedAgeMs(now) == -1);
  engine.noteReported(now, 2.5, kLimits);
  REQUIRE(engine.reported(now, kLimits) == Approx(2.5));
  REQUIRE(engine.reported(now + fromMillis(200), kLimits) == Approx(1.75));
  REQUIRE(engine.reported(now + fromMillis(600), kLimits) < 1.2);
  REQUIRE(engine.reported(now + fromMillis(1300), kLimits) == 1);
  engine.noteReported(now + fromMillis(100), 1, kLimits);
  REQUIRE(engine.reported(now + fromMillis(100), kLimits) == 1);
}

TEST_CASE("a new incarnation of an engine has none of the speed of the one before", "[pace]") {
  SelectorLimits limits;
  limits.places_zone = true;
  EngineSelector selector(1, limits);
  const Instant now = replay::kBegin;
  std::vector<EngineRecord> engines;
  for (std::size_t i = 0; i < 2; ++i) {
    EngineRecord record;
    record.id = replay::engineName(i);
    record.service = kService;
    record.zone = kZone;
    record.slots = 8;
    record.born = 1;
    engines.push_back(record);
  }
  selector.takeEngines(now, wholeListOf(engines));
  for (int i = 0; i < 40; ++i) {
    for (std::size_t engine = 0; engine < 2; ++engine) {
      const TicketId ticket = selector.begin(now, engines[engine].id, query());
      selector.notePace(now, ticket, engine == 0 ? 250 : 100);
      selector.noteTiming(ticket, answer(engine == 0 ? 60 : 30));
      selector.end(now, ticket, EngineVerdict::kGood);
    }
  }
  const auto slownessOf = [&](std::size_t engine) {
    return selector.describeChosen(now, engines[engine].id, query(), 0, 0)->slowness;
  };
  REQUIRE(slownessOf(0) > 2);
  REQUIRE(slownessOf(1) < 1);
  engines[0].born = 2;
  selector.takeEngines(now, EngineChanges{false, {engines[0]}, {}});
  REQUIRE(slownessOf(0) == 1);
}

TEST_CASE("engines that report no speed count as equal, however long their answers took", "[pace]") {
  const Instant now = replay::kBegin;
  EngineSelector selector(1);
  EngineRecord record;
  record.id = replay::engineName(0);
  record.service = kService;
  record.zone = kZone;
  record.slots = 8;
  selector.takeEngines(now, wholeListOf({record}));
  for (int i = 0; i < 40; ++i) {
    const TicketId ticket = selector.begin(now, record.id, query());
    selector.noteTiming(ticket, answer(i < 20 ? 30 : 90));
    selector.end(now, ticket, EngineVerdict::kGood);
  }
  REQUIRE(selector.choose(now, query())->slowness == 1);
}
