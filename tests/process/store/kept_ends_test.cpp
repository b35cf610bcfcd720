#include "process/store/kept_ends.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::store;

namespace {

const TenantId kCrew("crew");
const TenantId kOffice("office");
const TenantId kNobody;

JobId job(int number) {
  return JobId("job-" + std::to_string(number));
}

}  // namespace

TEST_CASE("a kept end holds for submissions of its tenant, and for those without one", "[store]") {
  KeptEnds ends;
  ends.add({job(1), kCrew, 5});
  REQUIRE(ends.contains(job(1), kCrew));
  REQUIRE(ends.contains(job(1), kNobody));
  REQUIRE_FALSE(ends.contains(job(1), kOffice));
  REQUIRE_FALSE(ends.contains(job(2), kCrew));
  ends.add({job(3), kNobody, 6});
  REQUIRE(ends.contains(job(3), kNobody));
  REQUIRE_FALSE(ends.contains(job(3), kCrew));
}

TEST_CASE("kept ends are removed up to an entry of the log, a repeated end by its last entry", "[store]") {
  KeptEnds ends;
  for (int number = 1; number <= 4; ++number) ends.add({job(number), number % 2 == 0 ? kCrew : kOffice, 10u + number});
  ends.add({job(1), kOffice, 20});
  REQUIRE(ends.newest() == 20);
  REQUIRE(ends.removeThrough(13));
  REQUIRE_FALSE(ends.removeThrough(13));
  REQUIRE(ends.size() == 2);
  REQUIRE(ends.contains(job(1), kOffice));
  REQUIRE(ends.contains(job(4), kCrew));
  REQUIRE(ends.removeThrough(20));
  REQUIRE(ends.size() == 0);
  REQUIRE(ends.bytes() == 0);
  REQUIRE(ends.newest() == 0);
}

TEST_CASE("a tenant that ends unknown jobs by the thousand removes its own ends only", "[store]") {
  KeptEnds ends;
  ends.add({job(0), kOffice, 1});
  consensus::LogIndex index = 1;
  for (int tenant = 0; tenant < 20; ++tenant) {
    const TenantId loud("loud-" + std::to_string(tenant));
    for (int number = 0; number < 5000; ++number) ends.add({job(number), loud, ++index});
    REQUIRE(ends.contains(job(4999), loud));
  }
  REQUIRE(ends.contains(job(0), kOffice));
  REQUIRE(ends.bytes() <= 4u << 20);
  REQUIRE(ends.size() > 5000);
  // Identifiers as long as a header takes are bounded as well.
  for (int number = 0; number < 1000; ++number)
    ends.add({JobId(std::string(16000, 'x') + std::to_string(number)), kCrew, ++index});
  REQUIRE(ends.contains(job(0), kOffice));
  REQUIRE(ends.bytes() <= 4u << 20);
}
