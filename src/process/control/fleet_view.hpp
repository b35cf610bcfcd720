#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/control/control_messages.hpp"

namespace hatchfork::control {

/// What one replica tells the others about the gateways that renew with it. Sent every second and on change.
struct GatewayAnnouncement {
  ReplicaId replica;
  std::vector<LiveGateway> gateways;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GatewayAnnouncement, replica, gateways)

/// What gateways need to know of the fleet beside the configuration: the live gateways, as the union of all replicas'
/// announcements, and the engines that the platform lists as leaving or gone. Versions are content hashes, so that any
/// two replicas with the same view give it the same version. Soft state. Threading: control thread only.
class FleetView {
 public:
  void take(Instant now, const GatewayAnnouncement& announcement);
  /// Drops what a silent replica announced.
  void expire(Instant now, Duration silence);
  /// Engines that the platform gives as leaving or gone, in order of name.
  void setLeaving(std::vector<EngineId> leaving);
  const std::vector<LiveGateway>& gateways() const { return gateways_; }
  const std::vector<EngineId>& leaving() const { return leaving_; }
  std::uint64_t version() const { return version_; }

 private:
  struct Announced {
    std::vector<LiveGateway> gateways;
    Instant at;
  };
  void rebuild();

  std::map<ReplicaId, Announced> announced_;
  std::vector<LiveGateway> gateways_;
  std::vector<EngineId> leaving_;
  std::uint64_t version_ = 1;
};

}  // namespace hatchfork::control
