#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>

#include "common/ids.hpp"

namespace hatchfork {

/// The zones whose engines are to get no work, as operators ordered. A higher revision is a newer state of them.
struct EvacuatedZones {
  std::uint64_t revision = 0;
  std::set<ZoneId> zones;
  bool operator==(const EvacuatedZones&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvacuatedZones, revision, zones)

}  // namespace hatchfork
