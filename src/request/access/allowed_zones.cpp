#include "request/access/allowed_zones.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <string>
#include <vector>

namespace hatchfork::request {
namespace {

bool allows(const std::set<RegionId>& allowed, const RegionId& region) {
  return allowed.empty() || allowed.contains(region);
}

const std::set<RegionId>& regionsOf(const Tenant* tenant) {
  static const std::set<RegionId> any;
  return tenant == nullptr ? any : tenant->allowed_regions;
}

}  // namespace

std::optional<std::set<ZoneId>> allowedZones(const Route& route, const Tenant* tenant, const ZoneRegions& regions) {
  const std::set<RegionId>& of_tenant = regionsOf(tenant);
  if (route.allowed_regions.empty() && of_tenant.empty()) return std::nullopt;
  std::set<ZoneId> zones;
  for (const auto& [zone, region] : regions) {
    if (allows(route.allowed_regions, region) && allows(of_tenant, region)) zones.insert(zone);
  }
  return zones;
}

std::string namesOfAllowedRegions(const Route& route, const Tenant* tenant) {
  const std::set<RegionId>& of_tenant = regionsOf(tenant);
  const std::set<RegionId>& named = route.allowed_regions.empty() ? of_tenant : route.allowed_regions;
  std::vector<std::string_view> names;
  for (const RegionId& region : named) {
    if (allows(of_tenant, region)) names.push_back(region.value);
  }
  return names.empty() ? "none that route and tenant both allow" : fmt::format("{}", fmt::join(names, ", "));
}

}  // namespace hatchfork::request
