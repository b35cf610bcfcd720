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

/// The open engines of one service, so that a choice meets no others and can look at a few of them. An engine that
/// comes or goes costs itself, not a walk over all. Holds pointers that its owner keeps valid. Belongs to one thread.
class EnginePool {
 public:
  /// `long_lane_share`: part of the engines that long prompts go to first.
  explicit EnginePool(double long_lane_share) : long_lane_share_(long_lane_share) {}

  void add(EngineState& engine);
  void remove(EngineState& engine);

  const std::vector<EngineState*>& all() const { return all_; }
  /// Those of a zone; empty for a zone without any.
  const std::vector<EngineState*>& ofZone(const ZoneId& zone) const;
  std::size_t size() const { return all_.size(); }
  std::uint32_t slots() const { return slots_; }
  /// What the other processes have in flight at all of them, as was told last.
  double othersInFlight() const { return others_in_flight_; }
  void addOthers(std::uint32_t in_flight) { others_in_flight_ += in_flight; }
  void forgetOthers() { others_in_flight_ = 0; }

 private:
  using Ranked = std::set<std::pair<std::uint64_t, EngineState*>>;

  void leaveLane(EngineState& engine);
  /// Moves engines between lane and rest until the lane has its share.
  void balanceLane();
  std::size_t laneSize() const;

  double long_lane_share_;
  std::vector<EngineState*> all_;
  std::map<ZoneId, std::vector<EngineState*>> zones_;
  std::uint32_t slots_ = 0;
  double others_in_flight_ = 0;
  /// By rank: the lane has the lowest ones, so that all processes agree on it.
  Ranked lane_;
  Ranked rest_;
};

/// `most` neighbours of a list from a place drawn at random, the first ones after the last; all of a shorter list.
std::vector<EngineState*> drawNeighbours(const std::vector<EngineState*>& engines, std::size_t most,
                                         std::mt19937_64& random);

}  // namespace hatchfork::request
