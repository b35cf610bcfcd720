#pragma once

#include <vector>

#include "common/ids.hpp"
#include "process/fleet/feed_client.hpp"

namespace hatchfork::store {

/// The stores that a store announces itself to while it belongs to no group or sees no leader: the members of the
/// group, or those that it is to form with, since nobody else could take it in. None before either is known. Announcing
/// to all stores would cost stores x stores.
std::vector<ReplicaId> groupContacts(const fleet::FleetView& view);

}  // namespace hatchfork::store
