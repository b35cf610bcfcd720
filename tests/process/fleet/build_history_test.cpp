#include "process/fleet/build_history.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "process/fleet/engine_watch.hpp"
#include "process/fleet/fleet_state.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

std::string apply(FleetState& state, const FleetCommand& command) {
  return state.apply(1, encodeTagged(command));
}

/// `build` is empty for an engine that reports none.
EngineRecord engineOfBuild(const std::string& id, const std::string& address, const std::string& build) {
  EngineRecord made;
  made.id = EngineId(id);
  made.service = ServiceId("llm");
  made.address = address;
  made.zone = ZoneId("z1");
  made.slots = 8;
  made.build = EngineBuild(build);
  return made;
}

}  // namespace

TEST_CASE("a build that is told later is no change for releases that know none", "[fleet][build]") {
  FleetState state;
  apply(state, RegisterEngine{engineOfBuild("e1", "10.0.0.1:80", "")});
  const std::uint64_t revision = state.enginesRevision();
  REQUIRE(apply(state, RegisterEngine{engineOfBuild("e1", "10.0.0.1:80", "v1")}) == "changed");
  REQUIRE(state.enginesRevision() == revision);
  REQUIRE(state.engines().at(EngineId("e1")).build == EngineBuild("v1"));
  REQUIRE(state.lateBuildsSince(0) == std::set<EngineId>{EngineId("e1")});
  REQUIRE(state.lateBuildsSince(state.lateBuilds()).empty());
  // Registered anew through a control process of such a release.
  EngineRecord leaving = engineOfBuild("e1", "10.0.0.1:80", "");
  leaving.leaving = true;
  apply(state, RegisterEngine{leaving});
  REQUIRE(state.engines().at(EngineId("e1")).build == EngineBuild("v1"));
  REQUIRE(state.enginesRevision() == revision + 1);
}

TEST_CASE("builds are retired with their last engine, also over a snapshot", "[fleet][build]") {
  const ServiceId service("llm");
  FleetState state;
  apply(state, RegisterEngine{engineOfBuild("e1", "10.0.0.1:80", "v1")});
  apply(state, RegisterEngine{engineOfBuild("e2", "10.0.0.2:80", "v1")});
  apply(state, RegisterEngine{engineOfBuild("e3", "10.0.0.3:80", "v2")});
  REQUIRE(state.builds().at(service).size() == 2);
  apply(state, DepartEngine{EngineId("e1")});
  apply(state, RegisterEngine{engineOfBuild("e3", "10.0.0.3:81", "v2")});
  REQUIRE(state.retiredBuilds().empty());
  apply(state, ForgetEngines{{EngineId("e2")}});
  REQUIRE(state.builds().at(service).size() == 1);
  REQUIRE(state.retiredBuilds().at(service).contains(EngineBuild("v1")));
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.retiredBuilds() == state.retiredBuilds());
  REQUIRE(restored.builds() == state.builds());
  apply(state, RegisterEngine{engineOfBuild("e4", "10.0.0.4:80", "v1")});
  REQUIRE(state.retiredBuilds().at(service).empty());
}

TEST_CASE("the newest retired builds of a service are remembered", "[fleet][build]") {
  FleetState state;
  for (int i = 0; i < 9; ++i) {
    const std::string number = std::to_string(i);
    apply(state, RegisterEngine{engineOfBuild("e" + number, "10.0.0.1:80", "v" + number)});
  }
  const auto& retired = state.retiredBuilds().at(ServiceId("llm"));
  REQUIRE(retired.size() == 4);
  REQUIRE(retired.contains(EngineBuild("v7")));
}

TEST_CASE("a service counts as mixed while streams of a retired build may be resumed", "[fleet][build]") {
  const ServiceId service("llm");
  FleetState state;
  BuildHistory history;
  apply(state, RegisterEngine{engineOfBuild("e1", "10.0.0.1:80", "v1")});
  history.take(kStart, state);
  REQUIRE(history.mixedServices(kStart).empty());
  apply(state, RegisterEngine{engineOfBuild("e2", "10.0.0.2:80", "v2")});
  history.take(kStart, state);
  REQUIRE(history.mixedServices(kStart) == std::vector<ServiceId>{service});
  apply(state, DepartEngine{EngineId("e1")});
  history.take(kStart, state);
  const Instant later = kStart + std::chrono::seconds(59);
  history.take(later, state);
  REQUIRE(history.mixedServices(later) == std::vector<ServiceId>{service});
  REQUIRE(history.mixedServices(kStart + std::chrono::seconds(60)).empty());
  // A process that has just started did not see when the build retired.
  BuildHistory fresh;
  fresh.take(later, state);
  REQUIRE(fresh.mixedServices(later) == std::vector<ServiceId>{service});
}

TEST_CASE("builds are committed anew once no process of an older release takes part", "[fleet][build]") {
  FleetState state;
  const EngineRecord record = engineOfBuild("e1", "10.0.0.1:80", "v1");
  apply(state, RegisterEngine{record});
  EngineWatch watch(fromMillis(1000));
  REQUIRE_FALSE(watch.take(kStart, EngineHeartbeat{record, 1}, state));
  // Without its build, as while such a process takes part.
  REQUIRE_FALSE(watch.take(kStart, EngineHeartbeat{engineOfBuild("e1", "10.0.0.1:80", ""), 2}, state));
  watch.confirmBuilds();
  REQUIRE(watch.take(kStart, EngineHeartbeat{record, 3}, state));
  REQUIRE_FALSE(watch.take(kStart, EngineHeartbeat{record, 4}, state));
}
