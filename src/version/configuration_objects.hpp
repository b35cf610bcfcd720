/// Objects of the configuration: services, engines, tenants and policies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"

namespace hatchfork {

/// How a gateway handles requests to a service while its configuration lease is expired: refuse them, or continue to
/// serve with the last received configuration.
enum class StalePolicy { kRefuse, kServeOn };
NLOHMANN_JSON_SERIALIZE_ENUM(StalePolicy, {{StalePolicy::kRefuse, "refuse"}, {StalePolicy::kServeOn, "serve_on"}})

/// A model or application that callers select by name.
struct Service {
  ServiceId id;
  /// Tenants that may call the service; empty means every tenant.
  std::vector<TenantId> tenants;
  StalePolicy when_stale = StalePolicy::kRefuse;
  /// Target of the time to first token of online requests; batch work is preempted to meet the target.
  std::uint32_t first_token_target_ms = 360;
  /// Name of the policy program; empty means no policy.
  std::string policy;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Service, id, tenants, when_stale, first_token_target_ms, policy)

/// State of an engine that an operator has requested: serve requests, or drain.
enum class EngineIntent { kServe, kDrain };
NLOHMANN_JSON_SERIALIZE_ENUM(EngineIntent, {{EngineIntent::kServe, "serve"}, {EngineIntent::kDrain, "drain"}})

/// A backend, reached over HTTP at `host:port`.
struct Engine {
  EngineId id;
  ServiceId service;
  ZoneId zone;
  std::string host;
  std::uint16_t port = 0;
  /// Maximum number of concurrent requests.
  std::uint32_t slots = 8;
  EngineIntent intent = EngineIntent::kServe;
  /// Empty if the operator names none: such engines count as running one build.
  EngineBuild build;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Engine, id, service, zone, host, port, slots, intent, build)

enum class TenantRole { kTeam, kOperator, kAdmin };
constexpr std::size_t kTenantRoles = 3;
NLOHMANN_JSON_SERIALIZE_ENUM(TenantRole, {{TenantRole::kTeam, "team"},
                                          {TenantRole::kOperator, "operator"},
                                          {TenantRole::kAdmin, "admin"}})

/// Limits of one tenant across the whole fleet; zero means unlimited.
struct TenantLimits {
  double online_requests_per_second = 0;
  /// Burst size: requests above the rate that are admitted at once after an idle period. Zero selects the default of
  /// the rate limiter.
  double online_burst = 0;
  std::uint32_t online_concurrency = 0;
  std::uint32_t batch_items_in_flight = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TenantLimits, online_requests_per_second, online_burst,
                                                online_concurrency, batch_items_in_flight)

struct Tenant {
  TenantId id;
  TenantRole role = TenantRole::kTeam;
  /// Lower-case hexadecimal SHA-256 of each API key; the keys themselves are never stored.
  std::vector<std::string> key_hashes;
  TenantLimits limits;
  /// Priority of the tenant's requests; compared before the priority of the route. Zero is the most urgent.
  std::uint32_t priority = 0;
  /// Regions whose machines may serve, run or store the tenant's requests; empty means all regions.
  std::set<RegionId> allowed_regions;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Tenant, id, role, key_hashes, limits, priority, allowed_regions)

/// A policy program in Lua.
struct Policy {
  std::string name;
  std::string source;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Policy, name, source)

}  // namespace hatchfork
