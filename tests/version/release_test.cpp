#include "version/release.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;

TEST_CASE("The least release of peers is what all of them can read", "[release]") {
  const ReplicaId first("10.0.0.1");
  const ReplicaId second("10.0.0.2");
  PeerReleases releases;
  CHECK(releases.leastOf({}) == kUntoldRelease);
  releases.note(first, 3);
  CHECK(releases.leastOf({first}) == 3);
  // Nothing is known of a peer that was not heard of.
  CHECK(releases.leastOf({first, second}) == kUntoldRelease);
  releases.note(second, 2);
  CHECK(releases.leastOf({first, second}) == 2);
  // A machine may go back to the release before.
  releases.note(first, 1);
  CHECK(releases.leastOf({first, second}) == 1);
  releases.forget(first);
  CHECK(releases.of(first) == kUntoldRelease);
}
