#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/control/control_messages.hpp"
#include "version/configuration.hpp"
#include "version/configuration_transfer.hpp"

namespace hatchfork {

/// A gateway's copy of the configuration and its freshness lease. A copy that holds nothing, or is too far behind, is
/// put together from pages; then edits bring it up to the replica's revision. Only a reply that brings it all the way
/// renews the lease, which counts from when the renewal was sent, so it never outlives the moment at which the replica
/// proved its state fresh by more than the lease's length. The revision in force never goes down. Sans-I/O; control
/// thread only.
class ConfigurationWatch {
 public:
  ConfigurationWatch(GatewayId gateway, std::uint64_t session, ZoneId zone);

  control::RenewConfigurationRequest makeRequest() const;
  /// Takes the reply to a renewal that was sent at `sent_at`. A reply that does not fit what is held (late, duplicate,
  /// or to an older request) changes nothing. Returns true when the configuration in force or the list of live gateways
  /// changed.
  bool takeReply(Instant sent_at, const control::RenewConfigurationReply& reply);

  /// True while the copy is known to be incomplete or behind, so that the next renewal is to be sent at once.
  bool wantsMore() const { return wants_more_; }

  /// The configuration in force; null before the first complete copy.
  std::shared_ptr<const Configuration> configuration() const { return configuration_; }
  const std::vector<control::LiveGateway>& liveGateways() const { return live_gateways_; }
  /// Batch groups with unfinished jobs, by the newest reply that renewed the lease.
  const std::vector<GroupId>& busyGroups() const { return busy_groups_; }
  /// Engines that the platform lists as leaving or gone.
  const std::vector<EngineId>& leavingEngines() const { return leaving_engines_; }
  /// End of the lease; the epoch of the time line before the first reply.
  Instant leaseUntil() const { return lease_until_; }
  bool isFresh(Instant now) const { return configuration_ != nullptr && now < lease_until_; }

 private:
  bool takeDelta(const ConfigurationDelta& delta);
  bool takePage(const ConfigurationDelta& delta);
  bool takeEdits(const ConfigurationDelta& delta);

  GatewayId gateway_;
  std::uint64_t session_;
  ZoneId zone_;
  /// In force.
  std::shared_ptr<const Configuration> configuration_;
  /// On its way to the replica's revision: `configuration_`, or newer but not yet in force.
  std::shared_ptr<const Configuration> held_;
  /// Present while pages arrive.
  std::optional<ConfigurationAssembly> assembly_;
  bool wants_more_ = false;
  std::vector<control::LiveGateway> live_gateways_;
  std::vector<GroupId> busy_groups_;
  std::vector<EngineId> leaving_engines_;
  std::uint64_t fleet_version_ = 0;
  Instant lease_until_{};
};

}  // namespace hatchfork
