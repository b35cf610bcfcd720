#include "process/gateway/service_traffic.hpp"

namespace hatchfork::gateway {

TrafficState::TrafficState(GatewayId self, ZoneId zone, std::uint64_t seed)
    : self_(std::move(self)), zone_(std::move(zone)), seed_(seed) {}

void TrafficState::takeVersion(Instant now, GatewayVersionPtr version, Instant lease_until) {
  version_ = std::move(version);
  policies_.takeVersion(version_);
  lease_until_ = lease_until;
  const Configuration& configuration = version_->configuration();
  std::erase_if(services_, [&](const auto& entry) { return !configuration.services.contains(entry.first); });
  for (const request::ServiceFleetPtr& fleet : version_->fleets()) {
    std::unique_ptr<ServiceTraffic>& traffic = services_[fleet->service];
    if (!traffic) {
      const Service& service = configuration.services.at(fleet->service);
      const Duration target = fromMillis(service.first_token_target_ms);
      traffic = std::make_unique<ServiceTraffic>(self_, zone_, target, seed_ + services_.size());
    }
    traffic->router.updateFleet(now, fleet);
    traffic->admission.updateFleet(now, fleet, lease_until);
  }
  limiter_.removeUnless([&](const TenantId& id) { return configuration.tenants.find(id) != nullptr; });
}

void TrafficState::renewLease(Instant lease_until) {
  lease_until_ = lease_until;
  for (auto& [id, traffic] : services_) traffic->admission.renewOwnership(lease_until);
}

Status TrafficState::admitTenant(Instant now, const Tenant& tenant, request::Urgency urgency) {
  limiter_.configure(tenant.id, tenant.limits, version_->liveGatewayCount());
  return limiter_.acquire(now, tenant.id, urgency);
}

ServiceTraffic* TrafficState::service(const ServiceId& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

std::optional<connection::Endpoint> TrafficState::endpointOf(const EngineId& engine) const {
  const auto& engines = version_->configuration().engines;
  const auto found = engines.find(engine);
  if (found == engines.end()) return std::nullopt;
  return connection::Endpoint{found->second.host, found->second.port};
}

}  // namespace hatchfork::gateway
