#include "version/configuration_diff.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;

namespace {

Engine makeEngine(const char* id, std::uint32_t slots) {
  Engine engine;
  engine.id = EngineId(id);
  engine.slots = slots;
  return engine;
}

}  // namespace

TEST_CASE("differences name what was added, removed and changed", "[configuration]") {
  Configuration before;
  before.engines.emplace(EngineId("kept"), makeEngine("kept", 8));
  before.engines.emplace(EngineId("changed"), makeEngine("changed", 8));
  before.policies.emplace("old", Policy{"old", "return {}"});
  Configuration after = before;
  after.engines.at(EngineId("changed")).slots = 9;
  after.policies.erase("old");
  after.tenants.put(Tenant{TenantId("new"), TenantRole::kTeam, {}, {}});
  const std::vector<ObjectDifference> differences = compareConfigurations(before, after);
  REQUIRE(differences.size() == 3);
  CHECK(differences[0].name == "changed");
  CHECK(differences[0].before.at("slots") == 8);
  CHECK(differences[0].after.at("slots") == 9);
  CHECK(differences[1].type == "tenant");
  CHECK(differences[1].before.is_null());
  CHECK(differences[2].type == "policy");
  CHECK(differences[2].after.is_null());
  CHECK(compareConfigurations(after, after).empty());
}

TEST_CASE("the inverse of edits undoes them", "[configuration]") {
  Configuration base;
  base.engines.emplace(EngineId("a"), makeEngine("a", 8));
  base.engines.emplace(EngineId("b"), makeEngine("b", 8));
  const std::vector<ConfigurationEdit> edits = {PutEngine{makeEngine("a", 1)}, PutEngine{makeEngine("a", 2)},
                                                RemoveEngine{EngineId("b")}, PutEngine{makeEngine("c", 3)},
                                                PutPolicy{Policy{"p", ""}}};
  Configuration changed = base;
  applyEdits(changed, edits, 1);
  CHECK(compareConfigurations(base, changed).size() == 4);
  applyEdits(changed, inverseOf(base, edits), 0);
  CHECK(compareConfigurations(base, changed).empty());
  CHECK(describeEdit(edits[2]) == "remove_engine b");
}
