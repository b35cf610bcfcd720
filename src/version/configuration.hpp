#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"
#include "version/configuration_objects.hpp"
#include "version/tenant_table.hpp"

namespace hatchfork {

// Edits of the configuration. Each `Put` adds the named object or replaces it as a whole.
struct PutService {
  static constexpr std::string_view kKind = "put_service";
  Service service;
};
struct RemoveService {
  static constexpr std::string_view kKind = "remove_service";
  ServiceId id;
};
struct PutEngine {
  static constexpr std::string_view kKind = "put_engine";
  Engine engine;
};
struct RemoveEngine {
  static constexpr std::string_view kKind = "remove_engine";
  EngineId id;
};
struct PutTenant {
  static constexpr std::string_view kKind = "put_tenant";
  Tenant tenant;
};
struct RemoveTenant {
  static constexpr std::string_view kKind = "remove_tenant";
  TenantId id;
};
struct PutPolicy {
  static constexpr std::string_view kKind = "put_policy";
  Policy policy;
};
struct RemovePolicy {
  static constexpr std::string_view kKind = "remove_policy";
  std::string name;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutService, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveService, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutEngine, engine)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveEngine, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutTenant, tenant)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveTenant, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutPolicy, policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemovePolicy, name)

using ConfigurationEdit =
    std::variant<PutService, RemoveService, PutEngine, RemoveEngine, PutTenant, RemoveTenant, PutPolicy, RemovePolicy>;

/// A change by an operator: edits that take effect together, on top of `base_revision`.
struct ConfigurationChange {
  ChangeId change_id;
  Revision base_revision = 0;
  /// Tenant whose API key was used; set by the replica that takes the change, empty while the administration is open.
  TenantId tenant;
  /// Name of the person or program that made the change, as given by the client.
  std::string author;
  std::string reason;
  WallMillis proposed_at = 0;
  std::vector<ConfigurationEdit> edits;
};
void to_json(nlohmann::json& json, const ConfigurationChange& change);
void from_json(const nlohmann::json& json, ConfigurationChange& change);

/// The whole configuration at one revision.
struct Configuration {
  Revision revision = 0;
  std::map<ServiceId, Service> services;
  std::map<EngineId, Engine> engines;
  TenantTable tenants;
  std::map<std::string, Policy> policies;
};
void to_json(nlohmann::json& json, const Configuration& configuration);
void from_json(const nlohmann::json& json, Configuration& configuration);

nlohmann::json editsToJson(const std::vector<ConfigurationEdit>& edits);
/// Throws a JSON exception if an edit is of an unknown kind.
std::vector<ConfigurationEdit> editsFromJson(const nlohmann::json& list);

/// Validates edits against the configuration that they are to be applied to: references, addresses, names, and that no
/// API key belongs to two tenants. Does not check the syntax of policies; the caller does.
Status checkEdits(const Configuration& configuration, const std::vector<ConfigurationEdit>& edits);
/// Applies edits that `checkEdits` has accepted, and sets the revision.
void applyEdits(Configuration& configuration, const std::vector<ConfigurationEdit>& edits, Revision revision);

}  // namespace hatchfork
