/// Access rights of the administration. An admin may change everything; an operator may change everything except
/// tenants with the role operator or admin; a team may change only the API keys of its own tenant. Until the first
/// admin with a key exists, the administration is open to everybody, so that a new fleet can be set up.
#pragma once

#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "version/configuration.hpp"

namespace hatchfork {

/// True while no admin holds an API key. `checkEditRights` refuses keys for operators during that time.
bool isAdministrationOpen(const Configuration& configuration);
/// The tenant that holds the API key; null for an unknown key.
const Tenant* findTenantByKey(const Configuration& configuration, std::string_view key);
/// Checks that tenant `actor` may make these edits, and that they leave at least one admin with a key. An empty `actor`
/// is an anonymous caller, who may make edits only while the administration is open.
Status checkEditRights(const Configuration& configuration, const TenantId& actor,
                       const std::vector<ConfigurationEdit>& edits);
/// Returns the part of the configuration that a team may read: its own tenant and the services that it may call.
Configuration visibleToTeam(const Configuration& configuration, const Tenant& team);

}  // namespace hatchfork
