#include "process/gateway/batch_item_run.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::gateway;

TEST_CASE("an item's text is continued at its build and begun anew at another one", "[batch][build]") {
  BatchItemRun item;
  continueAtBuild(item, EngineBuild("v1"));
  item.text = "one";
  item.tokens = 1;
  continueAtBuild(item, EngineBuild("v1"));
  REQUIRE(item.text == "one");
  REQUIRE(item.tokens == 1);
  continueAtBuild(item, EngineBuild("v2"));
  REQUIRE(item.text.empty());
  REQUIRE(item.tokens == 0);
  REQUIRE(item.build == EngineBuild("v2"));
}
