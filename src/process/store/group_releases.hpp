#pragma once

#include <vector>

#include "common/ids.hpp"
#include "process/fleet/fleet_messages.hpp"

/// Whether a group of stores may begin to keep the ends of jobs that it does not have. A store of an older release
/// passes over such ends, so its state would differ from that of the others. No I/O, no clock.
namespace hatchfork::store {

/// True if each store of the fleet, which may become a member, keeps ends, and each member is one of these stores.
bool allKeepEnds(const std::vector<fleet::StoreAddress>& stores, const std::vector<ReplicaId>& members);

/// True if a store is known to be of a release that does not keep ends. A store that has told no release is not.
bool anyForgetsEnds(const std::vector<fleet::StoreAddress>& stores);

}  // namespace hatchfork::store
