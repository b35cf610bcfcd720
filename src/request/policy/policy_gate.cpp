#include "request/policy/policy_gate.hpp"

#include <algorithm>
#include <bit>

#include "common/log.hpp"

namespace hatchfork::request {
namespace {

constexpr Duration kRetryAfterShedding = fromMillis(1000);
constexpr Duration kRetryAfterConcurrency = fromMillis(500);
constexpr double kLowSheddingPressure = 0.75;
constexpr double kNormalSheddingPressure = 1.0;
constexpr double kHighSheddingPressure = 2.0;

Error denied(const std::string& policy, const std::string& reason) {
  const std::string because = reason.empty() ? "" : ": " + reason;
  return Error{ErrorKind::kPolicyDenied,
               "policy " + policy + " does not allow the request" + because,
               "ask the operators of the service",
               Executed::kNo,
               {}};
}

Error shed(const std::string& policy) {
  return Error{ErrorKind::kOverloaded, "the service is overloaded and policy " + policy + " sheds such requests",
               "retry after the stated time", Executed::kNo, kRetryAfterShedding};
}

/// Returns the share of one gateway in the slots of all engines that are not leaving.
double shareOfSlots(const ServiceFleet& fleet, std::uint32_t gateways) {
  std::uint32_t slots = 0;
  for (const FleetEngine& engine : fleet.engines) {
    if (!engine.drained_by_operator && !engine.leaving_platform) slots += engine.slots;
  }
  return static_cast<double>(slots) / gateways;
}

}  // namespace

double sheddingPressure(PolicyUrgency urgency) {
  if (urgency == PolicyUrgency::kLow) return kLowSheddingPressure;
  return urgency == PolicyUrgency::kHigh ? kHighSheddingPressure : kNormalSheddingPressure;
}

void PolicyGate::takeVersion(GatewayVersionPtr version) {
  const bool same = version_ && version_->configuration().revision == version->configuration().revision;
  // The compiled programs of the same revision are kept, together with the version that owns their sources.
  if (!same) {
    policies_.emplace(version->configuration().policies);
    version_ = version;
  }
  gateways_ = version->liveGatewayCount();
  std::erase_if(loads_, [&](const auto& entry) { return !version->configuration().services.contains(entry.first); });
  for (const ServiceFleetPtr& fleet : version->fleets()) {
    loads_[fleet->service].share = shareOfSlots(*fleet, gateways_);
  }
}

double PolicyGate::pressure(const ServiceId& service) const {
  const auto found = loads_.find(service);
  if (found == loads_.end()) return 0;
  // A share below one slot counts as one slot, also for a service without engines.
  return found->second.in_flight / std::max(1.0, found->second.share);
}

std::uint32_t PolicyGate::inFlight() const {
  std::uint32_t in_flight = 0;
  for (const auto& [service, load] : loads_) in_flight += load.in_flight;
  return in_flight;
}

Result<PolicyDecision> PolicyGate::evaluate(const std::string& policy, const PolicyInput& input) {
  if (policy.empty() || !policies_) return PolicyDecision{true, "", input.urgency, false, PolicyLimits{}};
  return policies_->decide(policy, input);
}

void PolicyGate::countFault(const Error& error) {
  ++counters_.failed;
  // Logs the 1st, 2nd, 4th, 8th ... fault only, so that a program that always fails does not flood the log.
  if (!std::has_single_bit(counters_.failed)) return;
  logEvent(LogLevel::kWarning, "policy_failed", {{"cause", error.message}, {"faults", counters_.failed}});
}

Result<PolicyDecision> PolicyGate::admit(const Tenant& tenant, const Service& service, WorkKind kind,
                                         PolicyUrgency urgency) {
  const PolicyInput input{tenant.id, service.id, kind, urgency, pressure(service.id)};
  Result<PolicyDecision> decision = evaluate(service.policy, input);
  if (!isOk(decision)) {
    countFault(errorOf(decision));
    return decision;
  }
  const PolicyDecision& value = valueOf(decision);
  if (!value.allow) {
    ++counters_.denied;
    return denied(service.policy, value.reason);
  }
  if (value.may_shed && input.pressure >= sheddingPressure(value.urgency)) {
    ++counters_.shed;
    return shed(service.policy);
  }
  return decision;
}

PolicyDecision PolicyGate::advise(const TenantId& tenant, const ServiceId& service, WorkKind kind) {
  const PolicyInput input{tenant, service, kind, PolicyUrgency::kNormal, pressure(service)};
  if (!version_) return PolicyDecision{};
  const auto& services = version_->configuration().services;
  const auto found = services.find(service);
  if (found == services.end()) return PolicyDecision{};
  const Result<PolicyDecision> decision = evaluate(found->second.policy, input);
  if (isOk(decision)) return valueOf(decision);
  countFault(errorOf(decision));
  return PolicyDecision{};
}

Status PolicyGate::enter(const TenantId& tenant, const ServiceId& service, std::uint32_t concurrency) {
  ServiceLoad& load = loads_[service];
  const auto tenant_count = load.in_flight_of.find(tenant);
  const std::uint32_t in_flight = tenant_count == load.in_flight_of.end() ? 0 : tenant_count->second;
  const std::uint32_t share = (concurrency + gateways_ - 1) / gateways_;
  if (concurrency > 0 && in_flight >= share) {
    return Error{ErrorKind::kRateLimited, "tenant " + tenant.value + " has reached its limit of concurrent requests",
                 "retry after the stated time, or ask the operators for a higher limit", Executed::kNo,
                 kRetryAfterConcurrency};
  }
  ++load.in_flight_of[tenant];
  ++load.in_flight;
  return okStatus();
}

void PolicyGate::leave(const TenantId& tenant, const ServiceId& service) {
  const auto load = loads_.find(service);
  if (load == loads_.end()) return;
  const auto in_flight = load->second.in_flight_of.find(tenant);
  // The service was removed and added again meanwhile: its new count does not include this request.
  if (in_flight == load->second.in_flight_of.end()) return;
  --load->second.in_flight;
  if (--in_flight->second == 0) load->second.in_flight_of.erase(in_flight);
}

}  // namespace hatchfork::request
