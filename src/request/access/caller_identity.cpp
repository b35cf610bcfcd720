#include "request/access/caller_identity.hpp"

namespace hatchfork::request {

Result<const Tenant*> identifyCaller(const RouteTable& routes, bool allows_anonymous, std::string_view key) {
  if (routes.tenants().empty()) return nullptr;
  Result<const Tenant*> tenant = tenantOfKey(routes.tenants(), key);
  if (!isOk(tenant) && allows_anonymous) return nullptr;
  return tenant;
}

}  // namespace hatchfork::request
