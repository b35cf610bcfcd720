#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.hpp"

namespace hatchfork::request {

/// An engine of a service as described by the configuration and the platform list.
struct FleetEngine {
  EngineId id;
  ZoneId zone;
  /// Number of requests that the engine can run at once.
  std::uint32_t slots = 0;
  /// True if the operator drains the engine (`EngineIntent::kDrain`). Each of the leaving marks suffices alone.
  bool drained_by_operator = false;
  /// True if the platform list marks the engine's machine as leaving or does not name it any more.
  bool leaving_platform = false;
  EngineBuild build;
};

/// A gateway that the control service reports as alive.
struct LiveGateway {
  GatewayId id;
  ZoneId zone;
};

/// Immutable view of one service for routing decisions. Built by the control thread, shared with traffic threads.
struct ServiceFleet {
  ServiceId service;
  std::vector<FleetEngine> engines;
  /// Live gateways, this one included. They determine the routing subset and the owner of batch work on each engine.
  std::vector<LiveGateway> gateways;
};

using ServiceFleetPtr = std::shared_ptr<const ServiceFleet>;

}  // namespace hatchfork::request
