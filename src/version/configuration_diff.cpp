#include "version/configuration_diff.hpp"

#include <algorithm>

namespace hatchfork {
namespace {

template <class Key>
std::string nameOf(const Key& key) {
  return key.value;
}
std::string nameOf(const std::string& key) {
  return key;
}

template <class Key, class Value>
void compareObjects(const std::string& type, const std::map<Key, Value>& before, const std::map<Key, Value>& after,
                    std::vector<ObjectDifference>& differences) {
  std::map<Key, ObjectDifference> found;
  for (const auto& [key, value] : before) found[key].before = value;
  for (const auto& [key, value] : after) found[key].after = value;
  for (auto& [key, difference] : found) {
    if (difference.before == difference.after) continue;
    difference.type = type;
    difference.name = nameOf(key);
    differences.push_back(std::move(difference));
  }
}

/// Returns the tenants of a shard whose objects are not shared with the other table's shard.
std::map<TenantId, Tenant> unsharedTenants(const TenantTable::Shard& shard, const TenantTable::Shard& other) {
  std::map<TenantId, Tenant> unshared;
  for (const TenantTable::TenantPtr& tenant : shard) {
    if (std::find(other.begin(), other.end(), tenant) == other.end()) unshared.emplace(tenant->id, *tenant);
  }
  return unshared;
}

/// Skips shards that both revisions share, so the cost follows the number of changed tenants, not of all tenants.
void compareTenants(const TenantTable& before, const TenantTable& after, std::vector<ObjectDifference>& differences) {
  std::map<TenantId, Tenant> old_tenants;
  std::map<TenantId, Tenant> new_tenants;
  for (std::uint32_t number = 0; number < TenantTable::kShards; ++number) {
    const TenantTable::Shard& old_shard = before.shard(number);
    const TenantTable::Shard& new_shard = after.shard(number);
    if (&old_shard == &new_shard) continue;
    old_tenants.merge(unsharedTenants(old_shard, new_shard));
    new_tenants.merge(unsharedTenants(new_shard, old_shard));
  }
  compareObjects("tenant", old_tenants, new_tenants, differences);
}

/// Returns the edit that restores the object under `key`, or removes the key if `objects` has none.
template <class Put, class Remove, class Key, class Value>
ConfigurationEdit restore(const std::map<Key, Value>& objects, const Key& key) {
  const auto found = objects.find(key);
  if (found == objects.end()) return Remove{key};
  return Put{found->second};
}

struct EditInverter {
  const Configuration& base;

  ConfigurationEdit service(const ServiceId& id) const { return restore<PutService, RemoveService>(base.services, id); }
  ConfigurationEdit engine(const EngineId& id) const { return restore<PutEngine, RemoveEngine>(base.engines, id); }
  ConfigurationEdit tenant(const TenantId& id) const {
    const Tenant* tenant = base.tenants.find(id);
    if (tenant == nullptr) return RemoveTenant{id};
    return PutTenant{*tenant};
  }
  ConfigurationEdit policy(const std::string& name) const {
    return restore<PutPolicy, RemovePolicy>(base.policies, name);
  }

  ConfigurationEdit operator()(const PutService& edit) const { return service(edit.service.id); }
  ConfigurationEdit operator()(const RemoveService& edit) const { return service(edit.id); }
  ConfigurationEdit operator()(const PutEngine& edit) const { return engine(edit.engine.id); }
  ConfigurationEdit operator()(const RemoveEngine& edit) const { return engine(edit.id); }
  ConfigurationEdit operator()(const PutTenant& edit) const { return tenant(edit.tenant.id); }
  ConfigurationEdit operator()(const RemoveTenant& edit) const { return tenant(edit.id); }
  ConfigurationEdit operator()(const PutPolicy& edit) const { return policy(edit.policy.name); }
  ConfigurationEdit operator()(const RemovePolicy& edit) const { return policy(edit.name); }
};

struct EditName {
  std::string operator()(const PutService& edit) const { return edit.service.id.value; }
  std::string operator()(const RemoveService& edit) const { return edit.id.value; }
  std::string operator()(const PutEngine& edit) const { return edit.engine.id.value; }
  std::string operator()(const RemoveEngine& edit) const { return edit.id.value; }
  std::string operator()(const PutTenant& edit) const { return edit.tenant.id.value; }
  std::string operator()(const RemoveTenant& edit) const { return edit.id.value; }
  std::string operator()(const PutPolicy& edit) const { return edit.policy.name; }
  std::string operator()(const RemovePolicy& edit) const { return edit.name; }
};

}  // namespace

std::string describeEdit(const ConfigurationEdit& edit) {
  const std::string_view kind = std::visit([](const auto& body) { return std::decay_t<decltype(body)>::kKind; }, edit);
  return std::string(kind) + " " + std::visit(EditName{}, edit);
}

std::vector<ObjectDifference> compareConfigurations(const Configuration& before, const Configuration& after) {
  std::vector<ObjectDifference> differences;
  compareObjects("service", before.services, after.services, differences);
  compareObjects("engine", before.engines, after.engines, differences);
  compareTenants(before.tenants, after.tenants, differences);
  compareObjects("policy", before.policies, after.policies, differences);
  return differences;
}

std::vector<ConfigurationEdit> inverseOf(const Configuration& configuration,
                                         const std::vector<ConfigurationEdit>& edits) {
  std::vector<ConfigurationEdit> inverse;
  for (const ConfigurationEdit& edit : edits) inverse.push_back(std::visit(EditInverter{configuration}, edit));
  return inverse;
}

}  // namespace hatchfork
