#include "process/node/admin_access.hpp"

#include "version/access_rights.hpp"

namespace hatchfork::node {
Result<AdminCaller> authenticateAdmin(const Configuration& configuration, const connection::HttpRequest& request) {
  const std::string_view key = connection::bearerToken(request.header("Authorization"));
  const bool has_key = !key.empty();
  const Tenant* tenant = has_key ? findTenantByKey(configuration, key) : nullptr;
  if (isAdministrationOpen(configuration)) {
    return AdminCaller{tenant == nullptr ? TenantId() : tenant->id, TenantRole::kAdmin};
  }
  if (tenant != nullptr) return AdminCaller{tenant->id, tenant->role};
  return Error{ErrorKind::kUnauthenticated,
               has_key ? "the API key is unknown" : "no API key was given",
               "send Authorization: Bearer KEY with the key of an operator or an admin",
               Executed::kNo,
               {}};
}

std::optional<Error> requireRole(const AdminCaller& caller, TenantRole least) {
  if (caller.role >= least) return std::nullopt;
  return Error{ErrorKind::kPermissionDenied,
               "the key of " + caller.tenant.value + " has a role that may not do this",
               least == TenantRole::kAdmin ? "use the key of an admin" : "use the key of an operator or an admin",
               Executed::kNo,
               {}};
}

}  // namespace hatchfork::node
