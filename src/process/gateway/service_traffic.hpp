#pragma once

#include <map>
#include <memory>

#include "common/ids.hpp"
#include "connection/http_types.hpp"
#include "request/limits/tenant_limiter.hpp"
#include "request/policy/policy_gate.hpp"
#include "request/service_decisions.hpp"
#include "version/gateway_version.hpp"

namespace hatchfork::gateway {

/// What one gateway knows of one service's traffic. Traffic thread only.
using ServiceTraffic = request::ServiceDecisions;

/// Counts for metrics and proofs.
struct TrafficCounters {
  std::uint64_t online_accepted = 0;
  std::uint64_t online_completed = 0;
  std::uint64_t online_refused = 0;
  std::uint64_t online_failed = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t online_tokens = 0;
  std::uint64_t batch_items_run = 0;
  std::uint64_t batch_pauses = 0;
  std::uint64_t batch_tokens = 0;
};

/// The state that requests of all services share on the traffic thread: the version in force, the configuration lease,
/// and the decision code of each service. Traffic thread only.
class TrafficState {
 public:
  TrafficState(GatewayId self, ZoneId zone, std::uint64_t seed);

  /// Puts a version in force; services that are gone lose their state.
  void takeVersion(Instant now, GatewayVersionPtr version, Instant lease_until);
  void renewLease(Instant lease_until);

  /// Null before the first version.
  const GatewayVersion* version() const { return version_.get(); }
  GatewayVersionPtr versionPtr() const { return version_; }
  bool leaseInForce(Instant now) const { return version_ != nullptr && now < lease_until_; }
  /// Null for an unknown service.
  ServiceTraffic* service(const ServiceId& service);
  std::map<ServiceId, std::unique_ptr<ServiceTraffic>>& services() { return services_; }
  /// Nothing when the engine has left the configuration.
  std::optional<connection::Endpoint> endpointOf(const EngineId& engine) const;
  /// Admits one piece of a tenant's work within this gateway's share of the tenant's limits; every success is followed
  /// by one `limiter().release`. Limits are taken from the version in force at each call, so that no work grows with
  /// the number of tenants.
  Status admitTenant(Instant now, const Tenant& tenant, request::Urgency urgency);
  request::TenantLimiter& limiter() { return limiter_; }
  request::PolicyGate& policies() { return policies_; }
  const request::PolicyGate& policies() const { return policies_; }
  TrafficCounters& counters() { return counters_; }
  const GatewayId& self() const { return self_; }

 private:
  GatewayId self_;
  ZoneId zone_;
  std::uint64_t seed_;
  GatewayVersionPtr version_;
  Instant lease_until_{};
  std::map<ServiceId, std::unique_ptr<ServiceTraffic>> services_;
  request::TenantLimiter limiter_;
  request::PolicyGate policies_;
  TrafficCounters counters_;
};

}  // namespace hatchfork::gateway
