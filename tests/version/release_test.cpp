#include "version/release.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;

TEST_CASE("the lowest release of peers is the release that all of them can decode", "[release]") {
  const ReplicaId first("10.0.0.1");
  const ReplicaId second("10.0.0.2");
  PeerReleases releases;
  CHECK(releases.lowestOf({}) == kUnknownRelease);
  releases.note(first, 3);
  CHECK(releases.lowestOf({first}) == 3);
  // The release of a peer that has not reported is unknown.
  CHECK(releases.lowestOf({first, second}) == kUnknownRelease);
  releases.note(second, 2);
  CHECK(releases.lowestOf({first, second}) == 2);
  // A machine may be rolled back to an older release.
  releases.note(first, 1);
  CHECK(releases.lowestOf({first, second}) == 1);
  releases.forget(first);
  CHECK(releases.of(first) == kUnknownRelease);
}
