#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "request/exchange/engine_selector.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

/// An engine of each of these builds, named by its position.
std::vector<EngineRecord> enginesOfBuilds(const std::vector<std::string>& builds) {
  std::vector<EngineRecord> made;
  for (std::size_t i = 0; i < builds.size(); ++i) {
    EngineRecord engine;
    engine.id = EngineId("engine-" + std::to_string(i));
    engine.service = ServiceId("llm");
    engine.address = "127.0.0.1:" + std::to_string(8000 + i);
    engine.zone = ZoneId("z1");
    engine.slots = 10;
    engine.build = EngineBuild(builds[i]);
    made.push_back(engine);
  }
  return made;
}

EngineQuery query() {
  EngineQuery made;
  made.service = ServiceId("llm");
  made.zone = ZoneId("z1");
  made.prompt.prompt_tokens = 100;
  return made;
}

}  // namespace

TEST_CASE("a text is continued only by engines of its build", "[selector][build]") {
  EngineSelector selector(1);
  selector.takeEngines(kStart, wholeListOf(enginesOfBuilds({"v1", "v2", "v1", "v2", "v2"})));
  EngineQuery bound = query();
  bound.build = EngineBuild("v1");
  for (int i = 0; i < 30; ++i) {
    const auto choice = selector.choose(kStart, bound);
    REQUIRE(choice);
    REQUIRE(choice->engine.build == bound.build);
    selector.begin(kStart, choice->engine.id, bound);
  }
  REQUIRE_FALSE(selector.describeChosen(kStart, EngineId("engine-1"), bound, 0, 0));
  bound.excluded = {EngineId("engine-0"), EngineId("engine-2")};
  REQUIRE_FALSE(selector.choose(kStart, bound));
  bound.build = EngineBuild("v3");
  REQUIRE_FALSE(selector.choose(kStart, bound));
}

TEST_CASE("in a large service the few engines of a build are found", "[selector][build]") {
  std::vector<std::string> builds(3000, "v2");
  builds[1500] = "v1";
  EngineSelector selector(1);
  selector.takeEngines(kStart, wholeListOf(enginesOfBuilds(builds)));
  EngineQuery bound = query();
  bound.build = EngineBuild("v1");
  for (int i = 0; i < 20; ++i) REQUIRE(selector.choose(kStart, bound)->engine.id == EngineId("engine-1500"));
}

TEST_CASE("a new build gets streams once every process has received it, unless no other engine is left",
          "[selector][build]") {
  EngineSelector selector(1);
  std::vector<EngineRecord> all = enginesOfBuilds({"v1", "v1", "v2"});
  const std::vector<EngineRecord> old(all.begin(), all.begin() + 2);
  selector.takeEngines(kStart, wholeListOf(old));
  selector.takeEngines(kStart, EngineChanges{false, {all[2]}, {}});
  EngineQuery stream = query();
  stream.prefers_settled_builds = true;
  for (int i = 0; i < 20; ++i) REQUIRE(selector.choose(kStart, stream)->engine.build == EngineBuild("v1"));
  // A change of the engine does not begin its time anew.
  all[2].cold_ms = 1;
  selector.takeEngines(kStart + std::chrono::seconds(1), EngineChanges{false, {all[2]}, {}});
  stream.excluded = {EngineId("engine-0")};
  std::set<EngineBuild> used;
  const Instant later = kStart + std::chrono::seconds(2);
  for (int i = 0; i < 40; ++i) {
    const auto choice = selector.choose(later, stream);
    selector.begin(later, choice->engine.id, stream);
    used.insert(choice->engine.build);
  }
  REQUIRE(used.size() == 2);
  EngineSelector alone(1);
  alone.takeEngines(kStart, wholeListOf(old));
  alone.takeEngines(kStart, EngineChanges{false, {all[2]}, {EngineId("engine-0"), EngineId("engine-1")}});
  REQUIRE(alone.choose(kStart, stream)->engine.build == EngineBuild("v2"));
}

TEST_CASE("open engines and other builds of a service are told apart", "[selector][build]") {
  const ServiceId service("llm");
  const EngineBuild first("v1");
  const EngineBuild second("v2");
  EngineSelector selector(1);
  REQUIRE_FALSE(selector.hasOpenEngine(service));
  REQUIRE_FALSE(selector.hasOtherBuilds(service, first));
  std::vector<EngineRecord> all = enginesOfBuilds({"v1", "v2"});
  selector.takeEngines(kStart, wholeListOf(all));
  REQUIRE(selector.hasOpenEngine(service, first));
  REQUIRE(selector.hasOtherBuilds(service, first));
  all[0].leaving = true;
  selector.takeEngines(kStart, EngineChanges{false, {all[0]}, {}});
  REQUIRE_FALSE(selector.hasOpenEngine(service, first));
  REQUIRE(selector.hasOtherBuilds(service, second));
  selector.takeEngines(kStart, EngineChanges{false, {}, {all[0].id}});
  REQUIRE_FALSE(selector.hasOtherBuilds(service, second));
}
