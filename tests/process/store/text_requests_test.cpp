#include "process/store/text_requests.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::store;

namespace {

const ReplicaId kRunner("10.0.0.2");

NeededText text(std::uint64_t number, std::uint64_t bytes) {
  return NeededText{kRunner, fleet::TextRequest{number, 7, {}}, bytes};
}

Instant at(std::int64_t milliseconds) {
  return Instant(fromMillis(milliseconds));
}

}  // namespace

TEST_CASE("texts are requested in steps, those of ended runs first", "[store][takeover]") {
  TextRequests requests;
  for (std::uint64_t number = 1; number <= 20; ++number) requests.add(text(number, 8000), /*is_first=*/false);
  requests.add(text(99, 8000), /*is_first=*/true);
  const std::vector<NeededText> first = requests.takeNext(at(0));
  REQUIRE(first.size() == 7);
  REQUIRE(first.front().request.number == 99);
  REQUIRE(requests.takeNext(at(1)).empty());
  REQUIRE(requests.remove(99));
  REQUIRE_FALSE(requests.remove(99));
  const std::vector<NeededText> next = requests.takeNext(at(2));
  REQUIRE(next.size() == 1);
  REQUIRE(next.front().request.number == 7);
  REQUIRE(requests.offsetOf(7) == 7);
}

TEST_CASE("a text larger than the bound is requested alone, and none that is no longer needed", "[store][takeover]") {
  TextRequests requests;
  requests.add(text(1, 1000), false);
  requests.add(text(2, 1u << 20), false);
  requests.add(text(3, 1000), false);
  REQUIRE(requests.remove(1));
  const std::vector<NeededText> first = requests.takeNext(at(0));
  REQUIRE(first.size() == 1);
  REQUIRE(first.front().request.number == 2);
  REQUIRE(requests.overdue(at(2000)).empty());
  REQUIRE(requests.overdue(at(2001)) == std::vector<std::uint64_t>{2});
  REQUIRE(requests.remove(2));
  REQUIRE(requests.takeNext(at(1)).size() == 1);
  requests.clear();
  REQUIRE(requests.size() == 0);
}
