#include "process/control/configuration_watch.hpp"

#include <catch2/catch.hpp>

namespace hatchfork {
namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

control::RenewConfigurationReply replyWithService(Revision from, Revision to, const char* service) {
  control::RenewConfigurationReply reply;
  reply.delta.from_revision = from;
  reply.delta.to_revision = to;
  reply.delta.current_revision = to;
  reply.delta.edits.push_back(PutService{Service{ServiceId(service), {}, StalePolicy::kRefuse, 360, ""}});
  reply.lease_ms = 2000;
  return reply;
}

Configuration documentAt(Revision revision) {
  Configuration configuration;
  configuration.revision = revision;
  return configuration;
}

/// A page of a document that is the replica's newest.
control::RenewConfigurationReply replyWithPage(const Configuration& configuration, std::uint32_t shard) {
  control::RenewConfigurationReply reply;
  reply.delta.current_revision = configuration.revision;
  reply.delta.page = ConfigurationPages(configuration).page(shard);
  reply.lease_ms = 2000;
  return reply;
}

Tenant tenantNamed(const std::string& name) {
  Tenant tenant;
  tenant.id = TenantId(name);
  return tenant;
}

/// The first tenant of the first shard from `shard` on that has one.
const Tenant* firstTenantOf(const TenantTable& tenants, std::uint32_t shard) {
  while (tenants.shard(shard).empty()) ++shard;
  return tenants.shard(shard).front().get();
}

ConfigurationWatch makeWatch() {
  return ConfigurationWatch(GatewayId("gateway-1"), 1, ZoneId("a"));
}

TEST_CASE("the lease counts from when the renewal was sent", "[watch]") {
  ConfigurationWatch watch = makeWatch();
  CHECK_FALSE(watch.isFresh(kStart));
  CHECK(watch.takeReply(kStart, replyWithService(0, 1, "a")));
  CHECK(watch.isFresh(kStart + fromMillis(1999)));
  CHECK_FALSE(watch.isFresh(kStart + fromMillis(2000)));
}

TEST_CASE("a late or duplicate reply never takes the revision back", "[watch]") {
  ConfigurationWatch watch = makeWatch();
  watch.takeReply(kStart, replyWithService(0, 1, "a"));
  watch.takeReply(kStart, replyWithService(1, 2, "b"));
  REQUIRE(watch.configuration()->revision == 2);
  CHECK_FALSE(watch.takeReply(kStart + fromMillis(500), replyWithService(0, 1, "a")));
  CHECK_FALSE(watch.takeReply(kStart + fromMillis(500), replyWithService(1, 2, "b")));
  CHECK_FALSE(watch.takeReply(kStart + fromMillis(500), replyWithPage(documentAt(1), 0)));
  CHECK(watch.configuration()->revision == 2);
  CHECK(watch.leaseUntil() == kStart + fromMillis(2000));
}

TEST_CASE("a watcher too far behind takes the document", "[watch]") {
  ConfigurationWatch watch = makeWatch();
  watch.takeReply(kStart, replyWithService(0, 1, "a"));
  CHECK(watch.takeReply(kStart + fromMillis(500), replyWithPage(documentAt(9000), 0)));
  CHECK(watch.configuration()->revision == 9000);
  CHECK(watch.configuration()->services.empty());
  CHECK(watch.makeRequest().enforced == 9000);
  CHECK(watch.isFresh(kStart + fromMillis(2400)));
}

TEST_CASE("pages of different revisions and the edits after them give the exact document", "[watch]") {
  // Revision 10 has many tenants; revision 11 removes one of an early page and puts one of a late page.
  Configuration first = documentAt(10);
  for (int number = 0; number < 2500; ++number) first.tenants.put(tenantNamed("tenant-" + std::to_string(number)));
  const Tenant& early = *firstTenantOf(first.tenants, 0);
  Tenant late = *firstTenantOf(first.tenants, TenantTable::kShards - 40);
  late.limits.online_concurrency = 7;
  const std::vector<ConfigurationEdit> edits = {RemoveTenant{early.id}, PutTenant{late}};
  Configuration second = first;
  applyEdits(second, edits, 11);
  ConfigurationPages old_pages(first);
  ConfigurationPages new_pages(second);

  ConfigurationWatch watch = makeWatch();
  std::uint32_t pages = 0;
  // The replica moves on in the middle of the transfer, and a page of the old revision arrives after one of the new.
  while (watch.makeRequest().held == 0) {
    ConfigurationPages& source = pages == 1 ? new_pages : old_pages;
    control::RenewConfigurationReply reply;
    reply.delta.current_revision = 11;
    reply.delta.page = source.page(watch.makeRequest().next_shard);
    reply.lease_ms = 2000;
    CHECK_FALSE(watch.takeReply(kStart, reply));
    CHECK(watch.configuration() == nullptr);
    CHECK_FALSE(watch.isFresh(kStart));
    ++pages;
  }
  CHECK(pages > 2);
  CHECK(watch.wantsMore());
  CHECK(watch.makeRequest().held == 10);
  control::RenewConfigurationReply rest;
  rest.delta.from_revision = 10;
  rest.delta.to_revision = 11;
  rest.delta.current_revision = 11;
  rest.delta.edits = edits;
  rest.lease_ms = 2000;
  CHECK(watch.takeReply(kStart, rest));
  CHECK_FALSE(watch.wantsMore());
  CHECK(watch.isFresh(kStart));
  CHECK(nlohmann::json(*watch.configuration()) == nlohmann::json(second));
}

TEST_CASE("the busy groups are those of the newest reply that renewed the lease", "[watch]") {
  ConfigurationWatch watch = makeWatch();
  control::RenewConfigurationReply reply = replyWithService(0, 1, "a");
  reply.busy_groups = {2};
  watch.takeReply(kStart, reply);
  CHECK(watch.busyGroups() == std::vector<GroupId>{2});
  watch.takeReply(kStart + fromMillis(10), reply);
  control::RenewConfigurationReply idle = replyWithService(1, 2, "b");
  watch.takeReply(kStart + fromMillis(20), idle);
  CHECK(watch.busyGroups().empty());
}

TEST_CASE("a part of the edits does not renew the lease", "[watch]") {
  ConfigurationWatch watch = makeWatch();
  control::RenewConfigurationReply part = replyWithService(0, 1, "a");
  part.delta.current_revision = 2;
  CHECK_FALSE(watch.takeReply(kStart, part));
  CHECK(watch.wantsMore());
  CHECK_FALSE(watch.isFresh(kStart));
  CHECK(watch.makeRequest().held == 1);
  CHECK(watch.makeRequest().enforced == 0);
  CHECK(watch.takeReply(kStart, replyWithService(1, 2, "b")));
  CHECK(watch.isFresh(kStart));
}

}  // namespace
}  // namespace hatchfork
