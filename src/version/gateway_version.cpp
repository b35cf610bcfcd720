#include "version/gateway_version.hpp"

#include <algorithm>

namespace hatchfork {
namespace {

request::ServiceFleetPtr buildFleet(const Configuration& configuration, const ServiceId& service,
                                    const std::vector<request::LiveGateway>& gateways,
                                    const std::vector<EngineId>& leaving) {
  auto fleet = std::make_shared<request::ServiceFleet>();
  fleet->service = service;
  fleet->gateways = gateways;
  for (const auto& [id, engine] : configuration.engines) {
    if (engine.service != service) continue;
    const bool is_leaving = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    fleet->engines.push_back(request::FleetEngine{id, engine.zone, engine.slots, engine.intent == EngineIntent::kDrain,
                                                  is_leaving, engine.build});
  }
  return fleet;
}

}  // namespace

GatewayVersion::GatewayVersion(std::shared_ptr<const Configuration> configuration,
                               std::vector<request::LiveGateway> gateways, const std::vector<EngineId>& leaving)
    : configuration_(std::move(configuration)),
      live_gateway_count_(std::max<std::uint32_t>(1, static_cast<std::uint32_t>(gateways.size()))) {
  for (const auto& [id, service] : configuration_->services) {
    fleets_.push_back(buildFleet(*configuration_, id, gateways, leaving));
  }
}

Result<const Tenant*> GatewayVersion::tenantOfKey(std::string_view key) const {
  return hatchfork::tenantOfKey(configuration_->tenants, key);
}

Result<const Service*> GatewayVersion::serviceFor(const Tenant& tenant, const std::string& model) const {
  const auto found = configuration_->services.find(ServiceId(model));
  if (found == configuration_->services.end()) {
    return Error{
        ErrorKind::kNotFound, "no service is named " + model, "GET /v1/models lists the services", Executed::kNo, {}};
  }
  const std::vector<TenantId>& allowed = found->second.tenants;
  const bool may_call = allowed.empty() || std::find(allowed.begin(), allowed.end(), tenant.id) != allowed.end();
  if (!may_call) {
    return Error{ErrorKind::kPermissionDenied,
                 "tenant " + tenant.id.value + " may not call " + model,
                 "ask an operator to add the tenant to the service",
                 Executed::kNo,
                 {}};
  }
  return &found->second;
}

}  // namespace hatchfork
