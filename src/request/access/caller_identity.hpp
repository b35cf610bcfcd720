#pragma once

#include <string_view>

#include "common/result.hpp"
#include "version/route_table.hpp"

namespace hatchfork::request {

/// Who sends a request: the tenant that holds its API key, or null where none is needed and none is known. Belongs to
/// the table. `kUnauthenticated` where the table has tenants, the call needs a key, and this one is missing or unknown.
Result<const Tenant*> identifyCaller(const RouteTable& routes, bool allows_anonymous, std::string_view key);

}  // namespace hatchfork::request
