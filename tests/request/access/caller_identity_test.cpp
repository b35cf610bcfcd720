#include "request/access/caller_identity.hpp"

#include <catch2/catch.hpp>

#include "common/sha256.hpp"

using namespace hatchfork;
using request::identifyCaller;

namespace {

std::shared_ptr<const RouteTable> tableWith(std::vector<Tenant> tenants) {
  return valueOf(RouteTable::build(1, {}, {}, CallerLimits{}, std::move(tenants)));
}

Tenant tenantWithKey(const std::string& name, const std::string& key) {
  Tenant tenant;
  tenant.id = TenantId(name);
  tenant.key_hashes = {sha256Hex(key)};
  return tenant;
}

}  // namespace

TEST_CASE("a call needs a known key if there are tenants", "[access]") {
  const auto table = tableWith({tenantWithKey("crew", "k")});
  REQUIRE(valueOf(identifyCaller(*table, false, "k"))->id == TenantId("crew"));
  REQUIRE(errorOf(identifyCaller(*table, false, "")).kind == ErrorKind::kUnauthenticated);
  REQUIRE(errorOf(identifyCaller(*table, false, "other")).kind == ErrorKind::kUnauthenticated);
}

TEST_CASE("an anonymous call passes without a tenant, and a known key still identifies one", "[access]") {
  const auto table = tableWith({tenantWithKey("crew", "k")});
  REQUIRE(valueOf(identifyCaller(*table, true, "")) == nullptr);
  REQUIRE(valueOf(identifyCaller(*table, true, "other")) == nullptr);
  REQUIRE(valueOf(identifyCaller(*table, true, "k"))->id == TenantId("crew"));
}

TEST_CASE("without tenants no key is required", "[access]") {
  REQUIRE(valueOf(identifyCaller(*tableWith({}), false, "anything")) == nullptr);
}
