#include "request/batch/lease_demand.hpp"

#include <catch2/catch.hpp>

namespace hatchfork::request {
namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

ServiceBatchLoad loadOf(std::uint32_t room, std::uint32_t running, std::uint32_t ready) {
  return ServiceBatchLoad{ServiceId("timesheet"), room, running, ready};
}

TEST_CASE("a gateway leases what its engines can take and a few items in addition", "[lease_demand]") {
  CHECK(itemsToLease(loadOf(8, 0, 0)) == 24);
  CHECK(itemsToLease(loadOf(8, 0, 10)) == 14);
  CHECK(itemsToLease(loadOf(0, 100, 10)) == 40);
  CHECK(itemsToLease(loadOf(2, 4, 30)) == 0);
  CHECK(itemsToLease(loadOf(5000, 0, 0)) == 512);
}

TEST_CASE("a gateway leases no items of a service whose engines it does not own", "[lease_demand]") {
  CHECK(itemsToLease(loadOf(0, 0, 0)) == 0);
}

TEST_CASE("ready items that cannot be placed for a long time are returned", "[lease_demand]") {
  StrandedItemDetector stranded;
  CHECK_FALSE(stranded.update(kStart, loadOf(0, 0, 3)));
  CHECK_FALSE(stranded.update(kStart + fromMillis(4900), loadOf(0, 0, 3)));
  CHECK(stranded.update(kStart + fromMillis(5000), loadOf(0, 0, 3)));
  CHECK_FALSE(stranded.update(kStart + fromMillis(5010), loadOf(0, 0, 3)));
}

TEST_CASE("a burst of online work does not strand items", "[lease_demand]") {
  StrandedItemDetector stranded;
  CHECK_FALSE(stranded.update(kStart, loadOf(0, 0, 3)));
  CHECK_FALSE(stranded.update(kStart + fromMillis(3000), loadOf(1, 0, 3)));
  CHECK_FALSE(stranded.update(kStart + fromMillis(6000), loadOf(0, 0, 3)));
  CHECK_FALSE(stranded.update(kStart + fromMillis(10000), loadOf(0, 0, 0)));
}

}  // namespace
}  // namespace hatchfork::request
