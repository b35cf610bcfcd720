#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

#include "common/ids.hpp"

/// Which release a process runs. Old and new processes work side by side while machines are replaced one after the
/// other, so a process says to a peer only what that peer can read.
namespace hatchfork {

/// Rises with each release that adds kinds of frames, kinds of log records or state that its forerunner can't read.
using ReleaseNumber = std::uint32_t;

/// Of a process that tells none: a release from before they were told, or a peer that nobody has heard of yet.
inline constexpr ReleaseNumber kUntoldRelease = 0;
/// Of this program.
inline constexpr ReleaseNumber kThisRelease = 1;

/// What is known of the releases of a set of peers. No I/O, no clock.
class PeerReleases {
 public:
  /// The last word of a peer holds: it may also go back to an older release.
  void note(const ReplicaId& peer, ReleaseNumber release) { releases_[peer] = release; }
  void forget(const ReplicaId& peer) { releases_.erase(peer); }

  /// `kUntoldRelease` for a peer that was not heard of.
  ReleaseNumber of(const ReplicaId& peer) const {
    const auto found = releases_.find(peer);
    return found == releases_.end() ? kUntoldRelease : found->second;
  }
  /// What all these peers can read; `kUntoldRelease` for no peers, of whom nothing is known.
  ReleaseNumber leastOf(const std::vector<ReplicaId>& peers) const {
    if (peers.empty()) return kUntoldRelease;
    ReleaseNumber least = std::numeric_limits<ReleaseNumber>::max();
    for (const ReplicaId& peer : peers) least = std::min(least, of(peer));
    return least;
  }

 private:
  std::map<ReplicaId, ReleaseNumber> releases_;
};

}  // namespace hatchfork
