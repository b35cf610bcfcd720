#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "common/result.hpp"
#include "version/gateway_version.hpp"
#include "version/policy/policy_set.hpp"

namespace hatchfork::request {

/// Number of requests refused because of policies.
struct PolicyCounters {
  std::uint64_t denied = 0;
  /// Requests whose policy program failed, exceeded its time or exceeded its memory.
  std::uint64_t failed = 0;
  std::uint64_t shed = 0;
};

/// Returns the pressure from which on work that the policy marks as sheddable is refused.
double sheddingPressure(PolicyUrgency urgency);

/// Evaluates the policies of the active configuration version for the requests of one gateway. Counts the online
/// requests in flight and derives the pressure on each service from the count. Used by one traffic thread.
class PolicyGate {
 public:
  /// Activates a version. Programs are compiled again only if the revision of the configuration has changed.
  void takeVersion(GatewayVersionPtr version);

  /// Decides on a request before any part of it is executed. Errors, all with `Executed::kNo`: `kPolicyDenied`,
  /// `kPolicyFailed`, and `kOverloaded` with a retry time for work that the policy sheds under pressure.
  Result<PolicyDecision> admit(const Tenant& tenant, const Service& service, WorkKind kind, PolicyUrgency urgency);
  /// Returns the current decision for work that was accepted earlier. Such work runs even if the policy now denies the
  /// request. A failed program gives the default decision.
  PolicyDecision advise(const TenantId& tenant, const ServiceId& service, WorkKind kind);

  /// Acquires a slot for an online request. `concurrency` is the fleet-wide limit of the policy, zero for unlimited.
  /// Returns `kRateLimited` above the share of this gateway. Every success must be followed by one `leave`.
  Status enter(const TenantId& tenant, const ServiceId& service, std::uint32_t concurrency);
  void leave(const TenantId& tenant, const ServiceId& service);

  /// Ratio of the online requests in flight to the share of this gateway in the slots of engines that are not leaving;
  /// zero for an unknown service.
  double pressure(const ServiceId& service) const;
  /// Number of online requests in flight over all services.
  std::uint32_t inFlight() const;
  const PolicyCounters& counters() const { return counters_; }

 private:
  struct ServiceLoad {
    /// Share of this gateway in the slots of the service.
    double share = 0;
    std::uint32_t in_flight = 0;
    std::map<TenantId, std::uint32_t> in_flight_of;
  };

  /// Runs the program of a policy; allows the request if there is no policy.
  Result<PolicyDecision> evaluate(const std::string& policy, const PolicyInput& input);
  void countFault(const Error& error);

  /// Owns the sources that `policies_` refers to.
  GatewayVersionPtr version_;
  std::optional<PolicySet> policies_;
  std::uint32_t gateways_ = 1;
  std::map<ServiceId, ServiceLoad> loads_;
  PolicyCounters counters_;
};

}  // namespace hatchfork::request
