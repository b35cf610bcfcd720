#include "request/exchange/engine_pool.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// A lane needs two engines beside it.
constexpr std::size_t kFewestForLane = 3;

/// Takes an engine out of a list, whose last one takes its place.
void takeOut(std::vector<EngineState*>& list, std::size_t EngineState::*place, EngineState& engine) {
  EngineState* const last = list.back();
  list[engine.*place] = last;
  last->*place = engine.*place;
  list.pop_back();
}

void putIn(std::vector<EngineState*>& list, std::size_t EngineState::*place, EngineState& engine) {
  engine.*place = list.size();
  list.push_back(&engine);
}

}  // namespace

void EnginePool::add(EngineState& engine) {
  putIn(all_, &EngineState::place, engine);
  putIn(zones_[engine.record.zone], &EngineState::zone_place, engine);
  slots_ += engine.record.slots;
  const bool belongs_to_lane = !lane_.empty() && engine.id_hash < lane_.rbegin()->first;
  (belongs_to_lane ? lane_ : rest_).emplace(engine.id_hash, &engine);
  engine.in_long_lane = belongs_to_lane;
  balanceLane();
}

void EnginePool::remove(EngineState& engine) {
  takeOut(all_, &EngineState::place, engine);
  takeOut(zones_.at(engine.record.zone), &EngineState::zone_place, engine);
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
  if (all_.size() < kFewestForLane) return 0;
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

std::vector<EngineState*> drawNeighbours(const std::vector<EngineState*>& engines, std::size_t most,
                                         std::mt19937_64& random) {
  if (engines.size() <= most) return engines;
  std::vector<EngineState*> drawn;
  drawn.reserve(most);
  std::size_t place = std::uniform_int_distribution<std::size_t>(0, engines.size() - 1)(random);
  while (drawn.size() < most) {
    drawn.push_back(engines[place]);
    place = place + 1 == engines.size() ? 0 : place + 1;
  }
  return drawn;
}

}  // namespace hatchfork::request
