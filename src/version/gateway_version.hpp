#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "request/routing/service_fleet.hpp"
#include "version/configuration.hpp"

namespace hatchfork {

/// All data of one configuration revision that traffic threads use. Built once by the control thread, then immutable.
class GatewayVersion {
 public:
  /// `leaving` lists the engines that the platform reports as shutting down or gone.
  GatewayVersion(std::shared_ptr<const Configuration> configuration, std::vector<request::LiveGateway> gateways,
                 const std::vector<EngineId>& leaving);

  const Configuration& configuration() const { return *configuration_; }
  /// Returns the tenant that holds the API key; `kUnauthenticated` if the key is unknown or empty.
  Result<const Tenant*> tenantOfKey(std::string_view key) const;
  /// Returns the service named by a `model` value. `kNotFound` if there is none, `kPermissionDenied` if the tenant may
  /// not call the service.
  Result<const Service*> serviceFor(const Tenant& tenant, const std::string& model) const;
  const std::vector<request::ServiceFleetPtr>& fleets() const { return fleets_; }
  std::uint32_t liveGatewayCount() const { return live_gateway_count_; }

 private:
  std::shared_ptr<const Configuration> configuration_;
  std::vector<request::ServiceFleetPtr> fleets_;
  std::uint32_t live_gateway_count_ = 1;
};

using GatewayVersionPtr = std::shared_ptr<const GatewayVersion>;

}  // namespace hatchfork
