#pragma once

#include <cstdint>
#include <string>

#include "common/ids.hpp"

namespace hatchfork::gateway {

/// The batch group that holds the jobs and claims of (tenant, idempotency key): the same on every gateway.
GroupId groupOfKey(const TenantId& tenant, const std::string& idempotency_key, std::uint32_t batch_groups);

}  // namespace hatchfork::gateway
