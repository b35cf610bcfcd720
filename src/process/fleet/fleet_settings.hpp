#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "connection/http_types.hpp"
#include "request/admission/load_features.hpp"
#include "request/limits/rate_credit.hpp"

namespace hatchfork::fleet {

/// Which part a process plays.
enum class ProcessRole { kControl, kGateway, kStore };

/// Where a process shows its metrics.
struct MetricsAddress {
  std::uint16_t port = 0;
  std::string path;
};

/// Settings of a process in a fleet that forms itself, from a TOML file. All processes of one role use the same ports,
/// so that the IP number of a machine is all that names a process.
struct FleetSettings {
  std::string name;
  ZoneId zone;
  /// IP number of this machine.
  std::string address;
  /// Name of the dialect that callers, engines and operators speak.
  std::string dialect;
  /// Port for frames of control processes, of stores; equal on all machines.
  std::uint16_t control_port = 0;
  std::uint16_t store_port = 0;
  /// Addresses of some control processes.
  std::vector<ReplicaId> seeds;
  /// The region of each zone of the fleet; may be empty. Control processes refuse orders for any other zone.
  std::map<ZoneId, RegionId> zones;
  /// Control: operators and engines call here.
  connection::Endpoint operators;
  /// Gateway: callers call here.
  connection::Endpoint callers;
  /// Gateway: tells whether it is ready.
  connection::Endpoint readiness;
  /// Control and store: where durable state lives.
  std::string data_folder;
  /// True only while the whole system has never run.
  bool first_start = false;
  /// How many machines with a disk may be lost at once.
  std::uint32_t tolerated_losses = 1;
  /// Longest time between the beats of an engine.
  Duration engine_beat{};
  /// How exactly the rate limits of tenants are held. Equal on all machines.
  request::RateLimitOptions rate_limits;
  /// Decisions under load that this process makes.
  request::LoadFeatures load;
  /// Memory that the process may use, in megabytes.
  std::uint32_t memory_mb = 256;
  /// Time a planned stop may take.
  Duration grace{};
  std::optional<MetricsAddress> metrics;

  ReplicaId self() const { return ReplicaId(address); }
  connection::Endpoint controlEndpoint(const ReplicaId& replica) const { return {replica.value, control_port}; }
  connection::Endpoint storeEndpoint(const ReplicaId& replica) const { return {replica.value, store_port}; }
};

/// True if the file describes a process of a fleet that forms itself: it names seeds.
bool isFleetSettings(const std::string& file);
/// `kInvalidArgument` names file, key and remedy.
Result<FleetSettings> readFleetSettings(const std::string& file, ProcessRole role);

}  // namespace hatchfork::fleet
