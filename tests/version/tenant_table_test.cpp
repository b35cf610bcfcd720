#include "version/tenant_table.hpp"

#include <catch2/catch.hpp>

#include "common/sha256.hpp"
#include "version/configuration.hpp"

namespace hatchfork {
namespace {

Tenant tenantWithKey(const std::string& name, const std::string& key) {
  Tenant tenant;
  tenant.id = TenantId(name);
  tenant.key_hashes.push_back(sha256Hex(key));
  return tenant;
}

TEST_CASE("tenants are found by identifier and by key", "[tenants]") {
  TenantTable table;
  for (int number = 0; number < 1000; ++number) {
    const std::string text = std::to_string(number);
    table.put(tenantWithKey("tenant-" + text, "key-" + text));
  }
  REQUIRE(table.size() == 1000);
  REQUIRE(table.findByKeyHash(sha256Hex("key-77")) != nullptr);
  CHECK(table.findByKeyHash(sha256Hex("key-77"))->id == TenantId("tenant-77"));
  CHECK(table.findByKeyHash(sha256Hex("key-1000")) == nullptr);
  CHECK(table.findByKeyHash("not hexadecimal") == nullptr);

  table.put(tenantWithKey("tenant-77", "new key"));
  CHECK(table.size() == 1000);
  CHECK(table.findByKeyHash(sha256Hex("key-77")) == nullptr);
  table.erase(TenantId("tenant-77"));
  table.erase(TenantId("tenant-77"));
  CHECK(table.size() == 999);
  CHECK(table.find(TenantId("tenant-77")) == nullptr);
  CHECK(table.findByKeyHash(sha256Hex("new key")) == nullptr);
  std::size_t visited = 0;
  table.forEach([&](const Tenant&) { ++visited; });
  CHECK(visited == 999);
}

TEST_CASE("a change of one copy of the table does not affect the other", "[tenants]") {
  TenantTable first;
  first.put(tenantWithKey("a", "key-a"));
  first.put(tenantWithKey("b", "key-b"));
  TenantTable second = first;
  second.erase(TenantId("a"));
  Tenant admin = tenantWithKey("b", "key-b");
  admin.role = TenantRole::kAdmin;
  second.put(admin);
  CHECK(first.size() == 2);
  CHECK(first.keyHolders(TenantRole::kAdmin) == 0);
  CHECK(first.keyHolders(TenantRole::kTeam) == 2);
  CHECK(first.findByKeyHash(sha256Hex("key-a")) != nullptr);
  CHECK(second.size() == 1);
  CHECK(second.keyHolders(TenantRole::kAdmin) == 1);
  CHECK(second.findByKeyHash(sha256Hex("key-a")) == nullptr);
  second.erase(TenantId("b"));
  CHECK(second.keyHolders(TenantRole::kAdmin) == 0);
}

TEST_CASE("a key belongs to at most one tenant", "[tenants]") {
  Configuration configuration;
  applyEdits(configuration, {PutTenant{tenantWithKey("a", "shared")}}, 1);
  const PutTenant second_owner{tenantWithKey("b", "shared")};
  CHECK_FALSE(isOk(checkEdits(configuration, {second_owner})));
  CHECK_FALSE(isOk(checkEdits(Configuration(), {PutTenant{tenantWithKey("a", "shared")}, second_owner})));
  CHECK(isOk(checkEdits(configuration, {PutTenant{tenantWithKey("a", "shared")}})));
  CHECK(isOk(checkEdits(configuration, {RemoveTenant{TenantId("a")}, second_owner})));
  CHECK(isOk(checkEdits(configuration, {PutTenant{tenantWithKey("a", "other")}, second_owner})));
}

}  // namespace
TEST_CASE("tenants with a shared key, a repeated name or a negative limit are rejected by name", "[tenants]") {
  const auto tenant = [](const std::string& name, const std::string& key) {
    Tenant made;
    made.id = TenantId(name);
    made.key_hashes = {sha256Hex(key)};
    return made;
  };
  REQUIRE(isOk(buildTenantTable({tenant("crew", "a"), tenant("office", "b")})));
  const auto shared = buildTenantTable({tenant("crew", "secret-key"), tenant("office", "secret-key")});
  REQUIRE_FALSE(isOk(shared));
  CHECK(errorOf(shared).kind == ErrorKind::kInvalidArgument);
  CHECK(describe(errorOf(shared)).find("office") != std::string::npos);
  CHECK(describe(errorOf(shared)).find("secret-key") == std::string::npos);
  CHECK_FALSE(isOk(buildTenantTable({tenant("crew", "a"), tenant("crew", "b")})));
  CHECK_FALSE(isOk(buildTenantTable({tenant("", "a")})));
  Tenant negative = tenant("crew", "a");
  negative.limits.online_requests_per_second = -1;
  CHECK_FALSE(isOk(buildTenantTable({negative})));
  negative.limits = TenantLimits{};
  negative.limits.online_burst = -0.5;
  CHECK_FALSE(isOk(buildTenantTable({negative})));
}

TEST_CASE("an API key identifies its tenant, and no error contains the key", "[tenants]") {
  Tenant crew;
  crew.id = TenantId("crew");
  crew.key_hashes = {sha256Hex("first"), sha256Hex("second")};
  const TenantTable table = valueOf(buildTenantTable({crew}));
  CHECK(valueOf(tenantOfKey(table, "second"))->id == TenantId("crew"));
  CHECK(errorOf(tenantOfKey(table, "")).kind == ErrorKind::kUnauthenticated);
  const auto unknown = tenantOfKey(table, "third-key");
  REQUIRE_FALSE(isOk(unknown));
  CHECK(describe(errorOf(unknown)).find("third-key") == std::string::npos);
}

}  // namespace hatchfork
