#include "request/exchange/engine_selector.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

std::vector<EngineRecord> engines(int count, const std::string& zone = "z1") {
  std::vector<EngineRecord> made;
  for (int i = 0; i < count; ++i) {
    EngineRecord engine;
    engine.id = EngineId("engine-" + std::to_string(i));
    engine.service = ServiceId("llm");
    engine.address = "127.0.0.1:" + std::to_string(8000 + i);
    engine.zone = ZoneId(zone);
    engine.slots = 10;
    made.push_back(engine);
  }
  return made;
}

EngineQuery query(std::uint64_t prefix = 0, std::uint32_t shared = 0) {
  EngineQuery made;
  made.service = ServiceId("llm");
  made.zone = ZoneId("z1");
  made.prompt.prompt_tokens = shared + 100;
  if (shared > 0) made.prompt.parts = {{prefix, shared}, {prefix + 77, 100}};
  made.prefix_affinity = true;
  return made;
}

}  // namespace

TEST_CASE("work spreads over the engines of the service", "[selector]") {
  EngineSelector selector(1);
  selector.takeEngines(kStart, wholeListOf(engines(4)));
  std::map<EngineId, int> chosen;
  for (int i = 0; i < 40; ++i) {
    const auto choice = selector.choose(kStart, query());
    REQUIRE(choice);
    selector.begin(kStart, choice->engine.id, query());
    ++chosen[choice->engine.id];
  }
  for (const auto& [engine, count] : chosen) REQUIRE(count >= 7);
  REQUIRE(chosen.size() == 4);
}

TEST_CASE("every gateway sends prompts with the same large prefix to the same engines", "[selector]") {
  std::map<std::uint64_t, std::set<EngineId>> homes;
  for (std::uint64_t gateway = 1; gateway <= 8; ++gateway) {
    EngineSelector selector(gateway);
    selector.takeEngines(kStart, wholeListOf(engines(12)));
    for (std::uint64_t prefix = 1; prefix <= 20; ++prefix) {
      const auto choice = selector.choose(kStart, query(prefix * 1000, 13000));
      REQUIRE(choice->expects_cached_prefix);
      homes[prefix].insert(choice->engine.id);
    }
  }
  for (const auto& [prefix, at] : homes) REQUIRE(at.size() <= 2);
}

TEST_CASE("a prefix goes to its first home engine, and to one other while the first is loaded", "[selector]") {
  for (std::uint64_t prefix = 1; prefix <= 20; ++prefix) {
    std::set<EngineId> idle;
    std::set<EngineId> loaded;
    for (std::uint64_t gateway = 1; gateway <= 8; ++gateway) {
      EngineSelector selector(gateway);
      selector.takeEngines(kStart, wholeListOf(engines(12)));
      const EngineQuery wanted = query(prefix * 1000, 13000);
      const EngineId home = selector.choose(kStart, wanted)->engine.id;
      idle.insert(home);
      // Prompts of peers that take 140 ms to process.
      selector.notePeerLoads(kStart, {EngineShare{home, 3, 12000, 0}});
      loaded.insert(selector.choose(kStart, wanted)->engine.id);
    }
    REQUIRE(idle.size() == 1);
    REQUIRE(loaded.size() == 1);
    REQUIRE(idle != loaded);
  }
}

TEST_CASE("a loaded home loses a prompt to an engine where it starts sooner", "[selector]") {
  EngineSelector selector(3);
  selector.takeEngines(kStart, wholeListOf(engines(6)));
  const EngineQuery wanted = query(4242, 13000);
  const auto home = selector.choose(kStart, wanted);
  for (int i = 0; i < 40; ++i) {
    for (const EngineRecord& engine : engines(6)) {
      const bool is_home = selector.choose(kStart, wanted)->expects_cached_prefix;
      if (is_home) selector.begin(kStart, selector.choose(kStart, wanted)->engine.id, wanted);
      (void)engine;
    }
  }
  REQUIRE_FALSE(selector.choose(kStart, wanted)->engine.id == home->engine.id);
}

TEST_CASE("a failing engine is ejected and returns to rotation", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(2)));
  const EngineId bad("engine-0");
  selector.end(kStart, selector.begin(kStart, bad, query()), EngineVerdict::kFailed);
  for (int i = 0; i < 20; ++i) REQUIRE(selector.choose(kStart + fromMillis(i), query())->engine.id != bad);
  std::set<EngineId> later;
  for (int i = 0; i < 50; ++i) later.insert(selector.choose(kStart + std::chrono::seconds(10), query())->engine.id);
  REQUIRE(later.contains(bad));
}

TEST_CASE("an engine whose address another one has is never chosen again", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(2)));
  const EngineId gone("engine-0");
  selector.end(kStart, selector.begin(kStart, gone, query()), EngineVerdict::kGone);
  for (int i = 0; i < 50; ++i) {
    REQUIRE(selector.choose(kStart + std::chrono::seconds(i), query())->engine.id != gone);
  }
}

TEST_CASE("background work fills the slots where no surge of online requests was seen", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(6)));
  EngineQuery background = query();
  background.background = true;
  std::map<EngineId, int> held;
  for (int i = 0; i < 100; ++i) {
    const auto choice = selector.choose(kStart, background);
    if (!choice) break;
    selector.noteFirstByte(kStart, selector.begin(kStart, choice->engine.id, background));
    ++held[choice->engine.id];
  }
  REQUIRE(held.size() == 6);
  for (const auto& [engine, count] : held) REQUIRE(count == 10);
}

TEST_CASE("background work keeps slots free for surges of online requests", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(2)));
  EngineQuery background = query();
  background.background = true;
  selector.notePeerLoads(kStart, {});
  const Instant surged = kStart + fromMillis(100);
  selector.notePeerLoads(surged,
                         {EngineShare{EngineId("engine-0"), 4, 0, 0}, EngineShare{EngineId("engine-1"), 3, 0, 0}});
  const auto fill = [&](double urgency) {
    background.urgency = urgency;
    int started = 0;
    for (auto choice = selector.choose(surged, background); choice; choice = selector.choose(surged, background)) {
      selector.noteFirstByte(surged, selector.begin(surged, choice->engine.id, background));
      ++started;
    }
    return started;
  };
  // Seven requests arrived within the window: a little more than one slot of each engine is kept free.
  REQUIRE(fill(0) == 4 + 5);
  // Urgent work takes these slots, and nothing exceeds the slots.
  REQUIRE(fill(1) == 4);
  REQUIRE(selector.excess(surged, EngineId("engine-0")) == 0);
  selector.begin(surged, EngineId("engine-0"), query());
  REQUIRE(selector.excess(surged, EngineId("engine-0")) == 1);
}

TEST_CASE("long and short prompts go to separate engines while there is room", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(9)));
  std::set<EngineId> with_long;
  std::set<EngineId> with_short;
  for (std::uint64_t i = 1; i <= 30; ++i) {
    with_long.insert(selector.choose(kStart, query(i * 999, 13000))->engine.id);
    with_short.insert(selector.choose(kStart, query())->engine.id);
  }
  for (const EngineId& engine : with_long) REQUIRE_FALSE(with_short.contains(engine));
  REQUIRE(with_long.size() == 3);
}

TEST_CASE("without long prompts no engine is reserved for them", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(9)));
  std::set<EngineId> with_short;
  for (int i = 0; i < 200; ++i) with_short.insert(selector.choose(kStart, query())->engine.id);
  REQUIRE(with_short.size() == 9);
  // Some time after the last long prompt its lane is released.
  selector.choose(kStart, query(999, 13000));
  std::set<EngineId> beside;
  for (int i = 0; i < 200; ++i) beside.insert(selector.choose(kStart, query())->engine.id);
  REQUIRE(beside.size() == 6);
  std::set<EngineId> later;
  const Instant much_later = kStart + std::chrono::seconds(16);
  for (int i = 0; i < 200; ++i) later.insert(selector.choose(much_later, query())->engine.id);
  REQUIRE(later.size() == 9);
}

TEST_CASE("batch work goes to the lane of long prompts that other processes have in flight", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(9)));
  EngineQuery background = query();
  background.background = true;
  const auto chosen = [&](Instant now) {
    std::set<EngineId> engines;
    for (int i = 0; i < 200; ++i) engines.insert(selector.choose(now, background)->engine.id);
    return engines.size();
  };
  REQUIRE(chosen(kStart) == 9);
  selector.notePeerLoads(kStart, {EngineShare{EngineId("engine-1"), 1, 13000, 0}});
  REQUIRE(chosen(kStart + fromMillis(800)) == 3);
  REQUIRE(chosen(kStart + std::chrono::seconds(16)) == 9);
}

TEST_CASE("many processes that know the same loads do not all choose the same engine", "[selector]") {
  std::vector<EngineShare> others;
  for (int i = 0; i < 40; ++i) others.push_back(EngineShare{EngineId("engine-" + std::to_string(i)), 9, 0, 0});
  // One engine has room, and all processes know of it.
  others[7].in_flight = 2;
  std::map<EngineId, int> chosen;
  for (std::uint64_t process = 1; process <= 300; ++process) {
    EngineSelector selector(process);
    selector.takeEngines(kStart, wholeListOf(engines(40)));
    selector.notePeerLoads(kStart, others);
    ++chosen[selector.choose(kStart, query())->engine.id];
  }
  // About fifty choices fall within one report interval; 300 processes are six times as many.
  REQUIRE(chosen[EngineId("engine-7")] <= 60);
  REQUIRE(chosen[EngineId("engine-7")] >= 5);
  REQUIRE(chosen.size() >= 38);
}

TEST_CASE("where loads are reported far less often than they change, choices are spread evenly", "[selector]") {
  constexpr int kProcesses = 300;
  std::map<EngineId, int> chosen;
  for (std::uint64_t process = 1; process <= kProcesses; ++process) {
    EngineSelector selector(process);
    selector.takeEngines(kStart, wholeListOf(engines(5)));
    // Requests hold their slots for 60 ms; loads are reported every 100 ms at best.
    for (int i = 0; i < 20; ++i) {
      const TicketId ticket = selector.begin(kStart, EngineId("engine-0"), query());
      selector.noteFirstByte(kStart, ticket);
      selector.end(kStart + fromMillis(60), ticket, EngineVerdict::kGood);
    }
    std::vector<EngineShare> others;
    for (int i = 0; i < 5; ++i) {
      others.push_back(EngineShare{EngineId("engine-" + std::to_string(i)), static_cast<std::uint32_t>(2 + i), 0, 0});
    }
    selector.notePeerLoads(kStart, others);
    ++chosen[selector.choose(kStart, query())->engine.id];
  }
  for (const auto& [engine, count] : chosen) REQUIRE(count < kProcesses * 2 / 5);
  REQUIRE(chosen.size() == 5);
}

TEST_CASE("engines with overdue answers are left out of the sample", "[selector]") {
  for (std::uint64_t process = 1; process <= 50; ++process) {
    EngineSelector selector(process);
    selector.takeEngines(kStart, wholeListOf(engines(10)));
    std::vector<EngineShare> others;
    for (int i = 0; i < 10; ++i) {
      const std::uint32_t avoid_ms = i == 7 ? 0 : 500;
      others.push_back(EngineShare{EngineId("engine-" + std::to_string(i)), 9, 0, avoid_ms});
    }
    selector.notePeerLoads(kStart, others);
    REQUIRE(selector.choose(kStart, query())->engine.id == EngineId("engine-7"));
  }
}

TEST_CASE("an engine with an overdue first byte is avoided until it answers", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(2)));
  const TicketId ticket = selector.begin(kStart, EngineId("engine-0"), query());
  const Instant later = kStart + fromMillis(250);
  for (int i = 0; i < 30; ++i) REQUIRE(selector.choose(later, query())->engine.id == EngineId("engine-1"));
  selector.noteFirstByte(later, ticket);
  std::set<EngineId> chosen;
  for (int i = 0; i < 50; ++i) chosen.insert(selector.choose(later, query())->engine.id);
  REQUIRE(chosen.size() == 2);
}

TEST_CASE("an engine with answers overdue at another process is avoided too", "[selector]") {
  EngineSelector first(5);
  EngineSelector second(6);
  first.takeEngines(kStart, wholeListOf(engines(2)));
  second.takeEngines(kStart, wholeListOf(engines(2)));
  first.begin(kStart, EngineId("engine-0"), query());
  const Instant later = kStart + fromMillis(300);
  second.notePeerLoads(later, first.ownShares(later));
  for (int i = 0; i < 30; ++i) REQUIRE(second.choose(later, query())->engine.id == EngineId("engine-1"));
}

TEST_CASE("at most half of a service is out of rotation", "[selector]") {
  EngineSelector selector(5);
  selector.takeEngines(kStart, wholeListOf(engines(4)));
  for (const EngineRecord& engine : engines(4)) {
    selector.end(kStart, selector.begin(kStart, engine.id, query()), EngineVerdict::kFailed);
  }
  REQUIRE(selector.choose(kStart, query()));
}

TEST_CASE("batch work waits for room rather than going to an engine that has just failed", "[selector]") {
  EngineSelector selector(1);
  selector.takeEngines(kStart, wholeListOf(engines(2)));
  const EngineId full("engine-0");
  const EngineId failed("engine-1");
  for (int i = 0; i < 10; ++i) selector.begin(kStart, full, query());
  selector.end(kStart, selector.begin(kStart, failed, query()), EngineVerdict::kFailed);
  EngineQuery batch = query();
  batch.background = true;
  REQUIRE_FALSE(selector.choose(kStart, batch));
  REQUIRE(selector.choose(kStart + std::chrono::seconds(1), batch)->engine.id == failed);
  // If no engine is in rotation, half of them are tried all the same.
  selector.end(kStart, selector.begin(kStart, full, query()), EngineVerdict::kFailed);
  REQUIRE(selector.choose(kStart, batch));
}

TEST_CASE("leaving engines, excluded engines and those of other services are never chosen", "[selector]") {
  EngineSelector selector(7);
  std::vector<EngineRecord> list = engines(3);
  list[0].leaving = true;
  list[1].service = ServiceId("other");
  selector.takeEngines(kStart, wholeListOf(list));
  for (int i = 0; i < 20; ++i) REQUIRE(selector.choose(kStart, query())->engine.id == list[2].id);
  EngineQuery excluding = query();
  excluding.excluded.insert(list[2].id);
  REQUIRE_FALSE(selector.choose(kStart, excluding));
}

TEST_CASE("reported load counts and decays with age", "[selector]") {
  EngineSelector selector(9);
  selector.takeEngines(kStart, wholeListOf(engines(2)));
  selector.noteLoad(kStart, EngineId("engine-0"), EngineLoad{10, 30, 10});
  for (int i = 0; i < 20; ++i) REQUIRE(selector.choose(kStart, query())->engine.id == EngineId("engine-1"));
  std::set<EngineId> later;
  for (int i = 0; i < 50; ++i) later.insert(selector.choose(kStart + std::chrono::seconds(8), query())->engine.id);
  REQUIRE(later.size() == 2);
}

TEST_CASE("malformed load headers are rejected, malformed paces ignored", "[selector]") {
  const auto load = parseEngineLoad("3, 1,8");
  REQUIRE(load);
  REQUIRE(load->running == 3);
  REQUIRE(load->waiting == 1);
  REQUIRE(load->slots == 8);
  REQUIRE(load->pace == 0);
  REQUIRE(parseEngineLoad("3,1,8,250")->pace == 250);
  REQUIRE(parseEngineLoad("3, 1, 8, 90")->pace == 90);
  REQUIRE(parseEngineLoad("3,1,8,?")->pace == 0);
  REQUIRE_FALSE(parseEngineLoad(""));
  REQUIRE_FALSE(parseEngineLoad("3,x,8"));
  REQUIRE_FALSE(parseEngineLoad("3"));
}

TEST_CASE("a new incarnation of an engine has none of the requests and outcomes of the previous one",
          "[selector][life]") {
  EngineSelector selector(1);
  std::vector<EngineRecord> known = engines(2);
  known[0].born = 100;
  selector.takeEngines(kStart, wholeListOf(known));
  const EngineId engine = known[0].id;
  const TicketId gone = selector.begin(kStart, engine, query());
  const TicketId former = selector.begin(kStart, engine, query());
  selector.end(kStart, gone, EngineVerdict::kGone);
  known[0].born = 200;
  selector.takeEngines(kStart, wholeListOf(known));
  EngineQuery apart = query();
  apart.excluded.insert(known[1].id);
  REQUIRE(selector.choose(kStart, apart)->engine.born == 200);
  REQUIRE(selector.choose(kStart, apart)->in_flight == 0);
  const TicketId own = selector.begin(kStart, engine, query());
  selector.end(kStart, former, EngineVerdict::kFailed);
  REQUIRE(selector.choose(kStart, apart)->in_flight == 1);
  REQUIRE(selector.ejectedEngines(kStart, ServiceId("llm")).empty());
  selector.end(kStart, own, EngineVerdict::kGood);
}

TEST_CASE("engines of an evacuated zone get no requests until the zone is restored", "[selector][evacuation]") {
  EngineSelector selector(1);
  std::vector<EngineRecord> all = engines(2, "z1");
  std::vector<EngineRecord> others = engines(4, "z2");
  all.insert(all.end(), others.begin() + 2, others.end());
  selector.takeEngines(kStart, wholeListOf(all));
  selector.setEvacuated(kStart, {ZoneId("z1")});
  EngineQuery background = query();
  background.background = true;
  EngineQuery sticky = query(7, 9000);
  for (int i = 0; i < 30; ++i) {
    for (const EngineQuery& engine_query : {query(), background, sticky}) {
      REQUIRE(selector.choose(kStart, engine_query)->engine.zone == ZoneId("z2"));
    }
  }
  // A store's placement from before it received the evacuation.
  REQUIRE_FALSE(selector.describeChosen(kStart, EngineId("engine-0"), query(), 0, 0));
  REQUIRE(selector.allSlots() == 20);
  // An engine that registers in the evacuated zone.
  all.push_back(engines(9, "z1").back());
  selector.takeEngines(kStart, wholeListOf(all));
  REQUIRE_FALSE(selector.describeChosen(kStart, EngineId("engine-8"), query(), 0, 0));
  selector.setEvacuated(kStart, {});
  REQUIRE(selector.choose(kStart, query())->engine.zone == ZoneId("z1"));
}

TEST_CASE("where all zones are evacuated nothing is chosen", "[selector][evacuation]") {
  EngineSelector selector(1);
  selector.takeEngines(kStart, wholeListOf(engines(3, "z1")));
  selector.setEvacuated(kStart, {ZoneId("z1")});
  REQUIRE_FALSE(selector.choose(kStart, query()));
}

namespace {

/// A service whose cold engines may get ten requests per second each, and stay cold for three seconds.
std::map<ServiceId, RoutedService> coldServices() {
  RoutedService service;
  service.id = ServiceId("llm");
  service.cold_time = std::chrono::seconds(3);
  service.cold_requests_per_second = 10;
  return {{service.id, service}};
}

SelectorLimits coldZoneOwner(const char* zone) {
  SelectorLimits limits;
  limits.places_zone = true;
  limits.cold_zone = ZoneId(zone);
  return limits;
}

/// Chooses 500 times within a second; returns the number of choices by engine.
std::map<EngineId, int> chooseForOneSecond(EngineSelector& selector, Instant from, const EngineQuery& engine_query) {
  std::map<EngineId, int> chosen;
  for (int i = 0; i < 500; ++i) {
    const Instant now = from + i * fromMillis(2);
    const auto choice = selector.choose(now, engine_query);
    if (!choice) continue;
    ++chosen[choice->engine.id];
    selector.end(now, selector.begin(now, choice->engine.id, engine_query), EngineVerdict::kGood);
  }
  return chosen;
}

}  // namespace

TEST_CASE("cold engines get requests at their rate bound while warm engines serve the rest", "[selector][cold]") {
  EngineSelector selector(1, coldZoneOwner("z1"));
  selector.setServices(coldServices());
  std::vector<EngineRecord> all = engines(4, "z1");
  for (EngineRecord& engine : all) engine.cold_ms = 5000;
  std::vector<EngineRecord> warm = engines(6, "z2");
  all.insert(all.end(), warm.begin() + 4, warm.end());
  selector.takeEngines(kStart, wholeListOf(all));
  const std::map<EngineId, int> cold = chooseForOneSecond(selector, kStart, query());
  for (int i = 0; i < 4; ++i) {
    const int count = cold.at(EngineId("engine-" + std::to_string(i)));
    REQUIRE(count >= 8);
    REQUIRE(count <= 10);
  }
  int all_chosen = 0;
  for (const auto& [engine, count] : cold) all_chosen += count;
  REQUIRE(all_chosen == 500);
  // The cold period has passed.
  const std::map<EngineId, int> later = chooseForOneSecond(selector, kStart + std::chrono::seconds(6), query());
  REQUIRE(later.at(EngineId("engine-0")) > 50);
}

TEST_CASE("only one process sends to cold engines", "[selector][cold]") {
  std::vector<EngineRecord> all = engines(2, "z1");
  all[0].cold_ms = 5000;
  const auto choicesOfCold = [&](SelectorLimits limits, EngineQuery engine_query) {
    EngineSelector selector(1, limits);
    selector.setServices(coldServices());
    selector.takeEngines(kStart, wholeListOf(all));
    return chooseForOneSecond(selector, kStart, engine_query).count(EngineId("engine-0"));
  };
  EngineQuery background = query();
  background.background = true;
  REQUIRE(choicesOfCold(coldZoneOwner("z1"), query()) == 1);
  REQUIRE(choicesOfCold(coldZoneOwner("z1"), background) == 0);
  REQUIRE(choicesOfCold(coldZoneOwner("z2"), query()) == 0);
  REQUIRE(choicesOfCold(SelectorLimits(), query()) == 0);
}

TEST_CASE("engines of a restored zone count as cold until the cold period has passed", "[selector][cold]") {
  EngineSelector selector(1, coldZoneOwner("z1"));
  selector.setServices(coldServices());
  selector.takeEngines(kStart, wholeListOf(engines(2, "z1")));
  selector.setEvacuated(kStart, {ZoneId("z1")});
  selector.setEvacuated(kStart, {});
  for (const auto& [engine, count] : chooseForOneSecond(selector, kStart, query())) REQUIRE(count <= 10);
  const auto counts_when_warm = chooseForOneSecond(selector, kStart + std::chrono::seconds(4), query());
  REQUIRE(counts_when_warm.at(EngineId("engine-0")) > 100);
}

namespace {

/// Several zones of a large service.
std::vector<EngineRecord> largeFleet(int count) {
  std::vector<EngineRecord> made = engines(count);
  for (int i = 0; i < count; ++i) made[static_cast<std::size_t>(i)].zone = ZoneId("z" + std::to_string(i % 5 + 1));
  return made;
}

}  // namespace

TEST_CASE("while slots are free in a large fleet, a choice examines a few engines of its zone", "[selector][scale]") {
  SelectorLimits limits;
  limits.places_zone = true;
  EngineSelector selector(3, limits);
  selector.takeEngines(kStart, wholeListOf(largeFleet(10000)));
  std::map<EngineId, int> chosen;
  for (int i = 0; i < 2000; ++i) {
    const auto choice = selector.choose(kStart, query());
    REQUIRE(choice->candidates <= limits.sampled_first);
    REQUIRE(choice->engine.zone == ZoneId("z1"));
    selector.begin(kStart, choice->engine.id, query());
    ++chosen[choice->engine.id];
  }
  // 2,000 requests at 2,000 engines of ten slots each.
  for (const auto& [engine, count] : chosen) REQUIRE(count <= 4);
}

TEST_CASE("where its own zone is full, a request finds the free engines of another one", "[selector][scale]") {
  SelectorLimits limits;
  limits.places_zone = true;
  EngineSelector selector(3, limits);
  selector.takeEngines(kStart, wholeListOf(largeFleet(1000)));
  std::vector<EngineShare> others;
  for (int i = 0; i < 1000; ++i) {
    const bool is_free = i % 5 == 2 && i % 50 == 2;
    others.push_back(EngineShare{EngineId("engine-" + std::to_string(i)), is_free ? 0u : 10u, 0, 0});
  }
  selector.notePeerLoads(kStart, others);
  for (int i = 0; i < 20; ++i) {
    const auto choice = selector.choose(kStart, query());
    REQUIRE(choice->estimated_running < 10);
    selector.begin(kStart, choice->engine.id, query());
  }
}

TEST_CASE("adding, changing and removing single engines keeps the state of all others", "[selector][scale]") {
  EngineSelector selector(3);
  selector.takeEngines(kStart, wholeListOf(largeFleet(3000)));
  const TicketId ticket = selector.begin(kStart, EngineId("engine-7"), query());
  EngineRecord changed = largeFleet(8).back();
  changed.leaving = true;
  selector.takeEngines(kStart, EngineChanges{false, {changed}, {EngineId("engine-9")}});
  REQUIRE(selector.engineCount(ServiceId("llm")) == 2998);
  REQUIRE(selector.allSlots() == 29980);
  REQUIRE(selector.inFlight(EngineId("engine-7")) == 1);
  selector.end(kStart, ticket, EngineVerdict::kGood);
  REQUIRE_FALSE(selector.knows(EngineId("engine-9")));
  selector.takeEngines(kStart, wholeListOf(largeFleet(4)));
  REQUIRE(selector.engineCount(ServiceId("llm")) == 4);
}

TEST_CASE("a report of peer loads replaces the previous one, also for engines that it does not name", "[selector]") {
  EngineSelector selector(3);
  selector.takeEngines(kStart, wholeListOf(engines(2)));
  selector.notePeerLoads(kStart, {EngineShare{EngineId("engine-0"), 10, 0, 0}});
  REQUIRE(selector.choose(kStart, query())->engine.id == EngineId("engine-1"));
  selector.notePeerLoads(kStart, {EngineShare{EngineId("engine-1"), 10, 0, 0}});
  REQUIRE(selector.choose(kStart, query())->engine.id == EngineId("engine-0"));
  REQUIRE(selector.freeSlots(kStart, ServiceId("llm")) == 10);
}
