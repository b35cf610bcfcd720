#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.hpp"
#include "request/routing/service_fleet.hpp"

namespace hatchfork::request {

/// Stable 64-bit weight of a gateway for an engine (rendezvous hashing).
std::uint64_t rendezvousWeight(const GatewayId& gateway, const EngineId& engine);

/// Positions in `fleet.engines` of the engines that `self` may send batch work to: each engine is owned by exactly one
/// live gateway. Gateways in the engine's zone come first, engines are spread evenly over gateways, and every gateway
/// computes the same result from the same fleet. Takes engines x gateways steps, once per fleet version.
std::vector<std::size_t> ownedEngines(const ServiceFleet& fleet, const GatewayId& self);

/// Positions in `fleet.engines` that `self` routes online requests to: the owned engines first, then others by
/// rendezvous weight, `size` in all unless more are owned. A third of the slots left after the owned engines is for
/// engines of other zones; slots that one side cannot fill go to the other.
std::vector<std::size_t> routingSubset(const ServiceFleet& fleet, const GatewayId& self, const ZoneId& zone,
                                       std::size_t size);

}  // namespace hatchfork::request
