#include <catch2/catch.hpp>

#include "process/fleet/engine_watch.hpp"
#include "process/fleet/fleet_state.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const EngineId kEngine("e1");

EngineRecord life(WallMillis born, const std::string& address = "10.0.0.1:80", bool leaving = false) {
  EngineRecord made;
  made.id = kEngine;
  made.service = ServiceId("llm");
  made.address = address;
  made.zone = ZoneId("z1");
  made.slots = 8;
  made.leaving = leaving;
  made.born = born;
  return made;
}

std::string apply(FleetState& state, const FleetCommand& command) {
  return state.apply(1, encodeTagged(command));
}

}  // namespace

TEST_CASE("a newer life takes the place of an older one, which never comes back", "[fleet][life]") {
  FleetState state;
  apply(state, RegisterEngine{life(100, "10.0.0.1:80", /*leaving=*/true)});
  REQUIRE(apply(state, RegisterEngine{life(200, "10.0.0.2:80")}) == "changed");
  REQUIRE(state.engines().at(kEngine) == life(200, "10.0.0.2:80"));
  REQUIRE(apply(state, RegisterEngine{life(100, "10.0.0.1:80", /*leaving=*/true)}) == "unchanged");
  REQUIRE_FALSE(state.engines().at(kEngine).leaving);
}

TEST_CASE("a departure ends the registered life and those before it", "[fleet][life]") {
  FleetState state;
  apply(state, RegisterEngine{life(200)});
  REQUIRE(apply(state, DepartEngine{kEngine, 900}) == "changed");
  REQUIRE(apply(state, RegisterEngine{life(100)}) == "unchanged");
  REQUIRE(apply(state, RegisterEngine{life(200)}) == "unchanged");
  REQUIRE(state.isGone(kEngine));
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(apply(restored, RegisterEngine{life(200)}) == "unchanged");
  REQUIRE(apply(restored, RegisterEngine{life(300)}) == "changed");
  REQUIRE_FALSE(restored.isGone(kEngine));
}

TEST_CASE("the departure of an engine that is not registered ends lives that began before it", "[fleet][life]") {
  FleetState state;
  apply(state, DepartEngine{kEngine, 500});
  REQUIRE(apply(state, RegisterEngine{life(400)}) == "unchanged");
  REQUIRE(apply(state, RegisterEngine{life(0)}) == "unchanged");
  REQUIRE(apply(state, RegisterEngine{life(600)}) == "changed");
}

TEST_CASE("a newer life may return to an address that its former one lost to another engine", "[fleet][life]") {
  FleetState state;
  apply(state, RegisterEngine{life(100)});
  EngineRecord other = life(150);
  other.id = EngineId("e2");
  apply(state, RegisterEngine{other});
  REQUIRE(apply(state, RegisterEngine{life(100)}) == "unchanged");
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(apply(restored, RegisterEngine{life(100)}) == "unchanged");
  REQUIRE(apply(restored, RegisterEngine{life(200)}) == "changed");
  REQUIRE(restored.engines().size() == 1);
}

TEST_CASE("beats count from anew in each life, and late ones of an older life are no signs of life", "[fleet][life]") {
  FleetState state;
  EngineWatch watch(fromMillis(400));
  Instant now = kStart;
  REQUIRE(watch.take(now, {life(100), 50}, state).has_value());
  apply(state, RegisterEngine{life(100)});
  now += fromMillis(400);
  const auto command = watch.take(now, {life(200), 1}, state);
  REQUIRE(command.has_value());
  apply(state, *command);
  for (std::uint64_t sequence = 2; sequence < 20; ++sequence) {
    now += fromMillis(400);
    REQUIRE_FALSE(watch.take(now, {life(200), sequence}, state).has_value());
    REQUIRE_FALSE(watch.take(now, {life(100, "10.0.0.9:80", /*leaving=*/true), 1000}, state).has_value());
    REQUIRE(watch.silent(now, kStart, state).empty());
  }
  // Only beats of the former life are heard from here on, here and at a process that has heard nothing yet.
  EngineWatch other(fromMillis(400));
  for (int i = 0; i < 20; ++i) {
    now += fromMillis(400);
    REQUIRE_FALSE(watch.take(now, {life(100), 2000}, state).has_value());
    REQUIRE_FALSE(other.take(now, {life(100), 2000}, state).has_value());
  }
  REQUIRE(watch.silent(now, kStart, state).size() == 1);
  REQUIRE(other.takeHeard().empty());
}

TEST_CASE("an engine that another control process has registered is not silent at once", "[fleet][life]") {
  // Its registration, a former life that was heard long ago, and the next beat that is still on its way.
  FleetState state;
  EngineWatch leader(fromMillis(400));
  const Instant long_ago = kStart - std::chrono::seconds(60);
  const bool is_known = GENERATE(true, false);
  if (is_known) leader.take(kStart - std::chrono::seconds(8), {life(0), 7}, state);
  apply(state, RegisterEngine{life(0)});
  REQUIRE(leader.silent(kStart, long_ago, state).size() == (is_known ? 1 : 0));
  if (is_known) {
    apply(state, ForgetEngines{{kEngine}});
    apply(state, RegisterEngine{life(0)});
  }
  REQUIRE(leader.silent(kStart + fromMillis(200), long_ago, state).empty());
  REQUIRE(leader.silent(kStart + fromMillis(3500), long_ago, state).empty());
  REQUIRE(leader.silent(kStart + fromMillis(4000), long_ago, state).size() == 1);
}
