#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "process/store/placement_service.hpp"
#include "tests/request/admission/uneven_engines.hpp"

using namespace hatchfork;
using namespace hatchfork::store;
using request::EngineVerdict;

namespace {

const int kFirst = 0;
const int kSecond = 0;
const ServiceId kService("llm");
const ZoneId kZone("z1");

Instant at(std::int64_t milliseconds) {
  return request::replay::kBegin + fromMillis(milliseconds);
}

fleet::PlacementQuestion question(const std::string& node, std::uint64_t number, std::int64_t left_ms = 300) {
  fleet::PlacementQuestion made;
  made.node = node;
  made.zone = kZone;
  made.number = number;
  made.service = kService;
  made.prompt_tokens = 100;
  made.terms = fleet::PlacementTerms{};
  made.terms->left_ms = left_ms;
  return made;
}

fleet::PlacementNotes ended(const std::string& node, std::uint64_t number) {
  fleet::PlacementNotes notes;
  notes.node = node;
  notes.ended = {fleet::EndedRequest{number, EngineVerdict::kGood, request::AnswerTiming{30, 600, 17}}};
  return notes;
}

/// Fixture: a zone of engines with one slot each that report their speed, and the answers of its placement service.
struct Zone {
  /// `held`: time for which the first requests occupied their slots. `engines_zone`: zone of the engines.
  explicit Zone(int engines, request::LoadFeatures features = {}, Duration held = fromMillis(600),
                ZoneId engines_zone = kZone)
      : service(
            1, kZone, [](const EngineId&) {}, features) {
    std::vector<EngineRecord> records;
    for (int i = 0; i < engines; ++i) {
      EngineRecord record;
      record.id = request::replay::engineName(static_cast<std::size_t>(i));
      record.service = kService;
      record.zone = engines_zone;
      record.slots = 1;
      records.push_back(record);
    }
    service.takeEngines(at(0), wholeListOf(records));
    service.setAnswerHandler([this](const void* connection, const fleet::PlacementAnswer& answer) {
      answers.emplace_back(connection, answer);
    });
    // One request is run at each engine, so that the engine's speed and the time for which a request occupies a slot
    // are known.
    for (int i = 0; i < engines; ++i) {
      const std::uint64_t number = 1000 + static_cast<std::uint64_t>(i);
      service.take(at(-700), question("g0", number), &kFirst);
      fleet::PlacementNotes begun;
      begun.node = "g0";
      begun.answering = {number};
      begun.paces = {fleet::ToldPace{number, 100}};
      service.take(at(0) - held, begun, &kFirst);
    }
    for (int i = 0; i < engines; ++i) service.take(at(0), ended("g0", 1000 + static_cast<std::uint64_t>(i)), &kFirst);
  }

  /// Returns the last deferred answer for a request number.
  std::optional<fleet::PlacementAnswer> sentTo(std::uint64_t number) const {
    std::optional<fleet::PlacementAnswer> last;
    for (const auto& [connection, answer] : answers) {
      if (answer.number == number) last = answer;
    }
    return last;
  }

  std::vector<std::pair<const void*, fleet::PlacementAnswer>> answers;
  PlacementService service;
};

}  // namespace

TEST_CASE("a request without a free slot is queued and gets the next released slot", "[placement][line]") {
  Zone zone(4);
  for (std::uint64_t number = 1; number <= 4; ++number) {
    REQUIRE_FALSE(zone.service.take(at(1), question("g1", number), &kFirst).engine.empty());
  }
  const auto first = zone.service.take(at(2), question("g1", 5), &kFirst);
  REQUIRE(first.stands());
  REQUIRE(first.position == 0);
  REQUIRE(zone.service.take(at(3), question("g2", 6, 500), &kSecond).position == 1);
  REQUIRE(zone.service.queuedRequests() == 2);
  zone.service.take(at(10), ended("g1", 2), &kFirst);
  REQUIRE_FALSE(zone.sentTo(5)->engine.empty());
  REQUIRE_FALSE(zone.sentTo(6));
  zone.service.take(at(20), ended("g1", 3), &kFirst);
  REQUIRE_FALSE(zone.sentTo(6)->engine.empty());
  REQUIRE(zone.answers.back().first == &kSecond);
  REQUIRE(zone.service.queuedRequests() == 0);
  REQUIRE(zone.service.counters().placed_without_free_slot == 0);
}

/// Guards against queueing requests for short answers here: an engine with one slow answer was not worth the detour, so
/// they waited although the engines were at a quarter of their capacity; of 6,408 requests 292 were refused and 960
/// late.
TEST_CASE("requests for short answers go to the engines' own queues", "[placement][line]") {
  Zone zone(2, {}, fromMillis(1));
  for (std::uint64_t number = 1; number <= 6; ++number) {
    REQUIRE_FALSE(zone.service.take(at(1), question("g1", number), &kFirst).engine.empty());
  }
  REQUIRE(zone.service.queuedRequests() == 0);
}

TEST_CASE("a zone without engines of the service has no queue", "[placement][line]") {
  Zone zone(1, {}, fromMillis(600), ZoneId("z2"));
  REQUIRE_FALSE(zone.service.take(at(1), question("g1", 1), &kFirst).engine.empty());
  REQUIRE_FALSE(zone.service.take(at(2), question("g1", 2), &kFirst).engine.empty());
  REQUIRE(zone.service.queuedRequests() == 0);
}

TEST_CASE("a request that cannot meet its deadline is refused on arrival, or when its deadline has passed in the queue",
          "[placement][line]") {
  Zone zone(2);
  zone.service.take(at(1), question("g1", 1), &kFirst);
  zone.service.take(at(1), question("g1", 2), &kFirst);
  REQUIRE(zone.service.take(at(2), question("g1", 3, 400), &kFirst).stands());
  const auto refused = zone.service.take(at(2), question("g1", 4, 100), &kFirst);
  REQUIRE(refused.isRefused());
  REQUIRE(refused.refused_for_ms > 100);
  zone.service.tick(at(401));
  REQUIRE(zone.service.queuedRequests() == 1);
  zone.service.tick(at(403));
  REQUIRE(zone.sentTo(3)->isRefused());
  REQUIRE(zone.service.queuedRequests() == 0);
}

TEST_CASE("a request that may not be refused is placed although it is late", "[placement][line]") {
  Zone zone(1);
  zone.service.take(at(1), question("g1", 1), &kFirst);
  fleet::PlacementQuestion again = question("g1", 2, 100);
  again.terms->may_be_refused = false;
  REQUIRE(zone.service.take(at(2), again, &kFirst).stands());
  zone.service.tick(at(103));
  REQUIRE_FALSE(zone.sentTo(2)->engine.empty());
}

TEST_CASE("requests of gateways of an older release, and of services with equal engines, are not queued",
          "[placement][line]") {
  Zone zone(1);
  zone.service.take(at(1), question("g1", 1), &kFirst);
  fleet::PlacementQuestion old = question("g1", 2);
  old.terms.reset();
  REQUIRE_FALSE(zone.service.take(at(2), old, &kFirst).engine.empty());

  request::LoadFeatures without;
  without.zone_line = false;
  Zone off(1, without);
  off.service.take(at(1), question("g1", 1), &kFirst);
  REQUIRE_FALSE(off.service.take(at(2), question("g1", 2), &kFirst).engine.empty());

  request::LoadFeatures equal;
  equal.engine_pace = false;
  Zone even(1, equal);
  even.service.take(at(1), question("g1", 1), &kFirst);
  REQUIRE_FALSE(even.service.take(at(2), question("g1", 2), &kFirst).engine.empty());
}

// Guards against online requests that wait until they are late behind some that are allowed in a lost zone only.
TEST_CASE("requests that are allowed in a zone without engines do not hold up those behind them", "[placement][line]") {
  Zone zone(2);
  constexpr std::uint64_t kBound = 8;
  for (std::uint64_t number = 1; number <= kBound; ++number) {
    fleet::PlacementQuestion bound = question("g1", number, number == 1 ? 400 : 4000);
    bound.zones = std::set<ZoneId>{ZoneId("lost")};
    REQUIRE(zone.service.take(at(1), bound, &kFirst).stands());
  }
  zone.service.take(at(2), question("g2", 200, 5000), &kSecond);
  zone.service.take(at(2), question("g2", 201, 5000), &kSecond);
  zone.service.tick(at(3));
  REQUIRE_FALSE(zone.sentTo(200)->engine.empty());
  REQUIRE_FALSE(zone.sentTo(201)->engine.empty());
  REQUIRE(zone.service.queuedRequests() == kBound);
}

TEST_CASE("a request whose gateway has disconnected or withdrawn it leaves the queue", "[placement][line]") {
  Zone zone(1);
  zone.service.take(at(1), question("g1", 1), &kFirst);
  for (std::uint64_t number = 2; number <= 5; ++number) {
    REQUIRE(zone.service.take(at(2), question(number < 4 ? "g1" : "g2", number, 5000), number < 4 ? &kFirst : &kSecond)
                .stands());
  }
  fleet::PlacementNotes gave_up;
  gave_up.node = "g1";
  gave_up.ended = {fleet::EndedRequest{2, EngineVerdict::kNeutral, {}}};
  zone.service.take(at(3), gave_up, &kFirst);
  REQUIRE(zone.service.queuedRequests() == 3);
  fleet::PlacementNotes whole;
  whole.node = "g2";
  whole.is_whole = true;
  whole.present = {fleet::PlacedRequest{5, {}, 0, false}};
  zone.service.take(at(4), whole, &kSecond);
  REQUIRE(zone.service.queuedRequests() == 2);
  zone.service.drop(at(5), &kFirst);
  // The slot of the disconnected gateway goes to the next request.
  REQUIRE(zone.service.queuedRequests() == 0);
  REQUIRE_FALSE(zone.sentTo(5)->engine.empty());
}

TEST_CASE("a slot assigned to a gateway that has withdrawn the request is released", "[placement][line]") {
  Zone zone(1);
  zone.service.take(at(1), question("g1", 1), &kFirst);
  zone.service.take(at(2), question("g1", 2, 5000), &kFirst);
  zone.service.take(at(2), question("g2", 3, 5000), &kSecond);
  zone.service.take(at(10), ended("g1", 1), &kFirst);
  REQUIRE_FALSE(zone.sentTo(2)->engine.empty());
  fleet::PlacementNotes gave_up;
  gave_up.node = "g1";
  gave_up.ended = {fleet::EndedRequest{2, EngineVerdict::kNeutral, {}}};
  zone.service.take(at(11), gave_up, &kFirst);
  REQUIRE_FALSE(zone.sentTo(3)->engine.empty());
}

TEST_CASE("gateways with queued requests receive a heartbeat many times a second", "[placement][line]") {
  Zone zone(1);
  zone.service.take(at(1), question("g1", 1), &kFirst);
  zone.service.take(at(2), question("g1", 2, 5000), &kFirst);
  zone.service.take(at(2), question("g1", 3, 5000), &kFirst);
  for (int tick = 1; tick <= 20; ++tick) zone.service.tick(at(50 * tick));
  REQUIRE(zone.answers.size() == 20);
  REQUIRE(zone.answers.back().second.stands());
}

namespace {

struct JumpOutcome {
  std::size_t requests = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
};

/// Simulates a jump of the load by a factor of 1.8 at engines of three speeds; each request is placed once or refused.
JumpOutcome simulateLoadJump(bool uses_queue, std::uint64_t seed) {
  constexpr double kEndMs = 12000;
  constexpr double kObjectiveMs = 300;
  constexpr double kLinkMs = 2;
  request::replay::VirtualTime time;
  request::replay::UnevenEngines engines(time, {}, seed);
  request::LoadFeatures features;
  features.zone_line = uses_queue;
  PlacementService service(
      seed, kZone, [](const EngineId&) {}, features);
  service.takeEngines(time.now(), wholeListOf(engines.records(kService, kZone)));
  JumpOutcome played;
  std::map<std::uint64_t, double> asked;
  std::set<std::uint64_t> concluded;
  const auto conclude = [&](const fleet::PlacementAnswer& answer) {
    if (answer.stands()) return;
    REQUIRE(concluded.insert(answer.number).second);
    if (answer.isRefused()) {
      ++played.refused;
      return;
    }
    const std::uint64_t number = answer.number;
    const auto note = [&time, &service](fleet::PlacementNotes notes) {
      notes.node = "g1";
      time.at(time.nowMs() + kLinkMs, [&time, &service, notes] { service.take(time.now(), notes, &kFirst); });
    };
    engines.send(answer.engine, {[&, note, number](std::uint32_t pace) {
                                   if (time.nowMs() - asked.at(number) > kObjectiveMs) ++played.late;
                                   fleet::PlacementNotes notes;
                                   notes.answering = {number};
                                   notes.paces = {fleet::ToldPace{number, pace}};
                                   note(notes);
                                 },
                                 [note, number](const request::AnswerTiming& timing) {
                                   fleet::PlacementNotes notes;
                                   notes.ended = {fleet::EndedRequest{number, EngineVerdict::kGood, timing}};
                                   note(notes);
                                 }});
  };
  service.setAnswerHandler([&](const void*, const fleet::PlacementAnswer& answer) { conclude(answer); });
  for (double tick = 0; tick < kEndMs + 2000; tick += 50) {
    time.at(tick, [&] {
      service.notePeerLoad(time.now(), {});
      service.tick(time.now());
    });
  }
  const request::replay::Load cycle{{0, 100}, {3400, 255}, {5800, 100}, {9200, 255 * 1.8}, {11600, 100}};
  std::uint64_t number = 0;
  for (const double when : request::replay::arrivals(cycle, kEndMs, seed)) {
    asked[++number] = when;
    time.at(when, [&, asking = number] {
      ++played.requests;
      conclude(service.take(time.now(), question("g1", asking, 290), &kFirst));
    });
  }
  time.run();
  REQUIRE(concluded.size() == played.requests);
  REQUIRE(service.queuedRequests() == 0);
  return played;
}

}  // namespace

TEST_CASE("a load jump of 1.8 at engines of three speeds: with the queue few requests are late or refused",
          "[placement][line]") {
  std::size_t late_in_queues = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    late_in_queues += simulateLoadJump(false, seed).late;
    const JumpOutcome played = simulateLoadJump(true, seed);
    late += played.late;
    refused += played.refused;
  }
  CAPTURE(late_in_queues, late, refused);
  REQUIRE(late_in_queues > 100);
  REQUIRE(late * 3 <= late_in_queues);
  REQUIRE(late + refused <= late_in_queues);
}
