#include "process/batch/item_leases.hpp"

#include <catch2/catch.hpp>
#include <set>

#include "tests/process/batch/batch_test_support.hpp"

namespace hatchfork::batch {
namespace {

using namespace testing;

constexpr Duration kLease = std::chrono::seconds(5);
const Instant kStart{};
/// End of the grace period of a leader elected at `kStart`.
const Instant kGraceEnd = kStart + kLease;

ItemLeases makeLeases(consensus::Term term = 1, Instant started = kStart) {
  return ItemLeases(ItemLeasesOptions{kLease, kLease, term, started});
}

control::LeaseItemsRequest want(std::uint32_t most, std::uint64_t session = 1,
                                std::vector<control::HeldItems> holding = {}) {
  return {GatewayId("gateway-1"), session, {control::WantedItems{ServiceId("timesheet"), most}}, std::move(holding)};
}

std::vector<ItemIndex> indexesOf(const control::LeaseItemsReply& reply) {
  std::vector<ItemIndex> indexes;
  for (const control::LeasedBundle& bundle : reply.bundles) {
    for (const LeasedItem& item : bundle.items) indexes.push_back(item.index);
  }
  return indexes;
}

TEST_CASE("several items are leased in one request and no item twice", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("a"), 5);
  ItemLeases leases = makeLeases();
  const control::LeaseItemsReply first = leases.lease(kGraceEnd, want(3), machine);
  REQUIRE(first.bundles.size() == 1);
  CHECK(first.bundles[0].items[2].item == Item{"item-2", "{\"n\":2}"});
  CHECK(first.lease_ms == 5000);
  CHECK(indexesOf(first) == std::vector<ItemIndex>{0, 1, 2});
  CHECK(indexesOf(leases.lease(kGraceEnd, want(9, 2), machine)) == std::vector<ItemIndex>{3, 4});
  CHECK(indexesOf(leases.lease(kGraceEnd, want(9, 3), machine)).empty());
  CHECK(leases.leasedItems() == 5);

  control::LeaseItemsRequest other = want(9, 4);
  other.wanted = {control::WantedItems{ServiceId("records"), 9}};
  submit(machine, createRequest("b"), 1);
  CHECK(leases.lease(kGraceEnd, other, machine).bundles.empty());
}

TEST_CASE("a new leader grants no leases during the grace period and adopts the items that sessions list", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("a"), 3);
  ItemLeases leases = makeLeases(2);
  const Instant early = kStart + fromMillis(10);
  CHECK(leases.lease(early, want(3, 1, {{job, {1}}}), machine).bundles.empty());
  CHECK(leases.leasedItems() == 1);
  const Instant later = kGraceEnd - fromMillis(1);
  CHECK(leases.lease(later, want(3, 1, {{job, {1}}}), machine).bundles.empty());
  CHECK(indexesOf(leases.lease(kGraceEnd, want(3, 2), machine)) == std::vector<ItemIndex>{0, 2});
}

TEST_CASE("an item not listed for a lease length is leased again with a higher attempt", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("a"), 2);
  ItemLeases leases = makeLeases();
  const control::LeaseItemsReply first = leases.lease(kGraceEnd, want(2), machine);
  const AttemptNumber attempt = first.bundles[0].items[0].attempt;
  // The session stays active but lists item 1 only, as after a lost reply with item 0.
  leases.lease(kGraceEnd + kLease / 2, want(0, 1, {{job, {1}}}), machine);
  CHECK(indexesOf(leases.lease(kGraceEnd + kLease / 2, want(2, 2), machine)).empty());
  leases.lease(kGraceEnd + kLease, want(0, 1, {{job, {1}}}), machine);
  const control::LeaseItemsReply again = leases.lease(kGraceEnd + kLease, want(2, 2), machine);
  REQUIRE(indexesOf(again) == std::vector<ItemIndex>{0});
  CHECK(again.bundles[0].items[0].attempt > attempt);

  CHECK(leases.expire(kGraceEnd + kLease * 3, machine).empty());
  CHECK(leases.leasedItems() == 0);
  CHECK(leases.sessions() == 0);
  CHECK(indexesOf(leases.lease(kGraceEnd + kLease * 3, want(9, 3), machine)).size() == 2);

  ItemLeases next_term = makeLeases(2);
  const control::LeaseItemsReply after = next_term.lease(kGraceEnd, want(1), machine);
  CHECK(after.bundles[0].items[0].attempt > again.bundles[0].items[0].attempt);
}

TEST_CASE("returned items are leasable at once if their holder returns them", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("a"), 2);
  ItemLeases leases = makeLeases();
  leases.lease(kGraceEnd, want(2), machine);
  leases.giveBack(GatewayId("gateway-1"), 2, job, {0}, machine);
  CHECK(indexesOf(leases.lease(kGraceEnd, want(2, 2), machine)).empty());
  leases.giveBack(GatewayId("gateway-1"), 1, job, {1}, machine);
  CHECK(indexesOf(leases.lease(kGraceEnd, want(2, 2), machine)) == std::vector<ItemIndex>{1});
}

TEST_CASE("tenants are served round-robin and the jobs of a tenant by deadline", "[leases]") {
  BatchStateMachine machine(1);
  control::CreateJobRequest late = createRequest("late");
  late.spec.deadline = 900;
  control::CreateJobRequest soon = createRequest("soon");
  soon.spec.deadline = 100;
  control::CreateJobRequest other = createRequest("other");
  other.spec.tenant = TenantId("drivers");
  submit(machine, createRequest("no deadline"), 50);
  submit(machine, late, 50);
  const JobId soon_job = submit(machine, soon, 4);
  const JobId other_job = submit(machine, other, 50);
  ItemLeases leases = makeLeases();
  const control::LeaseItemsReply reply = leases.lease(kGraceEnd, want(12), machine);
  REQUIRE(reply.bundles.size() >= 3);
  CHECK(reply.bundles[0].job == soon_job);
  CHECK(reply.bundles[0].items.size() == 4);
  CHECK(reply.bundles[1].spec.deadline == 900);
  std::size_t drivers = 0;
  for (const control::LeasedBundle& bundle : reply.bundles) {
    if (bundle.job == other_job) drivers += bundle.items.size();
  }
  CHECK(drivers >= 5);
  CHECK(indexesOf(reply).size() == 12);

  // One item at a time: each tenant gets every second lease.
  std::multiset<JobId> turns;
  for (int turn = 0; turn < 4; ++turn) turns.insert(leases.lease(kGraceEnd, want(1), machine).bundles.at(0).job);
  CHECK(turns.count(other_job) == 2);
}

TEST_CASE("a lease reply is bounded in bytes", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = std::get<control::JobReply>(applyTo(machine, createRequest("big"))).status.job;
  std::vector<Item> items(3, Item{"x", std::string(kMaxLeaseBytes, 'b')});
  applyTo(machine, control::AddPartRequest{job, 0, items});
  applyTo(machine, control::SealJobRequest{job, 1});
  ItemLeases leases = makeLeases();
  CHECK(indexesOf(leases.lease(kGraceEnd, want(3), machine)) == std::vector<ItemIndex>{0});
  CHECK(indexesOf(leases.lease(kGraceEnd, want(3), machine)) == std::vector<ItemIndex>{1});
}

TEST_CASE("replies list cancelled and unknown jobs of the session", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("a"), 2);
  const JobId kept = submit(machine, createRequest("b"), 1);
  ItemLeases leases = makeLeases();
  leases.lease(kGraceEnd, want(3), machine);
  applyTo(machine, control::CancelJobRequest{job, TenantId("crew"), 1});
  const JobId unknown("job-1-99");
  const control::LeaseItemsReply reply =
      leases.lease(kGraceEnd, want(3, 1, {{job, {0, 1}}, {kept, {0}}, {unknown, {0}}}), machine);
  CHECK(reply.cancelled == std::vector<JobId>{job, unknown});
  CHECK(reply.bundles.empty());
  CHECK(leases.leasedItems() == 1);
}

TEST_CASE("a started item whose lease expired is reported unknown, once per lease length", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("once", true), 3);
  ItemLeases leases = makeLeases();
  const control::LeaseItemsReply given = leases.lease(kGraceEnd, want(3), machine);
  const AttemptNumber attempt = given.bundles[0].items[0].attempt;
  applyTo(machine, startOf(job, 0, attempt));
  applyTo(machine, startOf(job, 1, attempt));
  CHECK(leases.expire(kGraceEnd + kLease / 2, machine).empty());
  leases.lease(kGraceEnd + kLease / 2, want(0, 1, {{job, {1}}}), machine);

  const std::vector<control::CompleteItemsRequest> lost = leases.expire(kGraceEnd + kLease * 2, machine);
  REQUIRE(lost.size() == 1);
  REQUIRE(lost[0].outcomes.size() == 2);
  CHECK(leases.expire(kGraceEnd + kLease * 2, machine).empty());
  applyTo(machine, lost[0]);
  CHECK(machine.findJob(job)->itemState(0) == ItemState::kOutcomeUnknown);
  applyTo(machine, completion(job, {{0, attempt, ItemState::kCompleted, "late"}}));
  CHECK(statusOf(machine, job).counts.outcome_unknown == 2);
  CHECK(indexesOf(leases.lease(kGraceEnd + kLease * 2, want(3, 2), machine)) == std::vector<ItemIndex>{2});
}

TEST_CASE("a new leader keeps a started item for the session that lists it", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("once", true), 2);
  applyTo(machine, startOf(job, 0, 7, 1));
  applyTo(machine, startOf(job, 1, 7, 2));
  ItemLeases leases = makeLeases(2);
  leases.lease(kGraceEnd - fromMillis(1), want(0, 1, {{job, {0, 1}}}), machine);
  CHECK(leases.leasedItems() == 1);
  CHECK(leases.expire(kGraceEnd - fromMillis(1), machine).empty());
  const std::vector<control::CompleteItemsRequest> lost = leases.expire(kGraceEnd, machine);
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].session == 2);
  CHECK(lost[0].outcomes[0].index == 1);
  CHECK(lost[0].outcomes[0].attempt == 7);
}

TEST_CASE("a committed start takes precedence over a lease granted to another session", "[leases]") {
  BatchStateMachine machine(1);
  const JobId job = submit(machine, createRequest("once", true), 1);
  ItemLeases leases = makeLeases();
  leases.lease(kGraceEnd, want(1, 1), machine);
  leases.lease(kGraceEnd + kLease, want(0, 1), machine);
  REQUIRE(indexesOf(leases.lease(kGraceEnd + kLease, want(1, 2), machine)).size() == 1);
  applyTo(machine, startOf(job, 0, 1, 1));
  const Instant now = kGraceEnd + kLease + fromMillis(5);
  leases.lease(now, want(0, 1, {{job, {0}}}), machine);
  leases.lease(now, want(0, 2, {{job, {0}}}), machine);
  CHECK(leases.expire(now, machine).empty());
  CHECK(leases.expire(now + kLease, machine).size() == 1);
}

}  // namespace
}  // namespace hatchfork::batch
