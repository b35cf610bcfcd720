#include "request/exchange/engine_pool.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// Fewest engines of a service that has a lane: one in the lane and two outside.
constexpr std::size_t kMinEnginesForLane = 3;

/// Removes an engine from a list by moving the last one to its index.
void removeFrom(std::vector<EngineState*>& list, std::size_t EngineState::*index, EngineState& engine) {
  EngineState* const last = list.back();
  list[engine.*index] = last;
  last->*index = engine.*index;
  list.pop_back();
}

void appendTo(std::vector<EngineState*>& list, std::size_t EngineState::*index, EngineState& engine) {
  engine.*index = list.size();
  list.push_back(&engine);
}

}  // namespace

void EnginePool::add(EngineState& engine) {
  appendTo(all_, &EngineState::pool_index, engine);
  appendTo(zones_[engine.record.zone], &EngineState::zone_index, engine);
  slots_ += engine.record.slots;
  const bool belongs_to_lane = !lane_.empty() && engine.id_hash < lane_.rbegin()->first;
  (belongs_to_lane ? lane_ : rest_).emplace(engine.id_hash, &engine);
  engine.in_long_lane = belongs_to_lane;
  balanceLane();
}

void EnginePool::remove(EngineState& engine) {
  removeFrom(all_, &EngineState::pool_index, engine);
  removeFrom(zones_.at(engine.record.zone), &EngineState::zone_index, engine);
  slots_ -= engine.record.slots;
  leaveLane(engine);
  balanceLane();
}

const std::vector<EngineState*>& EnginePool::ofZone(const ZoneId& zone) const {
  static const std::vector<EngineState*> none;
  const auto found = zones_.find(zone);
  return found == zones_.end() ? none : found->second;
}

void EnginePool::leaveLane(EngineState& engine) {
  const std::pair<std::uint64_t, EngineState*> entry(engine.id_hash, &engine);
  if (lane_.erase(entry) == 0) rest_.erase(entry);
  engine.in_long_lane = false;
}

std::size_t EnginePool::laneSize() const {
  if (all_.size() < kMinEnginesForLane) return 0;
  return static_cast<std::size_t>(std::lround(long_lane_share_ * static_cast<double>(all_.size())));
}

void EnginePool::balanceLane() {
  const std::size_t wanted = laneSize();
  while (lane_.size() < wanted && !rest_.empty()) {
    const auto lowest = rest_.begin();
    lowest->second->in_long_lane = true;
    lane_.insert(*lowest);
    rest_.erase(lowest);
  }
  while (lane_.size() > wanted) {
    const auto highest = std::prev(lane_.end());
    highest->second->in_long_lane = false;
    rest_.insert(*highest);
    lane_.erase(highest);
  }
}

std::vector<EngineState*> sampleConsecutive(const std::vector<EngineState*>& engines, std::size_t most,
                                            std::mt19937_64& random) {
  if (engines.size() <= most) return engines;
  std::vector<EngineState*> drawn;
  drawn.reserve(most);
  std::size_t index = std::uniform_int_distribution<std::size_t>(0, engines.size() - 1)(random);
  while (drawn.size() < most) {
    drawn.push_back(engines[index]);
    index = index + 1 == engines.size() ? 0 : index + 1;
  }
  return drawn;
}

}  // namespace hatchfork::request
