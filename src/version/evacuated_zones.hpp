#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>

#include "common/ids.hpp"

namespace hatchfork {

/// Zones that operators have evacuated: their engines receive no requests. A higher revision is a newer state.
struct EvacuatedZones {
  std::uint64_t revision = 0;
  std::set<ZoneId> zones;
  bool operator==(const EvacuatedZones&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvacuatedZones, revision, zones)

}  // namespace hatchfork
