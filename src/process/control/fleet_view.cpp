#include "process/control/fleet_view.hpp"

#include <xxhash.h>

namespace hatchfork::control {

void FleetView::take(Instant now, const GatewayAnnouncement& announcement) {
  Announced& announced = announced_[announcement.replica];
  announced.at = now;
  if (announced.gateways == announcement.gateways) return;
  announced.gateways = announcement.gateways;
  rebuild();
}

void FleetView::expire(Instant now, Duration silence) {
  const std::size_t removed =
      std::erase_if(announced_, [&](const auto& entry) { return now - entry.second.at > silence; });
  if (removed > 0) rebuild();
}

void FleetView::setLeaving(std::vector<EngineId> leaving) {
  if (leaving == leaving_) return;
  leaving_ = std::move(leaving);
  rebuild();
}

void FleetView::rebuild() {
  std::map<GatewayId, LiveGateway> merged;
  for (const auto& [replica, announced] : announced_) {
    for (const LiveGateway& gateway : announced.gateways) merged[gateway.gateway] = gateway;
  }
  gateways_.clear();
  std::string text;
  for (const auto& [id, gateway] : merged) {
    gateways_.push_back(gateway);
    text += id.value + '\n' + gateway.zone.value + '\n';
  }
  for (const EngineId& engine : leaving_) text += "leaving " + engine.value + '\n';
  // Zero means "none held" on the wire.
  version_ = XXH64(text.data(), text.size(), 0) | 1;
}

}  // namespace hatchfork::control
