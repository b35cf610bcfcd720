#include "process/store/group_releases.hpp"

#include <catch2/catch.hpp>

#include "version/release.hpp"

using namespace hatchfork;
using namespace hatchfork::store;

namespace {

fleet::StoreAddress storeAt(const std::string& address, ReleaseNumber release) {
  return {ReplicaId(address), ZoneId("z1"), release};
}
constexpr ReleaseNumber kForgets = kKeptEndRelease - 1;
constexpr ReleaseNumber kKeeps = kKeptEndRelease;
const std::vector<ReplicaId> kMembers = {ReplicaId("a"), ReplicaId("b")};

}  // namespace

TEST_CASE("ends are kept once all stores do so, also those that are no members yet", "[group-releases]") {
  REQUIRE(allKeepEnds({storeAt("a", kKeeps), storeAt("b", kKeeps), storeAt("c", kKeeps)}, kMembers));
  REQUIRE_FALSE(allKeepEnds({storeAt("a", kKeeps), storeAt("b", kForgets), storeAt("c", kKeeps)}, kMembers));
  REQUIRE_FALSE(allKeepEnds({storeAt("a", kKeeps), storeAt("b", kKeeps), storeAt("c", kForgets)}, kMembers));
}

TEST_CASE("a member that nobody has heard holds up that ends are kept", "[group-releases]") {
  REQUIRE_FALSE(allKeepEnds({storeAt("a", kKeeps)}, kMembers));
  REQUIRE_FALSE(allKeepEnds({storeAt("a", kKeeps), storeAt("b", kUnknownRelease)}, kMembers));
  REQUIRE_FALSE(allKeepEnds({}, kMembers));
}

TEST_CASE("only a store that has told an older release forgets ends", "[group-releases]") {
  REQUIRE(anyForgetsEnds({storeAt("a", kKeeps), storeAt("c", kForgets)}));
  REQUIRE_FALSE(anyForgetsEnds({storeAt("a", kKeeps), storeAt("b", kUnknownRelease)}));
  REQUIRE_FALSE(anyForgetsEnds({}));
}
