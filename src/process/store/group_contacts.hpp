#pragma once

#include <vector>

#include "common/ids.hpp"
#include "process/fleet/feed_client.hpp"

namespace hatchfork::store {

/// Returns the stores to which a store announces itself while it belongs to no group or sees no leader: the members of
/// the group, or those that are to form it, since no other store could admit it. Empty before either is known. With
/// announcements to all stores, the number of messages would grow with the square of the number of stores.
std::vector<ReplicaId> groupContacts(const fleet::FleetView& view);

}  // namespace hatchfork::store
