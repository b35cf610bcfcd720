#include "process/control/gateway_registry.hpp"

namespace hatchfork::control {

void GatewayRegistry::record(Instant now, const RenewConfigurationRequest& request) {
  Record& record = records_[request.gateway];
  record.sighting = GatewaySighting{request.gateway, request.session, request.zone, request.enforced, 0};
  record.renewed_at = now;
}

void GatewayRegistry::expire(Instant now, Duration silence) {
  std::erase_if(records_, [&](const auto& entry) { return now - entry.second.renewed_at > silence; });
}

std::vector<GatewaySighting> GatewayRegistry::list(Instant now) const {
  std::vector<GatewaySighting> sightings;
  for (const auto& [gateway, record] : records_) {
    GatewaySighting sighting = record.sighting;
    sighting.silent_ms = toMillis(now - record.renewed_at);
    sightings.push_back(std::move(sighting));
  }
  return sightings;
}

std::vector<LiveGateway> GatewayRegistry::live() const {
  std::vector<LiveGateway> gateways;
  for (const auto& [gateway, record] : records_) gateways.push_back(LiveGateway{gateway, record.sighting.zone});
  return gateways;
}

}  // namespace hatchfork::control
