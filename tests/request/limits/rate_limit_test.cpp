#include <catch2/catch.hpp>

#include "request/limits/limit_owner_choice.hpp"
#include "request/limits/rate_limit_account.hpp"
#include "request/limits/rate_limit_owner.hpp"

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(std::chrono::seconds(100) + fromMillis(milliseconds));
}

const TenantId kCrew("crew");

TenantLimits limitOf(double rate, double burst) {
  TenantLimits limits;
  limits.online_requests_per_second = rate;
  limits.online_burst = burst;
  return limits;
}

RateLimitOptions withSlack(double slack) {
  RateLimitOptions options;
  options.slack = slack;
  return options;
}

}  // namespace

TEST_CASE("an owner grants the burst, then the rate, and returns the time until the next credit", "[limits][rate]") {
  RateLimitOwner owner(withSlack(0));
  const TenantLimits limits = limitOf(10, 5);
  REQUIRE(owner.answer(at(0), kCrew, limits, CreditRequest{8}).granted == 5);
  const CreditResponse empty = owner.answer(at(0), kCrew, limits, CreditRequest{1});
  REQUIRE(empty.granted == 0);
  REQUIRE(toMillis(empty.wait) == 100);
  REQUIRE(owner.answer(at(100), kCrew, limits, CreditRequest{3}).granted == 1);
  REQUIRE(owner.answer(at(400), kCrew, limits, CreditRequest{3}).granted == 3);
}

TEST_CASE("lowered and raised limits apply immediately", "[limits][rate]") {
  RateLimitOwner owner(withSlack(0));
  owner.answer(at(0), kCrew, limitOf(100, 100), CreditRequest{1});
  REQUIRE(owner.answer(at(10), kCrew, limitOf(2, 2), CreditRequest{50}).granted == 2);
  REQUIRE(owner.answer(at(1010), kCrew, limitOf(40, 40), CreditRequest{50}).granted == 40);
}

TEST_CASE("buckets are nearly empty after a takeover", "[limits][rate]") {
  RateLimitOwner owner(withSlack(20));
  owner.noteTakeover(at(0));
  REQUIRE(owner.answer(at(100), kCrew, limitOf(50, 50), CreditRequest{100}).granted == 15);
  // After one window, credits of the previous owner no longer count.
  REQUIRE(owner.answer(at(6000), TenantId("office"), limitOf(50, 50), CreditRequest{100}).granted == 60);
}

TEST_CASE("a gateway prefetches credits, and unused credits expire", "[limits][rate]") {
  RateLimitAccount account;
  for (int index = 0; index < 40; ++index) account.noteArrival(at(index * 25));
  REQUIRE_FALSE(account.tryTake(at(1000)));
  const auto credit_request = account.nextRequest(at(1000), 1);
  REQUIRE(credit_request);
  REQUIRE(credit_request->wanted > 5);
  // Only one credit request is in flight at a time.
  REQUIRE_FALSE(account.nextRequest(at(1001), 1));
  account.noteResponse(at(1002), CreditResponse{credit_request->wanted, 40, 0.5, {}});
  REQUIRE(account.tryTake(at(1003)));
  REQUIRE_FALSE(account.nextRequest(at(1003), 0));
  REQUIRE(account.tryTake(at(1499)));
  REQUIRE_FALSE(account.tryTake(at(1500)));
}

TEST_CASE("a single request requests one credit only", "[limits][rate]") {
  RateLimitAccount account;
  account.noteArrival(at(0));
  REQUIRE(account.nextRequest(at(0), 1)->wanted == 1);
}

TEST_CASE("credits of an answer that arrives after its time-out are not used", "[limits][rate]") {
  RateLimitAccount account;
  account.noteArrival(at(0));
  REQUIRE(account.nextRequest(at(0), 1));
  account.noteNoResponse(at(60), limitOf(10, 10));
  account.noteResponse(at(4000), CreditResponse{5, 10, 0.5, {}});
  REQUIRE_FALSE(account.tryTake(at(4001)));
}

TEST_CASE("over the limit a gateway rejects immediately and requests credits only after a pause", "[limits][rate]") {
  RateLimitAccount account;
  account.noteArrival(at(0));
  REQUIRE(account.nextRequest(at(0), 1));
  account.noteResponse(at(2), CreditResponse{0, 10, 0, fromMillis(150)});
  REQUIRE(account.isOverLimit(at(100)));
  REQUIRE_FALSE(account.nextRequest(at(100), 3));
  REQUIRE_FALSE(account.isOverLimit(at(152)));
  REQUIRE(account.nextRequest(at(152), 1));
}

TEST_CASE("retry times of callers over the limit are spaced at the available rate", "[limits][rate]") {
  RateLimitAccount account;
  const TenantLimits limits = limitOf(10, 10);
  for (int index = 0; index < 50; ++index) {
    account.noteArrival(at(index * 100));
    const auto credit_request = account.nextRequest(at(index * 100), 1);
    if (credit_request) account.noteResponse(at(index * 100), CreditResponse{1, 10, 0.5, {}});
    account.tryTake(at(index * 100));
  }
  const Duration first = account.retryDelay(at(5000), limits);
  const Duration second = account.retryDelay(at(5000), limits);
  REQUIRE(second > first);
  REQUIRE(toMillis(second - first) < 300);
  for (int index = 0; index < 100; ++index) account.retryDelay(at(5000), limits);
  REQUIRE(account.retryDelay(at(5000), limits) <= std::chrono::seconds(2));
}

TEST_CASE("without its owner a gateway admits its share of the usage, or one request if no usage was received",
          "[limits][rate]") {
  const TenantLimits limits = limitOf(40, 40);
  RateLimitAccount without_usage;
  without_usage.noteArrival(at(0));
  without_usage.nextRequest(at(0), 1);
  without_usage.noteNoResponse(at(60), limits);
  REQUIRE(without_usage.isOwnerUnreachable(at(100)));
  REQUIRE(without_usage.tryTakeLocalShare(at(100)));
  REQUIRE_FALSE(without_usage.tryTakeLocalShare(at(2000)));

  // This gateway has half of the usage: 10 of 20 requests per second.
  RateLimitAccount half;
  for (int index = 0; index < 200; ++index) {
    const Instant now = at(index * 100);
    half.noteArrival(now);
    if (half.nextRequest(now, 1)) half.noteResponse(now, CreditResponse{1, 20, 0.5, {}});
    half.tryTake(now);
  }
  half.noteNoResponse(at(20000), limits);
  int admitted = 0;
  for (int index = 0; index < 200; ++index) {
    if (half.tryTakeLocalShare(at(20000 + index * 10))) ++admitted;
  }
  // Two seconds at half of 40 requests per second, and a burst worth 0.2 s of that rate.
  REQUIRE(admitted >= 40);
  REQUIRE(admitted <= 46);
}

// Guards against a local share that grows while the owner is unreachable. If a gateway divides its current admission
// rate by the older fleet-wide rate, each locally admitted request increases its share. With eleven times the usual
// traffic and all stores down for two seconds, 1,783 requests ran in five seconds where 1,564 were allowed.
TEST_CASE("the local share of a gateway does not grow while the owner is unreachable", "[limits][rate]") {
  const TenantLimits limits = limitOf(40, 40);
  RateLimitAccount half;
  for (int index = 0; index < 200; ++index) {
    const Instant now = at(index * 100);
    half.noteArrival(now);
    if (half.nextRequest(now, 1)) half.noteResponse(now, CreditResponse{1, 20, 0.5, {}});
    half.tryTake(now);
  }
  int admitted = 0;
  for (int index = 0; index < 500; ++index) {
    const Instant now = at(20000 + index * 10);
    half.noteArrival(now);
    if (index % 30 == 0) half.noteNoResponse(now, limits);
    if (half.tryTakeLocalShare(now)) ++admitted;
  }
  // Five seconds at half of 40 requests per second, and a burst worth 0.2 s of that rate.
  REQUIRE(admitted >= 95);
  REQUIRE(admitted <= 106);
}

namespace {

/// Gateways of a tenant that requests three times its limit, and the owner of that limit.
struct LimitedFleet {
  TenantLimits limits = limitOf(10, 10);
  RateLimitOptions options = withSlack(5);
  RateLimitOwner owner{options};
  std::vector<RateLimitAccount> gateways = std::vector<RateLimitAccount>(2, RateLimitAccount(options));

  /// Plays the milliseconds from `begin` to `end`; returns the number of requests admitted from local shares.
  int play(std::int64_t begin, std::int64_t end, bool is_answered) {
    int admitted_locally = 0;
    for (std::int64_t time = begin; time < end; time += 70) {
      for (RateLimitAccount& gateway : gateways) {
        const Instant now = at(time);
        gateway.noteArrival(now);
        if (gateway.tryTake(now)) continue;
        const std::optional<CreditRequest> request = gateway.nextRequest(now, 1);
        if (request && is_answered) gateway.noteResponse(now, owner.answer(now, kCrew, limits, *request));
        if (request && !is_answered) gateway.noteNoResponse(now, limits);
        if (gateway.tryTake(now)) continue;
        if (gateway.isOwnerUnreachable(now) && gateway.tryTakeLocalShare(now)) ++admitted_locally;
      }
    }
    return admitted_locally;
  }
};

/// Requests that may run from local shares in five seconds: those of the rate, and one at once at each gateway.
constexpr int kMostLocallyAdmitted = 50 + 2;

}  // namespace

// Guards against gateways that each take the whole limit for their share, since an owner that has just started knows of
// no usage: 76 requests ran in five seconds where 65 were allowed.
TEST_CASE("local shares stay within the limit after a new owner has answered", "[limits][rate]") {
  LimitedFleet fleet;
  fleet.play(0, 20000, true);
  fleet.owner = RateLimitOwner(fleet.options);
  fleet.owner.noteTakeover(at(20000));
  fleet.play(20000, 21000, true);
  const int admitted = fleet.play(21000, 26000, false);
  REQUIRE(admitted <= kMostLocallyAdmitted);
  REQUIRE(admitted >= 35);
}

// Guards against local shares that grow with each outage, since the owner does not know what was admitted meanwhile.
TEST_CASE("local shares stay within the limit in a second outage of one owner", "[limits][rate]") {
  LimitedFleet fleet;
  fleet.play(0, 20000, true);
  REQUIRE(fleet.play(20000, 25000, false) <= kMostLocallyAdmitted);
  fleet.play(25000, 25400, true);
  REQUIRE(fleet.play(25400, 30400, false) <= kMostLocallyAdmitted);
}

TEST_CASE("each tenant has one owner, and removing a store reassigns only its own tenants", "[limits][rate]") {
  const std::vector<ReplicaId> all = {ReplicaId("10.0.0.1"), ReplicaId("10.0.0.2"), ReplicaId("10.0.0.3")};
  const std::vector<ReplicaId> fewer = {all[2], all[0]};
  std::size_t owned_by_second = 0;
  for (int index = 0; index < 300; ++index) {
    const TenantId tenant("tenant-" + std::to_string(index));
    const ReplicaId owner = limitOwnerOf(tenant, all);
    if (owner == all[1]) {
      ++owned_by_second;
    } else {
      REQUIRE(limitOwnerOf(tenant, fewer) == owner);
    }
  }
  REQUIRE(owned_by_second > 60);
  REQUIRE(owned_by_second < 140);
  REQUIRE(limitOwnerOf(TenantId("t"), {}).empty());
}
