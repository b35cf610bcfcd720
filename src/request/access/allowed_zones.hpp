#pragma once

#include <map>
#include <optional>
#include <set>

#include "common/ids.hpp"
#include "version/route_table.hpp"

namespace hatchfork::request {

/// The region of each zone of the fleet.
using ZoneRegions = std::map<ZoneId, RegionId>;

/// The zones whose machines may serve, run or keep a request: those of regions that its route and its tenant both
/// allow. Nothing where neither names a region. A zone of an unknown region is none of them.
std::optional<std::set<ZoneId>> allowedZones(const Route& route, const Tenant* tenant, const ZoneRegions& regions);

/// The allowed regions by name, for refusals.
std::string namesOfAllowedRegions(const Route& route, const Tenant* tenant);

}  // namespace hatchfork::request
