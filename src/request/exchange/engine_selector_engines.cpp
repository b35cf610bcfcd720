#include <utility>

#include "request/exchange/engine_selector.hpp"
#include "request/exchange/prefix_identity.hpp"

// Fleet changes, and the pools of open engines that choices are made from.
namespace hatchfork::request {

void EngineSelector::takeEngines(Instant now, const EngineChanges& changes) {
  if (changes.is_whole) {
    std::set<EngineId> present;
    for (const EngineRecord& engine : changes.present) present.insert(engine.id);
    std::vector<EngineId> gone;
    for (const auto& [id, state] : engines_) {
      if (!present.contains(id)) gone.push_back(id);
    }
    for (const EngineId& engine : gone) dropEngine(engine);
  }
  for (const EngineId& engine : changes.removed) dropEngine(engine);
  for (const EngineRecord& engine : changes.present) takeEngine(now, engine);
}

void EngineSelector::takeEngine(Instant now, const EngineRecord& record) {
  const auto [entry, is_new] = engines_.try_emplace(record.id);
  EngineState& state = entry->second;
  if (!is_new) {
    removeFromPool(state);
    // A new incarnation has none of the requests, loads, prefixes and outcomes of the previous one.
    if (compareIncarnations(record.born, state.record.born) != IncarnationOrder::kSame) state = EngineState{};
  }
  if (record.cold_ms != state.record.cold_ms) state.cold_until = now + fromMillis(record.cold_ms);
  state.record = record;
  state.service_pace = limits_.learns_pace ? &paces_[record.service] : nullptr;
  state.id_hash = mixBits(hashText(record.id.value));
  state.evacuated = evacuated_.contains(record.zone);
  addToPool(state);
}

void EngineSelector::dropEngine(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  removeFromPool(found->second);
  engines_.erase(found);
}

void EngineSelector::addToPool(EngineState& state) {
  if (!state.isOpen()) return;
  pools_.try_emplace(state.record.service, limits_.long_lane_share).first->second.add(state);
}

void EngineSelector::removeFromPool(EngineState& state) {
  if (state.isOpen()) pools_.at(state.record.service).remove(state);
}

EnginePool* EngineSelector::poolOf(const ServiceId& service) {
  const auto found = pools_.find(service);
  return found == pools_.end() ? nullptr : &found->second;
}

const EnginePool* EngineSelector::poolOf(const ServiceId& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? nullptr : &found->second;
}

void EngineSelector::setEvacuated(Instant now, const std::set<ZoneId>& zones) {
  if (zones == evacuated_) return;
  evacuated_ = zones;
  for (auto& [id, state] : engines_) {
    const bool is_evacuated = evacuated_.contains(state.record.zone);
    if (is_evacuated == state.evacuated) continue;
    removeFromPool(state);
    state.evacuated = is_evacuated;
    addToPool(state);
    const auto service = services_.find(state.record.service);
    if (is_evacuated || service == services_.end()) continue;
    state.cold_until = std::max(state.cold_until, now + service->second.cold_time);
  }
}

void EngineSelector::setServices(const std::map<ServiceId, RoutedService>& services) {
  services_ = services;
}

}  // namespace hatchfork::request
