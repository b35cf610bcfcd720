#include "process/store/group_contacts.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::store;

// On a fleet of 150 stores all but five belonged to no group, and each of these announced itself to all others every
// 150 ms: over ten minutes of a calm day the stores spent 470 s of processor while no request was served by them.
TEST_CASE("a store announces itself to the group's members, however many stores there are", "[contacts]") {
  fleet::FleetView view;
  for (int i = 0; i < 150; ++i) {
    view.stores.push_back({ReplicaId("10.0.0." + std::to_string(i)), ZoneId("z1")});
  }
  // Nobody could take it in yet.
  REQUIRE(groupContacts(view).empty());
  view.store_group.members = {{ReplicaId("10.0.0.1"), 1, true}, {ReplicaId("10.0.0.2"), 1, true}};
  REQUIRE(groupContacts(view) == std::vector<ReplicaId>{ReplicaId("10.0.0.1"), ReplicaId("10.0.0.2")});
  view.store_members = {ReplicaId("10.0.0.2"), ReplicaId("10.0.0.7"), ReplicaId("10.0.0.9")};
  REQUIRE(groupContacts(view) == view.store_members);
}
