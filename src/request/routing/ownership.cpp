#include "request/routing/ownership.hpp"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <string>

namespace hatchfork::request {
namespace {

std::uint64_t hashName(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

std::uint64_t combine(std::uint64_t gateway_hash, std::uint64_t engine_hash) {
  std::uint64_t mixed = gateway_hash ^ (engine_hash * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

struct GatewayShare {
  std::uint64_t hash = 0;
  const LiveGateway* gateway = nullptr;
  std::size_t owned = 0;
};

/// Gateways in order of their names, so that the result does not depend on the order in the fleet.
std::vector<GatewayShare> gatewaysByName(const ServiceFleet& fleet) {
  std::vector<GatewayShare> shares;
  shares.reserve(fleet.gateways.size());
  for (const LiveGateway& gateway : fleet.gateways) shares.push_back({hashName(gateway.id.value), &gateway, 0});
  std::sort(shares.begin(), shares.end(),
            [](const GatewayShare& left, const GatewayShare& right) { return left.gateway->id < right.gateway->id; });
  return shares;
}

/// Returns the gateway with the greatest weight that is below the quota; gateways of the engine's zone come first.
GatewayShare* chooseOwner(std::vector<GatewayShare>& shares, const FleetEngine& engine, std::size_t quota) {
  const std::uint64_t engine_hash = hashName(engine.id.value);
  GatewayShare* best = nullptr;
  bool best_in_zone = false;
  std::uint64_t best_weight = 0;
  for (GatewayShare& share : shares) {
    if (share.owned >= quota) continue;
    const bool in_zone = share.gateway->zone == engine.zone;
    const std::uint64_t weight = combine(share.hash, engine_hash);
    if (best && (in_zone < best_in_zone || (in_zone == best_in_zone && weight <= best_weight))) continue;
    best = &share;
    best_in_zone = in_zone;
    best_weight = weight;
  }
  return best;
}

std::vector<std::size_t> positionsByName(const ServiceFleet& fleet) {
  std::vector<std::size_t> positions(fleet.engines.size());
  for (std::size_t position = 0; position < positions.size(); ++position) positions[position] = position;
  std::sort(positions.begin(), positions.end(),
            [&fleet](std::size_t left, std::size_t right) { return fleet.engines[left].id < fleet.engines[right].id; });
  return positions;
}

struct WeightedEngine {
  std::size_t position = 0;
  bool own_zone = false;
  std::uint64_t weight = 0;
};

std::vector<WeightedEngine> unownedByPreference(const ServiceFleet& fleet, const GatewayId& self, const ZoneId& zone,
                                                const std::vector<std::size_t>& owned) {
  std::vector<bool> taken(fleet.engines.size(), false);
  for (const std::size_t position : owned) taken[position] = true;
  std::vector<WeightedEngine> others;
  for (std::size_t position = 0; position < fleet.engines.size(); ++position) {
    if (taken[position]) continue;
    const FleetEngine& engine = fleet.engines[position];
    others.push_back({position, engine.zone == zone, rendezvousWeight(self, engine.id)});
  }
  std::sort(others.begin(), others.end(),
            [](const WeightedEngine& left, const WeightedEngine& right) { return left.weight > right.weight; });
  return others;
}

}  // namespace

std::uint64_t rendezvousWeight(const GatewayId& gateway, const EngineId& engine) {
  return combine(hashName(gateway.value), hashName(engine.value));
}

std::vector<std::size_t> ownedEngines(const ServiceFleet& fleet, const GatewayId& self) {
  std::vector<std::size_t> owned;
  std::vector<GatewayShare> shares = gatewaysByName(fleet);
  if (shares.empty()) return owned;
  const std::size_t quota = (fleet.engines.size() + shares.size() - 1) / shares.size();
  for (const std::size_t position : positionsByName(fleet)) {
    GatewayShare* owner = chooseOwner(shares, fleet.engines[position], quota);
    ++owner->owned;
    if (owner->gateway->id == self) owned.push_back(position);
  }
  return owned;
}

std::vector<std::size_t> routingSubset(const ServiceFleet& fleet, const GatewayId& self, const ZoneId& zone,
                                       std::size_t size) {
  std::vector<std::size_t> subset = ownedEngines(fleet, self);
  const std::vector<WeightedEngine> others = unownedByPreference(fleet, self, zone, subset);
  const std::size_t left = size > subset.size() ? size - subset.size() : 0;
  // A third of the remaining slots goes to other zones, so that engines remain after the loss of the own zone.
  std::size_t far_slots = (left + 2) / 3;
  std::size_t near_slots = left - far_slots;
  const auto near_count = static_cast<std::size_t>(
      std::count_if(others.begin(), others.end(), [](const WeightedEngine& other) { return other.own_zone; }));
  const std::size_t far_count = others.size() - near_count;
  if (near_count < near_slots) far_slots += near_slots - near_count;
  if (far_count < far_slots) near_slots += far_slots - far_count;
  for (const WeightedEngine& other : others) {
    std::size_t& slots = other.own_zone ? near_slots : far_slots;
    if (slots == 0) continue;
    --slots;
    subset.push_back(other.position);
  }
  return subset;
}

}  // namespace hatchfork::request
