#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/control/control_messages.hpp"

namespace hatchfork::control {

/// What one replica last heard from one gateway.
struct GatewaySighting {
  GatewayId gateway;
  std::uint64_t session = 0;
  ZoneId zone;
  Revision enforced = 0;
  /// How long ago the gateway last renewed, at the time of the listing.
  std::int64_t silent_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GatewaySighting, gateway, session, zone, enforced, silent_ms)

/// Gateways that renew their configuration lease at this replica. Soft state. Threading: control thread only.
class GatewayRegistry {
 public:
  void record(Instant now, const RenewConfigurationRequest& request);
  /// Forgets gateways that have been silent for longer than `silence`.
  void expire(Instant now, Duration silence);
  std::vector<GatewaySighting> list(Instant now) const;
  /// Live gateways with their zones, in order of name.
  std::vector<LiveGateway> live() const;

 private:
  struct Record {
    GatewaySighting sighting;
    Instant renewed_at;
  };
  std::map<GatewayId, Record> records_;
};

}  // namespace hatchfork::control
