#pragma once

#include <optional>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "connection/http_types.hpp"
#include "version/configuration.hpp"

namespace hatchfork::node {

/// Who sent a request to the administration API.
struct AdminCaller {
  /// Empty while the administration is open and the request has no known key.
  TenantId tenant;
  TenantRole role = TenantRole::kTeam;
};

/// Finds the caller by the API key in `Authorization: Bearer KEY`; `kUnauthenticated` for a missing or unknown key.
/// While the administration is open everybody is an admin.
Result<AdminCaller> authenticateAdmin(const Configuration& configuration, const connection::HttpRequest& request);

/// The refusal of a caller whose role does not reach `least`; roles rise from team over operator to admin.
std::optional<Error> requireRole(const AdminCaller& caller, TenantRole least);

}  // namespace hatchfork::node
