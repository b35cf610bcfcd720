#include "process/fleet/fleet_state.hpp"

#include <catch2/catch.hpp>

#include "process/fleet/engine_watch.hpp"
#include "process/fleet/store_directory.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

std::string apply(FleetState& state, const FleetCommand& command) {
  return state.apply(1, encodeTagged(command));
}

EngineRecord engine(const std::string& id, const std::string& address, bool leaving = false) {
  EngineRecord made;
  made.id = EngineId(id);
  made.service = ServiceId("llm");
  made.address = address;
  made.zone = ZoneId("z1");
  made.slots = 8;
  made.leaving = leaving;
  return made;
}

EngineHeartbeat beat(const EngineRecord& record, std::uint64_t sequence) {
  return EngineHeartbeat{record, sequence};
}

}  // namespace

TEST_CASE("the highest version of the document holds", "[fleet]") {
  FleetState state;
  REQUIRE(apply(state, PutDocument{5, "five"}) == "changed");
  REQUIRE(apply(state, PutDocument{4, "four"}) == "unchanged");
  REQUIRE(apply(state, PutDocument{5, "other five"}) == "unchanged");
  REQUIRE(state.document() == "five");
  REQUIRE(apply(state, PutDocument{9, "nine"}) == "changed");
  REQUIRE(state.documentVersion() == 9);
}

TEST_CASE("leaving holds for ever and a departed engine never comes back", "[fleet]") {
  FleetState state;
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")});
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80", true)});
  // A late beat from before the engine began to leave.
  REQUIRE(apply(state, RegisterEngine{engine("e1", "10.0.0.1:80", false)}) == "unchanged");
  REQUIRE(state.engines().at(EngineId("e1")).leaving);
  apply(state, DepartEngine{EngineId("e1")});
  REQUIRE(apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")}) == "unchanged");
  REQUIRE(state.engines().empty());
  REQUIRE(state.hasDeparted(EngineId("e1")));
}

TEST_CASE("an engine at the address of another takes its place, and a forgotten one may return", "[fleet]") {
  FleetState state;
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")});
  apply(state, RegisterEngine{engine("e2", "10.0.0.1:80")});
  REQUIRE(state.engines().size() == 1);
  REQUIRE(state.engines().contains(EngineId("e2")));
  apply(state, ForgetEngines{{EngineId("e2")}});
  REQUIRE(state.engines().empty());
  REQUIRE(apply(state, RegisterEngine{engine("e2", "10.0.0.1:80")}) == "changed");
}

TEST_CASE("the first members of the store group hold", "[fleet]") {
  FleetState state;
  apply(state, FormStoreGroup{{{{ReplicaId("a"), 1, true}}}});
  REQUIRE(apply(state, FormStoreGroup{{{{ReplicaId("b"), 2, true}}}}) == "unchanged");
  REQUIRE(state.storeGroup().members.front().id == ReplicaId("a"));
}

TEST_CASE("a snapshot restores everything", "[fleet]") {
  FleetState state;
  apply(state, PutDocument{5, "five"});
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")});
  apply(state, DepartEngine{EngineId("e0")});
  apply(state, FormStoreGroup{{{{ReplicaId("a"), 1, true}}}});
  apply(state, RetireStore{"store-1", ReplicaId("a")});
  FleetState other;
  REQUIRE(isOk(other.restore(state.snapshot())));
  REQUIRE(other.snapshot() == state.snapshot());
  REQUIRE(other.hasDeparted(EngineId("e0")));
  REQUIRE(other.retiring().at("store-1") == ReplicaId("a"));
  REQUIRE_FALSE(isOk(other.restore("rubbish")));
}

TEST_CASE("a malformed command changes nothing", "[fleet]") {
  FleetState state;
  REQUIRE(state.apply(1, "rubbish") == "malformed");
  REQUIRE(state.documentVersion() == 0);
}

TEST_CASE("only beats that tell something new need a command", "[fleet]") {
  FleetState state;
  EngineWatch watch(fromMillis(1000));
  const EngineRecord e1 = engine("e1", "10.0.0.1:80");
  REQUIRE(watch.take(kStart, beat(e1, 1), state));
  apply(state, RegisterEngine{e1});
  REQUIRE_FALSE(watch.take(kStart, beat(e1, 2), state));
  REQUIRE(watch.take(kStart, beat(engine("e1", "10.0.0.1:80", true), 3), state));
  // A late beat with an old address is no news.
  REQUIRE_FALSE(watch.take(kStart, beat(engine("e1", "10.0.0.9:80"), 1), state));
}

TEST_CASE("the late first beat of an engine that is gone does not take the address of a live one", "[fleet]") {
  FleetState state;
  EngineWatch watch(fromMillis(1000));
  const EngineRecord live = engine("live", "10.0.0.1:80");
  watch.take(kStart, beat(live, 4), state);
  apply(state, RegisterEngine{live});
  REQUIRE_FALSE(watch.take(kStart + fromMillis(300), beat(engine("old", "10.0.0.1:80"), 1), state));
  // Once the live one has fallen silent, a newcomer may have its address.
  REQUIRE(watch.take(kStart + fromMillis(2500), beat(engine("new", "10.0.0.1:80"), 1), state));
}

TEST_CASE("what was heard from others is not passed on", "[fleet]") {
  FleetState state;
  EngineWatch first(fromMillis(1000));
  EngineWatch second(fromMillis(1000));
  first.take(kStart, beat(engine("e1", "10.0.0.1:80"), 1), state);
  second.hearOf(kStart, first.takeHeard());
  REQUIRE(second.takeHeard().empty());
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")});
  // Its successor at the address registers once the old one has fallen silent.
  const Instant later = kStart + std::chrono::seconds(3);
  first.hearOf(later, second.takeHeard());
  REQUIRE(first.take(later, beat(engine("e2", "10.0.0.1:80"), 1), state));
}

TEST_CASE("a leader forgets engines only after it has led for long enough itself", "[fleet]") {
  FleetState state;
  EngineWatch watch(fromMillis(1000));
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")});
  const Instant leading = kStart + std::chrono::seconds(60);
  REQUIRE(watch.silent(leading + std::chrono::seconds(5), leading, state).empty());
  REQUIRE(watch.silent(leading + std::chrono::seconds(20), leading, state).size() == 1);
  watch.hearOf(leading + std::chrono::seconds(19), {EngineId("e1")});
  REQUIRE(watch.silent(leading + std::chrono::seconds(20), leading, state).empty());
}

TEST_CASE("the store group is spread over the zones", "[fleet]") {
  std::map<ReplicaId, StorePresence> stores;
  const auto add = [&](const std::string& address, const std::string& zone) {
    StorePresence presence;
    presence.address = ReplicaId(address);
    presence.zone = ZoneId(zone);
    presence.incarnation = stores.size() + 1;
    stores[presence.address] = presence;
  };
  add("10.0.0.1", "a");
  add("10.0.0.2", "a");
  add("10.0.0.3", "a");
  add("10.0.1.1", "b");
  add("10.0.2.1", "c");
  std::set<ReplicaId> chosen;
  for (const auto& member : chooseStoreGroup(stores, 3).members) chosen.insert(member.id);
  REQUIRE(chosen == std::set<ReplicaId>{ReplicaId("10.0.0.1"), ReplicaId("10.0.1.1"), ReplicaId("10.0.2.1")});
  REQUIRE(chooseStoreGroup(stores, 9).members.size() == 5);
}

TEST_CASE("the directory keeps the membership of the newest leader and forgets silent stores", "[fleet]") {
  StoreDirectory directory;
  StorePresence presence;
  presence.node = "store-1";
  presence.address = ReplicaId("10.0.0.1");
  presence.term = 4;
  presence.membership = consensus::Membership{{{ReplicaId("10.0.0.1"), 1, true}}};
  directory.hear(kStart, presence);
  presence.address = ReplicaId("10.0.0.2");
  presence.term = 3;
  presence.membership = consensus::Membership{};
  directory.hearOf(kStart, {presence});
  REQUIRE(directory.groupMembership()->members.size() == 1);
  REQUIRE(directory.heardDirectly(kStart).size() == 1);
  REQUIRE(directory.addresses().size() == 2);
  directory.expire(kStart + std::chrono::seconds(60));
  REQUIRE(directory.addresses().empty());
}

TEST_CASE("the changes of engines since a revision are told, or that they are no longer known", "[fleet]") {
  FleetState state;
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")});
  apply(state, RegisterEngine{engine("e2", "10.0.0.2:80")});
  const std::uint64_t before = state.enginesRevision();
  REQUIRE(state.enginesChangedSince(before)->empty());
  apply(state, RegisterEngine{engine("e2", "10.0.0.2:80", true)});
  apply(state, DepartEngine{EngineId("e1")});
  REQUIRE(*state.enginesChangedSince(before) == std::set<EngineId>{EngineId("e1"), EngineId("e2")});
  REQUIRE_FALSE(state.enginesChangedSince(state.enginesRevision() + 1));
  // A snapshot does not carry them.
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.enginesRevision() == state.enginesRevision());
  REQUIRE_FALSE(restored.enginesChangedSince(before));
  REQUIRE(restored.enginesChangedSince(restored.enginesRevision())->empty());
}

TEST_CASE("an engine that takes the place of another changes both", "[fleet]") {
  FleetState state;
  apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")});
  const std::uint64_t before = state.enginesRevision();
  apply(state, RegisterEngine{engine("e2", "10.0.0.1:80")});
  REQUIRE(*state.enginesChangedSince(before) == std::set<EngineId>{EngineId("e1"), EngineId("e2")});
  // An engine that moves leaves its address to others.
  apply(state, RegisterEngine{engine("e2", "10.0.0.9:80")});
  apply(state, RegisterEngine{engine("e3", "10.0.0.1:80")});
  REQUIRE(state.engines().size() == 2);
}

TEST_CASE("engines travel without field names, and those of older logs are read", "[fleet]") {
  const EngineRecord sent = engine("e1", "10.0.0.1:80", true);
  REQUIRE(valueOf(decodeStruct<EngineRecord>(encodeStruct(sent))) == sent);
  const nlohmann::json older = {{"id", "e1"},   {"service", "llm"}, {"address", "10.0.0.1:80"},
                                {"zone", "z1"}, {"slots", 8},       {"leaving", true}};
  REQUIRE(valueOf(decodeStruct<EngineRecord>(encodeCbor(older))) == sent);
  REQUIRE_FALSE(isOk(decodeStruct<EngineRecord>(encodeCbor(nlohmann::json::array({"e1", "llm"})))));
}

TEST_CASE("the members of the store group are kept with the term that told them", "[fleet]") {
  FleetState state;
  const std::vector<ReplicaId> first = {ReplicaId("10.0.0.1"), ReplicaId("10.0.0.2")};
  const std::vector<ReplicaId> second = {ReplicaId("10.0.0.2"), ReplicaId("10.0.0.3")};
  REQUIRE(apply(state, NoteStoreMembers{4, first}) == "changed");
  REQUIRE(apply(state, NoteStoreMembers{4, first}) == "unchanged");
  REQUIRE(apply(state, NoteStoreMembers{6, second}) == "changed");
  // What an earlier leader told, late.
  REQUIRE(apply(state, NoteStoreMembers{5, first}) == "unchanged");
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.storeMembers() == second);
}

TEST_CASE("a heartbeat from before a crash changes nothing once a new engine is at the address", "[fleet]") {
  FleetState state;
  apply(state, RegisterEngine{engine("old", "10.0.0.1:80")});
  SECTION("the old one was there until then") {}
  SECTION("the old one was silent and forgotten before") {
    apply(state, ForgetEngines{{EngineId("old")}});
  }
  apply(state, RegisterEngine{engine("new", "10.0.0.1:80")});
  REQUIRE(apply(state, RegisterEngine{engine("old", "10.0.0.1:80")}) == "unchanged");
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(apply(restored, RegisterEngine{engine("old", "10.0.0.1:80")}) == "unchanged");
  REQUIRE(restored.engines().size() == 1);
  REQUIRE(restored.engines().contains(EngineId("new")));
  // It takes up its address again only where nobody else is.
  apply(restored, ForgetEngines{{EngineId("new")}});
  REQUIRE(apply(restored, RegisterEngine{engine("old", "10.0.0.1:80")}) == "changed");
}

TEST_CASE("the last order for a zone holds, also after a restart", "[fleet][evacuation]") {
  FleetState state;
  REQUIRE(apply(state, SetZoneEvacuated{ZoneId("z1"), true}) == "changed");
  REQUIRE(apply(state, SetZoneEvacuated{ZoneId("z1"), true}) == "unchanged");
  REQUIRE(apply(state, SetZoneEvacuated{ZoneId("z2"), true}) == "changed");
  REQUIRE(apply(state, SetZoneEvacuated{ZoneId("z1"), false}) == "changed");
  REQUIRE(apply(state, SetZoneEvacuated{ZoneId("z1"), false}) == "unchanged");
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.evacuated() == EvacuatedZones{3, {ZoneId("z2")}});
}

TEST_CASE("only turning cold and being warm again is news of a beat", "[fleet][cold]") {
  FleetState state;
  EngineWatch watch(fromMillis(1200));
  EngineRecord record = engine("e1", "10.0.0.1:80");
  std::uint64_t sequence = 0;
  const auto isNews = [&](std::int64_t cold_ms) {
    record.cold_ms = cold_ms;
    const auto command = watch.take(kStart, beat(record, ++sequence), state);
    if (command) apply(state, *command);
    return command.has_value();
  };
  REQUIRE(isNews(3000));
  REQUIRE_FALSE(isNews(1800));
  REQUIRE_FALSE(isNews(600));
  REQUIRE(isNews(0));
  REQUIRE_FALSE(isNews(0));
  REQUIRE(isNews(2500));
  REQUIRE(state.engines().at(EngineId("e1")).cold_ms == 2500);
}

TEST_CASE("engines that register at one moment are one entry, each judged by itself", "[fleet]") {
  FleetState state;
  REQUIRE(apply(state, RegisterEngine{engine("e1", "10.0.0.1:80")}) == "changed");
  const RegisterEngines both{{engine("e1", "10.0.0.1:80"), engine("e2", "10.0.0.2:80")}};
  REQUIRE(apply(state, both) == "changed");
  REQUIRE(state.enginesRevision() == 2);
  REQUIRE(apply(state, both) == "unchanged");
  apply(state, DepartEngine{EngineId("e2")});
  REQUIRE(apply(state, both) == "unchanged");
  REQUIRE(state.engineAt("10.0.0.1:80")->id == EngineId("e1"));
  REQUIRE(state.engineAt("10.0.0.2:80") == nullptr);
}

TEST_CASE("each beat is passed on once", "[fleet]") {
  FleetState state;
  EngineWatch watch(fromMillis(1000));
  const EngineRecord e1 = engine("e1", "10.0.0.1:80");
  watch.take(kStart, beat(e1, 1), state);
  REQUIRE(watch.takeHeard() == std::vector<EngineId>{EngineId("e1")});
  REQUIRE(watch.takeHeard().empty());
  watch.take(kStart, beat(e1, 2), state);
  REQUIRE(watch.takeHeard().size() == 1);
}

TEST_CASE("what is remembered of engines that are gone and of changes grows with the fleet", "[fleet][scale]") {
  FleetState state;
  RegisterEngines first;
  RegisterEngines next;
  for (int i = 0; i < 6000; ++i) {
    const std::string address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80";
    first.engines.push_back(engine("a" + std::to_string(i), address));
    next.engines.push_back(engine("b" + std::to_string(i), address));
  }
  apply(state, first);
  const std::uint64_t before = state.enginesRevision();
  apply(state, next);
  // A late beat of any engine that was replaced takes nobody's address.
  REQUIRE(apply(state, first) == "unchanged");
  // A process that was away during half of the release gets only that.
  REQUIRE(state.enginesChangedSince(before + 6000));
  REQUIRE(state.engines().size() == 6000);
}
