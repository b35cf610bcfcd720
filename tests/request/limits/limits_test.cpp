#include <catch2/catch.hpp>

#include "request/limits/adaptive_concurrency.hpp"
#include "request/limits/deadline_gate.hpp"
#include "request/limits/tenant_limiter.hpp"

namespace hatchfork::request {
namespace {

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

TEST_CASE("a gateway enforces its share of a tenant's rate and returns a retry time", "[limits]") {
  TenantLimiter limiter;
  const TenantId tenant("crew");
  TenantLimits limits;
  limits.online_requests_per_second = 20;
  limiter.configure(tenant, limits, 2);
  for (int index = 0; index < 10; ++index) REQUIRE(isOk(limiter.acquire(at(0), tenant, Urgency::kOnline)));
  const Status refused = limiter.acquire(at(0), tenant, Urgency::kOnline);
  REQUIRE_FALSE(isOk(refused));
  CHECK(errorOf(refused).kind == ErrorKind::kRateLimited);
  CHECK(errorOf(refused).executed == Executed::kNo);
  REQUIRE(errorOf(refused).retry_after);
  const Instant later = at(0) + *errorOf(refused).retry_after;
  CHECK(isOk(limiter.acquire(later, tenant, Urgency::kOnline)));
  CHECK_FALSE(isOk(limiter.acquire(later, tenant, Urgency::kOnline)));
}

TEST_CASE("online and batch requests of a tenant are counted separately and across limit changes", "[limits]") {
  TenantLimiter limiter;
  const TenantId tenant("crew");
  TenantLimits limits;
  limits.online_concurrency = 2;
  limits.batch_items_in_flight = 1;
  limiter.configure(tenant, limits, 1);
  REQUIRE(isOk(limiter.acquire(at(0), tenant, Urgency::kBatch)));
  CHECK_FALSE(isOk(limiter.acquire(at(0), tenant, Urgency::kBatch)));
  REQUIRE(isOk(limiter.acquire(at(0), tenant, Urgency::kOnline)));
  limits.online_concurrency = 1;
  limiter.configure(tenant, limits, 1);
  CHECK_FALSE(isOk(limiter.acquire(at(0), tenant, Urgency::kOnline)));
  limiter.release(tenant, Urgency::kOnline);
  CHECK(isOk(limiter.acquire(at(0), tenant, Urgency::kOnline)));
  limiter.remove(tenant);
  const Status unknown = limiter.acquire(at(0), tenant, Urgency::kBatch);
  REQUIRE_FALSE(isOk(unknown));
  CHECK(errorOf(unknown).kind == ErrorKind::kPermissionDenied);
}

TEST_CASE("the concurrency limit decreases on slow first tokens and increases only while in use", "[limits]") {
  AdaptiveConcurrencyOptions options;
  options.initial = 16;
  options.highest = 32;
  AdaptiveConcurrency concurrency(options, fromMillis(100));
  concurrency.recordFirstToken(at(0), fromMillis(50), 1);
  CHECK(concurrency.limit() == 16);
  concurrency.recordFirstToken(at(10), fromMillis(300), 16);
  const double shrunk = concurrency.limit();
  CHECK(shrunk < 16);
  concurrency.recordFirstToken(at(20), fromMillis(300), 16);
  CHECK(concurrency.limit() == shrunk);
  for (int index = 0; index < 100; ++index) concurrency.recordFirstToken(at(1000), fromMillis(50), 14);
  CHECK(concurrency.limit() > shrunk);
  for (int index = 1; index < 100; ++index) concurrency.recordFailure(at(1000 + index * 300));
  CHECK(concurrency.limit() == options.lowest);
  CHECK(concurrency.mayStart(0));
}

TEST_CASE("a request whose deadline cannot be met is rejected immediately", "[limits]") {
  DeadlineGate gate;
  CHECK(isOk(gate.check(at(0), at(10))));
  CHECK_FALSE(isOk(gate.check(at(10), at(10))));
  for (int index = 0; index < 50; ++index) gate.recordFirstToken(fromMillis(200));
  CHECK(isOk(gate.check(at(0), {})));
  CHECK(isOk(gate.check(at(0), at(300))));
  const Status refused = gate.check(at(0), at(150));
  REQUIRE_FALSE(isOk(refused));
  CHECK(errorOf(refused).kind == ErrorKind::kDeadlineExceeded);
  CHECK(errorOf(refused).executed == Executed::kNo);
  CHECK(errorOf(refused).retry_after);
}

}  // namespace
}  // namespace hatchfork::request
