#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

#include "common/ids.hpp"

/// Release numbers of processes. Old and new releases run side by side during a rolling upgrade, so a process sends a
/// peer only what the release of that peer can decode.
namespace hatchfork {

/// Increases with each release that adds kinds of frames, kinds of log records or state that the previous release can't
/// decode.
using ReleaseNumber = std::uint32_t;

/// Release of a process that reports none: a release older than release numbers, or a peer that has not reported yet.
inline constexpr ReleaseNumber kUnknownRelease = 0;
/// Release of this program.
inline constexpr ReleaseNumber kThisRelease = 4;
/// First release whose control processes keep the builds of engines, and whose stores keep records of streams.
inline constexpr ReleaseNumber kEngineBuildRelease = 2;
/// First release whose stores keep the ends of jobs that they do not have.
inline constexpr ReleaseNumber kKeptEndRelease = 4;

/// Last reported releases of a set of peers. No I/O, no clock.
class PeerReleases {
 public:
  /// Records the release that a peer reports. The last report counts, because a peer may be rolled back to an older
  /// release.
  void note(const ReplicaId& peer, ReleaseNumber release) { releases_[peer] = release; }
  void forget(const ReplicaId& peer) { releases_.erase(peer); }

  /// Returns `kUnknownRelease` for a peer that has not reported.
  ReleaseNumber of(const ReplicaId& peer) const {
    const auto found = releases_.find(peer);
    return found == releases_.end() ? kUnknownRelease : found->second;
  }
  /// Returns the lowest release of the peers, which all of them can decode; `kUnknownRelease` if `peers` is empty.
  ReleaseNumber lowestOf(const std::vector<ReplicaId>& peers) const {
    if (peers.empty()) return kUnknownRelease;
    ReleaseNumber least = std::numeric_limits<ReleaseNumber>::max();
    for (const ReplicaId& peer : peers) least = std::min(least, of(peer));
    return least;
  }

 private:
  std::map<ReplicaId, ReleaseNumber> releases_;
};

}  // namespace hatchfork
