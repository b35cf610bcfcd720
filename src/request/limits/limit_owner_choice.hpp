#pragma once

#include <vector>

#include "common/ids.hpp"

namespace hatchfork::request {

/// The candidate that owns the limits of a tenant, by rendezvous hashing, so that a candidate that leaves moves none of
/// the others' tenants; empty without candidates.
ReplicaId limitOwnerOf(const TenantId& tenant, const std::vector<ReplicaId>& candidates);

}  // namespace hatchfork::request
