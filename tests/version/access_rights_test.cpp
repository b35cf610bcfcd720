#include "version/access_rights.hpp"

#include <catch2/catch.hpp>

#include "common/sha256.hpp"

using namespace hatchfork;

namespace {

Tenant makeTenant(const char* id, TenantRole role, const char* key) {
  Tenant tenant;
  tenant.id = TenantId(id);
  tenant.role = role;
  if (*key != '\0') tenant.key_hashes.push_back(sha256Hex(key));
  return tenant;
}

Configuration managedConfiguration() {
  Configuration configuration;
  for (const Tenant& tenant :
       {makeTenant("root", TenantRole::kAdmin, "root-key"), makeTenant("ops", TenantRole::kOperator, "ops-key"),
        makeTenant("clerks", TenantRole::kTeam, "clerks-key")}) {
    configuration.tenants.put(tenant);
  }
  return configuration;
}

std::optional<ErrorKind> refusal(const Configuration& configuration, const char* actor, const ConfigurationEdit& edit) {
  const Status status = checkEditRights(configuration, TenantId(actor), {edit});
  if (isOk(status)) return std::nullopt;
  return errorOf(status).kind;
}

const std::optional<ErrorKind> kAllowed;

}  // namespace

TEST_CASE("the administration is open until an admin has a key", "[access]") {
  Configuration configuration;
  CHECK(isAdministrationOpen(configuration));
  CHECK(refusal(configuration, "", PutService{}) == kAllowed);
  CHECK(refusal(configuration, "", PutTenant{makeTenant("root", TenantRole::kAdmin, "k")}) == kAllowed);
  // An operator's key without an admin's would suggest that the administration is closed, while it is still open.
  CHECK(refusal(configuration, "", PutTenant{makeTenant("ops", TenantRole::kOperator, "k")}) ==
        ErrorKind::kInvalidArgument);
  configuration.tenants.put(makeTenant("root", TenantRole::kAdmin, ""));
  CHECK(isAdministrationOpen(configuration));
  CHECK_FALSE(isAdministrationOpen(managedConfiguration()));
}

TEST_CASE("each role may change its own part only", "[access]") {
  const Configuration configuration = managedConfiguration();
  CHECK(refusal(configuration, "", PutService{}) == ErrorKind::kPermissionDenied);
  CHECK(refusal(configuration, "nobody", PutService{}) == ErrorKind::kPermissionDenied);
  CHECK(refusal(configuration, "root", PutTenant{makeTenant("ops2", TenantRole::kOperator, "k")}) == kAllowed);
  CHECK(refusal(configuration, "ops", PutService{}) == kAllowed);
  CHECK(refusal(configuration, "ops", PutPolicy{}) == kAllowed);
  CHECK(refusal(configuration, "ops", PutTenant{makeTenant("new", TenantRole::kTeam, "k")}) == kAllowed);
  CHECK(refusal(configuration, "ops", RemoveTenant{TenantId("clerks")}) == kAllowed);
  CHECK(refusal(configuration, "ops", PutTenant{makeTenant("clerks", TenantRole::kAdmin, "k")}) ==
        ErrorKind::kPermissionDenied);
  CHECK(refusal(configuration, "ops", RemoveTenant{TenantId("root")}) == ErrorKind::kPermissionDenied);
  CHECK(refusal(configuration, "ops", PutTenant{makeTenant("root", TenantRole::kTeam, "k")}) ==
        ErrorKind::kPermissionDenied);
  CHECK(refusal(configuration, "clerks", PutService{}) == ErrorKind::kPermissionDenied);
  CHECK(refusal(configuration, "clerks", PutTenant{makeTenant("clerks", TenantRole::kTeam, "new-key")}) == kAllowed);
  CHECK(refusal(configuration, "clerks", PutTenant{makeTenant("clerks", TenantRole::kAdmin, "new-key")}) ==
        ErrorKind::kPermissionDenied);
  Tenant unlimited = *configuration.tenants.find(TenantId("clerks"));
  unlimited.limits.online_concurrency = 1000;
  CHECK(refusal(configuration, "clerks", PutTenant{unlimited}) == ErrorKind::kPermissionDenied);
}

TEST_CASE("the last admin cannot be lost", "[access]") {
  const Configuration configuration = managedConfiguration();
  CHECK(refusal(configuration, "root", RemoveTenant{TenantId("root")}) == ErrorKind::kInvalidArgument);
  CHECK(refusal(configuration, "root", PutTenant{makeTenant("root", TenantRole::kAdmin, "")}) ==
        ErrorKind::kInvalidArgument);
  const std::vector<ConfigurationEdit> handed_over = {PutTenant{makeTenant("next", TenantRole::kAdmin, "k")},
                                                      RemoveTenant{TenantId("root")}};
  CHECK(isOk(checkEditRights(configuration, TenantId("root"), handed_over)));
}

TEST_CASE("a team sees its own tenant and services only", "[access]") {
  Configuration configuration = managedConfiguration();
  Service own;
  own.id = ServiceId("own");
  own.tenants = {TenantId("clerks"), TenantId("root")};
  Service other;
  other.id = ServiceId("other");
  other.tenants = {TenantId("root")};
  configuration.services.emplace(own.id, own);
  configuration.services.emplace(other.id, other);
  const Tenant* team = findTenantByKey(configuration, "clerks-key");
  REQUIRE(team != nullptr);
  CHECK(findTenantByKey(configuration, "no-key") == nullptr);
  const Configuration visible = visibleToTeam(configuration, *team);
  CHECK(visible.tenants.size() == 1);
  REQUIRE(visible.services.size() == 1);
  CHECK(visible.services.begin()->second.tenants.empty());
}
