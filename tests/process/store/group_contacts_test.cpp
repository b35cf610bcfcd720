#include "process/store/group_contacts.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::store;

// Guards against announcements to all stores: of 150 stores all but five belonged to no group, and each of these
// announced itself to all others every 150 ms, which cost 470 s of CPU time in ten minutes without any store traffic.
TEST_CASE("a store announces itself to the group's members, however many stores there are", "[contacts]") {
  fleet::FleetView view;
  for (int i = 0; i < 150; ++i) {
    view.stores.push_back({ReplicaId("10.0.0." + std::to_string(i)), ZoneId("z1")});
  }
  // No store could admit it yet.
  REQUIRE(groupContacts(view).empty());
  view.store_group.members = {{ReplicaId("10.0.0.1"), 1, true}, {ReplicaId("10.0.0.2"), 1, true}};
  REQUIRE(groupContacts(view) == std::vector<ReplicaId>{ReplicaId("10.0.0.1"), ReplicaId("10.0.0.2")});
  view.store_members = {ReplicaId("10.0.0.2"), ReplicaId("10.0.0.7"), ReplicaId("10.0.0.9")};
  REQUIRE(groupContacts(view) == view.store_members);
}
