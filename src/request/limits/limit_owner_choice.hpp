#pragma once

#include <vector>

#include "common/ids.hpp"

namespace hatchfork::request {

/// Returns the candidate that owns the rate limit of a tenant; empty if there are no candidates. Uses rendezvous
/// hashing, so that removing a candidate reassigns only the tenants of that candidate.
ReplicaId limitOwnerOf(const TenantId& tenant, const std::vector<ReplicaId>& candidates);

}  // namespace hatchfork::request
