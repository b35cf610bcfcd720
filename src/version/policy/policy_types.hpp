#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/ids.hpp"

namespace hatchfork {

enum class WorkKind : std::uint8_t { kOnline, kBatch };
NLOHMANN_JSON_SERIALIZE_ENUM(WorkKind, {{WorkKind::kOnline, "online"}, {WorkKind::kBatch, "batch"}})

/// Urgency of a request among requests of the same kind. Online requests take precedence over batch items of any
/// urgency.
enum class PolicyUrgency : std::uint8_t { kLow, kNormal, kHigh };
NLOHMANN_JSON_SERIALIZE_ENUM(PolicyUrgency, {{PolicyUrgency::kNormal, "normal"},
                                             {PolicyUrgency::kLow, "low"},
                                             {PolicyUrgency::kHigh, "high"}})

/// Attributes of a request that a policy program receives.
struct PolicyInput {
  TenantId tenant;
  ServiceId model;
  WorkKind kind = WorkKind::kOnline;
  /// Urgency that the caller requested.
  PolicyUrgency urgency = PolicyUrgency::kNormal;
  /// Online requests in flight at this gateway, divided by its share of the service's slots: 0 is idle, 1 is full.
  double pressure = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PolicyInput, tenant, model, kind, urgency, pressure)

/// Limits that a policy sets on a request; zero means unlimited.
struct PolicyLimits {
  /// Maximum number of tokens that a request or item may request; also the default if it requests no number.
  std::uint32_t max_tokens = 0;
  /// Maximum number of concurrent online requests of the tenant to the service, across the whole fleet.
  std::uint32_t concurrency = 0;
  bool operator==(const PolicyLimits&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PolicyLimits, max_tokens, concurrency)

/// Decision of a policy program on a request.
struct PolicyDecision {
  bool allow = true;
  /// Reported to the caller if the request is denied.
  std::string reason;
  PolicyUrgency urgency = PolicyUrgency::kNormal;
  /// True if the request may be refused while the service is under pressure.
  bool may_shed = false;
  PolicyLimits limits;
  bool operator==(const PolicyDecision&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PolicyDecision, allow, reason, urgency, may_shed, limits)

}  // namespace hatchfork
