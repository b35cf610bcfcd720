#pragma once

#include <string_view>

#include "common/result.hpp"
#include "version/route_table.hpp"

namespace hatchfork::request {

/// Returns the tenant that holds the API key of a request; owned by the route table. Returns null if the table has no
/// tenants, or if the key is missing or unknown and anonymous calls are allowed. Otherwise, a missing or unknown key
/// gives `kUnauthenticated`.
Result<const Tenant*> identifyCaller(const RouteTable& routes, bool allows_anonymous, std::string_view key);

}  // namespace hatchfork::request
