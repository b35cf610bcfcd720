#pragma once

#include <string_view>
#include <vector>

#include "common/ids.hpp"

namespace hatchfork::request {

/// Returns the candidate that owns a name; empty if there are no candidates. Uses rendezvous hashing, so that removing
/// a candidate reassigns only the names of that candidate.
ReplicaId rendezvousOwner(std::string_view name, const std::vector<ReplicaId>& candidates);

/// Returns the candidate that owns the rate limit of a tenant.
inline ReplicaId limitOwnerOf(const TenantId& tenant, const std::vector<ReplicaId>& candidates) {
  return rendezvousOwner(tenant.value, candidates);
}

}  // namespace hatchfork::request
