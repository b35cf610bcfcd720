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

TEST_CASE("an owner grants the burst, then the rate, and says when there will be more", "[limits][rate]") {
  RateLimitOwner owner(withSlack(0));
  const TenantLimits limits = limitOf(10, 5);
  REQUIRE(owner.answer(at(0), kCrew, limits, CreditRequest{8}).granted == 5);
  const CreditResponse empty = owner.answer(at(0), kCrew, limits, CreditRequest{1});
  REQUIRE(empty.granted == 0);
  REQUIRE(toMillis(empty.wait) == 100);
  REQUIRE(owner.answer(at(100), kCrew, limits, CreditRequest{3}).granted == 1);
  REQUIRE(owner.answer(at(400), kCrew, limits, CreditRequest{3}).granted == 3);
}

TEST_CASE("a lower limit binds at once, and a raised one too", "[limits][rate]") {
  RateLimitOwner owner(withSlack(0));
  owner.answer(at(0), kCrew, limitOf(100, 100), CreditRequest{1});
  REQUIRE(owner.answer(at(10), kCrew, limitOf(2, 2), CreditRequest{50}).granted == 2);
  REQUIRE(owner.answer(at(1010), kCrew, limitOf(40, 40), CreditRequest{50}).granted == 40);
}

TEST_CASE("an owner that has just taken over begins nearly empty", "[limits][rate]") {
  RateLimitOwner owner(withSlack(20));
  owner.noteTakeover(at(0));
  REQUIRE(owner.answer(at(100), kCrew, limitOf(50, 50), CreditRequest{100}).granted == 15);
  // Later nothing counts any more that the former owner granted.
  REQUIRE(owner.answer(at(6000), TenantId("office"), limitOf(50, 50), CreditRequest{100}).granted == 60);
}

TEST_CASE("a gateway holds credits ahead of its requests and loses them with time", "[limits][rate]") {
  RateLimitAccount account;
  for (int index = 0; index < 40; ++index) account.noteArrival(at(index * 25));
  REQUIRE_FALSE(account.tryTake(at(1000)));
  const auto credit_request = account.nextRequest(at(1000), 1);
  REQUIRE(credit_request);
  REQUIRE(credit_request->wanted > 5);
  // One credit_request at a time.
  REQUIRE_FALSE(account.nextRequest(at(1001), 1));
  account.noteResponse(at(1002), CreditResponse{credit_request->wanted, 40, 0.5, {}});
  REQUIRE(account.tryTake(at(1003)));
  REQUIRE_FALSE(account.nextRequest(at(1003), 0));
  REQUIRE(account.tryTake(at(1499)));
  REQUIRE_FALSE(account.tryTake(at(1500)));
}

TEST_CASE("a lone request asks for no credit but its own", "[limits][rate]") {
  RateLimitAccount account;
  account.noteArrival(at(0));
  REQUIRE(account.nextRequest(at(0), 1)->wanted == 1);
}

TEST_CASE("credits of an answer that was given up are not used", "[limits][rate]") {
  RateLimitAccount account;
  account.noteArrival(at(0));
  REQUIRE(account.nextRequest(at(0), 1));
  account.noteNoResponse(at(60), limitOf(10, 10));
  account.noteResponse(at(4000), CreditResponse{5, 10, 0.5, {}});
  REQUIRE_FALSE(account.tryTake(at(4001)));
}

TEST_CASE("over its limit a gateway refuses at once and asks again only after a pause", "[limits][rate]") {
  RateLimitAccount account;
  account.noteArrival(at(0));
  REQUIRE(account.nextRequest(at(0), 1));
  account.noteResponse(at(2), CreditResponse{0, 10, 0, fromMillis(150)});
  REQUIRE(account.isOverLimit(at(100)));
  REQUIRE_FALSE(account.nextRequest(at(100), 3));
  REQUIRE_FALSE(account.isOverLimit(at(152)));
  REQUIRE(account.nextRequest(at(152), 1));
}

TEST_CASE("callers over the limit are sent back one after the other, at the rate that is left for them",
          "[limits][rate]") {
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

TEST_CASE("without its owner a gateway admits its own part of what was used, and one request where it knows none",
          "[limits][rate]") {
  const TenantLimits limits = limitOf(40, 40);
  RateLimitAccount stranger;
  stranger.noteArrival(at(0));
  stranger.nextRequest(at(0), 1);
  stranger.noteNoResponse(at(60), limits);
  REQUIRE(stranger.isOwnerUnreachable(at(100)));
  REQUIRE(stranger.tryTakeLocalShare(at(100)));
  REQUIRE_FALSE(stranger.tryTakeLocalShare(at(2000)));

  // Half of the use is this gateway's: 10 of 20 requests a second.
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
  // Two seconds of half of 40 a second, and a fifth of a second of it at once.
  REQUIRE(admitted >= 40);
  REQUIRE(admitted <= 46);
}

// A tenant's traffic rose to eleven times its usual while all stores were without power for two seconds. Each gateway
// measured what it admitted now against the use that it had been told before, so its part grew with each request that
// it admitted alone: 1,783 requests ran in five seconds where 1,564 were allowed.
TEST_CASE("without its owner a gateway's part does not grow by what it admits", "[limits][rate]") {
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
  // Five seconds of half of 40 a second, and a fifth of a second of it at once.
  REQUIRE(admitted >= 95);
  REQUIRE(admitted <= 106);
}

TEST_CASE("each tenant has one owner, and a store that leaves moves only its own tenants", "[limits][rate]") {
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
