#pragma once

#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "connection/http_types.hpp"
#include "process/subscription/control_client.hpp"

namespace hatchfork::node {

/// Settings of `hatchfork control`, from a TOML file.
struct ControlSettings {
  ReplicaId name;
  ZoneId zone;
  std::string data_folder;
  /// Administration API, health and metrics.
  connection::Endpoint admin;
  /// Frame endpoints of all replicas, this one included; the key is the replica's name.
  std::vector<connection::ControlEndpoint> replicas;
  /// Administration endpoints of all replicas, to tell operators where a leader is.
  std::vector<connection::ControlEndpoint> admin_endpoints;
  /// The platform's list of machines; port 0 for none.
  connection::Endpoint platform;
  std::uint32_t batch_groups = 2;
  Duration configuration_lease{};
  Duration item_lease{};
  Duration election_timeout{};
  Duration heartbeat_interval{};
  /// Time after a stop signal in which requests are still taken.
  Duration linger{};

  connection::Endpoint listen() const;
};

Result<ControlSettings> readControlSettings(const std::string& file);

}  // namespace hatchfork::node
