#pragma once

#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "connection/http_types.hpp"
#include "process/subscription/control_client.hpp"

namespace hatchfork::gateway {

/// Settings of `hatchfork gateway`, from a TOML file.
struct GatewaySettings {
  GatewayId name;
  ZoneId zone;
  /// Callers' HTTP.
  connection::Endpoint listen;
  /// Frame endpoints of the control replicas.
  std::vector<connection::ControlEndpoint> replicas;
  std::uint32_t batch_groups = 2;
  Duration renew_interval{};
  /// Longest silence of an engine inside a stream before the attempt counts as failed.
  Duration engine_timeout{};
  /// Time after a stop signal in which new requests are still taken.
  Duration linger{};
  /// Longest time for requests in progress after the linger.
  Duration drain_timeout{};
  std::uint64_t largest_body = 0;
};

Result<GatewaySettings> readGatewaySettings(const std::string& file);

}  // namespace hatchfork::gateway
