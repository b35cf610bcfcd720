#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "request/exchange/engine_state.hpp"

namespace hatchfork::request {

/// The open engines of one service, so that a selection skips closed engines and can sample a few of the open ones.
/// Adding or removing an engine does not walk over all of them. Stores pointers that the owner must keep valid. Not
/// thread-safe.
class EnginePool {
 public:
  /// `long_lane_share`: share of the engines that long prompts are sent to first.
  explicit EnginePool(double long_lane_share) : long_lane_share_(long_lane_share) {}

  void add(EngineState& engine);
  void remove(EngineState& engine);

  const std::vector<EngineState*>& all() const { return all_; }
  /// Engines of a zone; empty if the zone has none.
  const std::vector<EngineState*>& ofZone(const ZoneId& zone) const;
  std::size_t size() const { return all_.size(); }
  std::uint32_t slots() const { return slots_; }
  /// Requests that the peer processes have in flight at all engines of the pool, as last received.
  double peersInFlight() const { return peers_in_flight_; }
  void addPeers(std::uint32_t in_flight) { peers_in_flight_ += in_flight; }
  void clearPeers() { peers_in_flight_ = 0; }

 private:
  using Ranked = std::set<std::pair<std::uint64_t, EngineState*>>;

  void leaveLane(EngineState& engine);
  /// Moves engines between the lane and the rest until the lane has its share.
  void balanceLane();
  std::size_t laneSize() const;

  double long_lane_share_;
  std::vector<EngineState*> all_;
  std::map<ZoneId, std::vector<EngineState*>> zones_;
  std::uint32_t slots_ = 0;
  double peers_in_flight_ = 0;
  /// Ordered by hash: the lane consists of the lowest hashes, so that all processes agree on it.
  Ranked lane_;
  Ranked rest_;
};

/// Returns `most` consecutive engines of the list from a random start, wrapping around at the end; the whole list if it
/// has no more than that.
std::vector<EngineState*> sampleConsecutive(const std::vector<EngineState*>& engines, std::size_t most,
                                            std::mt19937_64& random);

}  // namespace hatchfork::request
