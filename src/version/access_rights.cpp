#include "version/access_rights.hpp"

#include <algorithm>

#include "common/sha256.hpp"

namespace hatchfork {
namespace {

Error denied(std::string message, std::string remedy) {
  return Error{ErrorKind::kPermissionDenied, std::move(message), std::move(remedy), Executed::kNo, {}};
}

TenantRole presentRole(const Configuration& configuration, const TenantId& id) {
  const Tenant* tenant = configuration.tenants.find(id);
  return tenant == nullptr ? TenantRole::kTeam : tenant->role;
}

Status checkOperatorEdit(const Configuration& configuration, const ConfigurationEdit& edit) {
  const auto* put = std::get_if<PutTenant>(&edit);
  const auto* remove = std::get_if<RemoveTenant>(&edit);
  if (put == nullptr && remove == nullptr) return okStatus();
  const TenantId& id = put != nullptr ? put->tenant.id : remove->id;
  const bool grants = put != nullptr && put->tenant.role != TenantRole::kTeam;
  if (!grants && presentRole(configuration, id) == TenantRole::kTeam) return okStatus();
  return denied("an operator may not change tenant " + id.value + " with the role operator or admin", "ask an admin");
}

Status checkTeamEdit(const Tenant& team, const ConfigurationEdit& edit) {
  const auto* put = std::get_if<PutTenant>(&edit);
  if (put != nullptr && put->tenant.id == team.id) {
    Tenant only_keys_changed = team;
    only_keys_changed.key_hashes = put->tenant.key_hashes;
    if (nlohmann::json(only_keys_changed) == nlohmann::json(put->tenant)) return okStatus();
  }
  return denied("a tenant of the role team may change only its own key_hashes", "ask an operator");
}

/// Rejects changes that would leave no admin with a key and so open the administration again, and changes that give
/// keys to operators while the administration is open.
Status checkAdminRemains(const Configuration& configuration, const std::vector<ConfigurationEdit>& edits) {
  TenantTable tenants = configuration.tenants;
  for (const ConfigurationEdit& edit : edits) {
    if (const auto* put = std::get_if<PutTenant>(&edit)) tenants.put(put->tenant);
    if (const auto* remove = std::get_if<RemoveTenant>(&edit)) tenants.erase(remove->id);
  }
  if (tenants.keyHolders(TenantRole::kAdmin) > 0) return okStatus();
  const bool has_operator = tenants.keyHolders(TenantRole::kOperator) > 0;
  if (isAdministrationOpen(configuration) && !has_operator) return okStatus();
  return Error{ErrorKind::kInvalidArgument,
               "no admin with a key would be left",
               "keep or put a tenant with role admin and a key hash in the same change",
               Executed::kNo,
               {}};
}

bool touchesTenants(const ConfigurationEdit& edit) {
  return std::holds_alternative<PutTenant>(edit) || std::holds_alternative<RemoveTenant>(edit);
}

}  // namespace

bool isAdministrationOpen(const Configuration& configuration) {
  return configuration.tenants.keyHolders(TenantRole::kAdmin) == 0;
}

const Tenant* findTenantByKey(const Configuration& configuration, std::string_view key) {
  return configuration.tenants.findByKeyHash(sha256Hex(key));
}

Status checkEditRights(const Configuration& configuration, const TenantId& actor,
                       const std::vector<ConfigurationEdit>& edits) {
  if (!isAdministrationOpen(configuration)) {
    const Tenant* tenant = configuration.tenants.find(actor);
    if (tenant == nullptr) {
      return denied("the change does not come from a known tenant",
                    "send it with the API key of an operator or an admin");
    }
    for (const ConfigurationEdit& edit : edits) {
      Status status = okStatus();
      if (tenant->role == TenantRole::kOperator) status = checkOperatorEdit(configuration, edit);
      if (tenant->role == TenantRole::kTeam) status = checkTeamEdit(*tenant, edit);
      if (!isOk(status)) return status;
    }
  }
  if (std::none_of(edits.begin(), edits.end(), touchesTenants)) return okStatus();
  return checkAdminRemains(configuration, edits);
}

Configuration visibleToTeam(const Configuration& configuration, const Tenant& team) {
  Configuration visible;
  visible.revision = configuration.revision;
  visible.tenants.put(team);
  for (const auto& [id, service] : configuration.services) {
    const auto& allowed = service.tenants;
    const bool may_call = allowed.empty() || std::find(allowed.begin(), allowed.end(), team.id) != allowed.end();
    if (!may_call) continue;
    Service shown = service;
    shown.tenants.clear();
    visible.services.emplace(id, shown);
  }
  return visible;
}

}  // namespace hatchfork
