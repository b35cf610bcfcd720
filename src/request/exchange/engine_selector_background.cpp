#include <algorithm>

#include "request/exchange/engine_selector.hpp"

// Capacity of an engine for background work, and when that work must yield.
namespace hatchfork::request {

void EngineSelector::noteSurges(Instant now) {
  if (now < next_surge_note_) return;
  next_surge_note_ = now + limits_.surge_note_interval;
  for (const auto& [service, pool] : pools_) surges_[service].note(now, pool.peersInFlight());
}

double EngineSelector::surgeReservePerEngine(Instant now, const ServiceId& service) const {
  const auto surge = surges_.find(service);
  const std::size_t engines = engineCount(service);
  if (surge == surges_.end() || engines == 0) return 0;
  return limits_.surge_reserve_share * surge->second.surge(now) / static_cast<double>(engines);
}

bool EngineSelector::hasBackgroundRoom(Instant now, const EngineState& state, double reserve) const {
  if (state.unread_tokens > limits_.background_most_unread) return false;
  const double slots = state.record.slots;
  const double usable = slots - std::min(reserve, limits_.max_reserve_share * slots);
  return estimatedRunning(now, state) + 1 <= std::max(1.0, usable);
}

std::map<ZoneId, ZoneLoad> EngineSelector::zoneLoads(Instant now, const ServiceId& service) const {
  std::map<ZoneId, ZoneLoad> loads;
  const EnginePool* const pool = poolOf(service);
  if (pool == nullptr || !hasPeerLoads(now)) return loads;
  for (const EngineState* const state : pool->all()) {
    if (now < state->ejected_until || isCold(now, *state)) continue;
    ZoneLoad& load = loads[state->record.zone];
    load.slots += state->record.slots;
    load.online += peerLoadAt(*state).in_flight;
  }
  return loads;
}

const EngineRecord* EngineSelector::recordOf(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second.record;
}

double EngineSelector::excess(Instant now, const EngineId& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end() || !hasPeerLoads(now)) return 0;
  return std::max(0.0, estimatedRunning(now, found->second) - found->second.record.slots);
}

}  // namespace hatchfork::request
