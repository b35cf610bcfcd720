#include <algorithm>
#include <utility>

#include "request/exchange/engine_selector.hpp"
#include "request/exchange/prefix_identity.hpp"

// Fleet changes, and the pools of open engines that choices are made from.
namespace hatchfork::request {

void EngineSelector::takeEngines(Instant now, const EngineChanges& changes) {
  const bool is_first_list = engines_.empty();
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
  for (const EngineRecord& engine : changes.present) takeEngine(now, engine, is_first_list);
}

void EngineSelector::takeEngine(Instant now, const EngineRecord& record, bool is_first_list) {
  const auto [entry, is_new] = engines_.try_emplace(record.id);
  EngineState& state = entry->second;
  const bool is_counted = !is_new && state.record.service == record.service && state.record.build == record.build;
  if (!is_new) {
    removeFromPool(state);
    if (!is_counted) removeFromBuilds(state);
    // A new incarnation has none of the requests, loads, prefixes and outcomes of the previous one.
    if (compareIncarnations(record.born, state.record.born) != IncarnationOrder::kSame) state = EngineState{};
  }
  if (record.cold_ms != state.record.cold_ms) state.cold_until = now + fromMillis(record.cold_ms);
  state.record = record;
  state.service_pace = limits_.learns_pace ? &paces_[record.service] : nullptr;
  state.id_hash = mixBits(hashText(record.id.value));
  state.evacuated = evacuated_.contains(record.zone);
  if (!is_counted) addToBuilds(now, record, is_first_list);
  state.build_settled_at = builds_.at(record.service).at(record.build).settled_at;
  addToPool(state);
}

void EngineSelector::addToBuilds(Instant now, const EngineRecord& record, bool is_first_list) {
  std::map<EngineBuild, BuildState>& builds = builds_[record.service];
  const auto [entry, is_new] = builds.try_emplace(record.build);
  const bool has_others = builds.size() > 1;
  if (is_new && has_others && !is_first_list) entry->second.settled_at = now + limits_.build_settle_time;
  ++entry->second.engines;
}

void EngineSelector::removeFromBuilds(const EngineState& state) {
  const auto builds = builds_.find(state.record.service);
  const auto entry = builds->second.find(state.record.build);
  if (--entry->second.engines > 0) return;
  builds->second.erase(entry);
  if (builds->second.empty()) builds_.erase(builds);
}

bool EngineSelector::hasOpenEngine(const ServiceId& service, const EngineBuild& build) const {
  const EnginePool* const pool = poolOf(service);
  if (pool == nullptr) return false;
  const auto& open = pool->all();
  return std::any_of(open.begin(), open.end(),
                     [&](const EngineState* engine) { return engine->record.build == build; });
}

bool EngineSelector::hasOtherBuilds(const ServiceId& service, const EngineBuild& build) const {
  const auto builds = builds_.find(service);
  if (builds == builds_.end()) return false;
  return builds->second.size() > (builds->second.contains(build) ? 1 : 0);
}

bool EngineSelector::hasOpenEngine(const ServiceId& service) const {
  const EnginePool* const pool = poolOf(service);
  return pool != nullptr && pool->size() > 0;
}

void EngineSelector::dropEngine(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  removeFromPool(found->second);
  removeFromBuilds(found->second);
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
