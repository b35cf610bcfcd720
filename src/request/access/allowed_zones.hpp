#pragma once

#include <map>
#include <optional>
#include <set>

#include "common/ids.hpp"
#include "version/route_table.hpp"

namespace hatchfork::request {

/// Region of each zone of the fleet.
using ZoneRegions = std::map<ZoneId, RegionId>;

/// Returns the zones whose machines may serve, run or store a request: the zones of the regions that both route and
/// tenant allow. Returns nothing if neither restricts the regions. Zones of unknown regions are never included.
std::optional<std::set<ZoneId>> allowedZones(const Route& route, const Tenant* tenant, const ZoneRegions& regions);

/// Returns the names of the allowed regions, for error messages.
std::string namesOfAllowedRegions(const Route& route, const Tenant* tenant);

}  // namespace hatchfork::request
