#include "version/configuration.hpp"

#include <optional>
#include <set>
#include <utility>

namespace hatchfork {
namespace {

constexpr std::size_t kMaxNameBytes = 128;

Error invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

Status checkName(const std::string& what, const std::string& name) {
  if (name.empty() || name.size() > kMaxNameBytes) {
    return invalid(what + " name is empty or longer than 128 bytes", "choose a name of 1 to 128 bytes");
  }
  return okStatus();
}

template <class Key, class Value>
nlohmann::json valuesToJson(const std::map<Key, Value>& map) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, value] : map) list.push_back(value);
  return list;
}

nlohmann::json tenantsToJson(const TenantTable& tenants) {
  nlohmann::json list = nlohmann::json::array();
  tenants.forEach([&list](const Tenant& tenant) { list.push_back(tenant); });
  return list;
}

struct EditApplier {
  Configuration& configuration;

  void operator()(const PutService& edit) const { configuration.services[edit.service.id] = edit.service; }
  void operator()(const RemoveService& edit) const { configuration.services.erase(edit.id); }
  void operator()(const PutEngine& edit) const { configuration.engines[edit.engine.id] = edit.engine; }
  void operator()(const RemoveEngine& edit) const { configuration.engines.erase(edit.id); }
  void operator()(const PutTenant& edit) const { configuration.tenants.put(edit.tenant); }
  void operator()(const RemoveTenant& edit) const { configuration.tenants.erase(edit.id); }
  void operator()(const PutPolicy& edit) const { configuration.policies[edit.policy.name] = edit.policy; }
  void operator()(const RemovePolicy& edit) const { configuration.policies.erase(edit.name); }
};

/// The state after some edits: the objects that the edits put or removed, overlaid on the base. Avoids a copy of the
/// whole configuration.
class EditOverlay {
 public:
  explicit EditOverlay(const Configuration& base) : base_(base) {}

  bool hasService(const ServiceId& id) const { return has(services_, base_.services, id); }
  bool hasPolicy(const std::string& name) const { return has(policies_, base_.policies, name); }

  /// Returns the first engine that serves the service; null if there is none.
  const Engine* engineOf(const ServiceId& service) const {
    return firstOf(engines_, base_.engines, [&](const Engine& engine) { return engine.service == service; });
  }
  /// Returns the first service that uses the policy; null if there is none.
  const Service* serviceUsing(const std::string& policy) const {
    return firstOf(services_, base_.services, [&](const Service& service) { return service.policy == policy; });
  }

  void operator()(const PutService& edit) { services_[edit.service.id] = edit.service; }
  void operator()(const RemoveService& edit) { services_[edit.id] = std::nullopt; }
  void operator()(const PutEngine& edit) { engines_[edit.engine.id] = edit.engine; }
  void operator()(const RemoveEngine& edit) { engines_[edit.id] = std::nullopt; }
  void operator()(const PutPolicy& edit) { policies_[edit.policy.name] = edit.policy; }
  void operator()(const RemovePolicy& edit) { policies_[edit.name] = std::nullopt; }
  void operator()(const PutTenant& edit) {
    removeTenant(edit.tenant.id);
    for (const std::string& hash : edit.tenant.key_hashes) key_owners_[hash] = edit.tenant.id;
  }
  void operator()(const RemoveTenant& edit) { removeTenant(edit.id); }

  /// Returns the tenant that holds the key with this hash; empty if no tenant does.
  std::optional<TenantId> ownerOfKey(const std::string& hash) const {
    const auto changed = key_owners_.find(hash);
    if (changed != key_owners_.end()) return changed->second;
    const Tenant* tenant = base_.tenants.findByKeyHash(hash);
    if (tenant == nullptr || changed_tenants_.contains(tenant->id)) return std::nullopt;
    return tenant->id;
  }

 private:
  /// Changed objects by name; the value is empty if the object was removed.
  template <class Key, class Value>
  using Changes = std::map<Key, std::optional<Value>>;

  template <class Key, class Value>
  static bool has(const Changes<Key, Value>& changes, const std::map<Key, Value>& base, const Key& key) {
    const auto changed = changes.find(key);
    return changed == changes.end() ? base.contains(key) : changed->second.has_value();
  }

  template <class Key, class Value, class Predicate>
  static const Value* firstOf(const Changes<Key, Value>& changes, const std::map<Key, Value>& base,
                              const Predicate& matches) {
    for (const auto& [key, value] : changes) {
      if (value && matches(*value)) return &*value;
    }
    for (const auto& [key, value] : base) {
      if (!changes.contains(key) && matches(value)) return &value;
    }
    return nullptr;
  }

  void removeTenant(const TenantId& id) {
    changed_tenants_.insert(id);
    std::erase_if(key_owners_, [&](const auto& entry) { return entry.second == id; });
  }

  const Configuration& base_;
  Changes<ServiceId, Service> services_;
  Changes<EngineId, Engine> engines_;
  Changes<std::string, Policy> policies_;
  /// Tenants that were put or removed. `key_owners_` holds the keys that the changed tenants have after the edits.
  std::set<TenantId> changed_tenants_;
  std::map<std::string, TenantId> key_owners_;
};

/// Checks one edit against the state after the preceding edits.
struct EditChecker {
  const EditOverlay& configuration;

  Status operator()(const PutService& edit) const {
    Status name_status = checkName("service", edit.service.id.value);
    if (!isOk(name_status)) return name_status;
    if (!edit.service.policy.empty() && !configuration.hasPolicy(edit.service.policy)) {
      return invalid("service " + edit.service.id.value + " refers to the unknown policy " + edit.service.policy,
                     "put the policy first or in the same change before the service");
    }
    return okStatus();
  }
  Status operator()(const RemoveService& edit) const {
    const Engine* engine = configuration.engineOf(edit.id);
    if (engine != nullptr) {
      return invalid("engine " + engine->id.value + " still serves " + edit.id.value, "remove its engines first");
    }
    return okStatus();
  }
  Status operator()(const PutEngine& edit) const {
    Status name_status = checkName("engine", edit.engine.id.value);
    if (!isOk(name_status)) return name_status;
    if (!configuration.hasService(edit.engine.service)) {
      return invalid("engine " + edit.engine.id.value + " refers to the unknown service " + edit.engine.service.value,
                     "put the service first or in the same change before the engine");
    }
    if (edit.engine.port == 0 || edit.engine.host.empty()) {
      return invalid("engine " + edit.engine.id.value + " has no address", "give an IP number and a port from 1");
    }
    if (edit.engine.slots == 0) return invalid("engine " + edit.engine.id.value + " has no slots", "give slots from 1");
    return okStatus();
  }
  Status operator()(const RemoveEngine&) const { return okStatus(); }
  Status operator()(const PutTenant& edit) const {
    Status name_status = checkName("tenant", edit.tenant.id.value);
    if (!isOk(name_status)) return name_status;
    for (const std::string& hash : edit.tenant.key_hashes) {
      const bool hexadecimal = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
      if (hash.size() != 64 || !hexadecimal) {
        return invalid("tenant " + edit.tenant.id.value + " has a key hash that is not SHA-256 in hexadecimal",
                       "create the hash with: hatchfork ctl key hash");
      }
      const std::optional<TenantId> owner = configuration.ownerOfKey(hash);
      if (owner && *owner != edit.tenant.id) {
        return invalid("tenant " + edit.tenant.id.value + " has a key that tenant " + owner->value + " holds",
                       "give each tenant a key of its own");
      }
    }
    return okStatus();
  }
  Status operator()(const RemoveTenant&) const { return okStatus(); }
  Status operator()(const PutPolicy& edit) const { return checkName("policy", edit.policy.name); }
  Status operator()(const RemovePolicy& edit) const {
    const Service* service = configuration.serviceUsing(edit.name);
    if (service != nullptr) {
      return invalid("service " + service->id.value + " still uses policy " + edit.name,
                     "give the service another policy first");
    }
    return okStatus();
  }
};

}  // namespace

nlohmann::json editsToJson(const std::vector<ConfigurationEdit>& edits) {
  nlohmann::json list = nlohmann::json::array();
  for (const ConfigurationEdit& edit : edits) list.push_back(taggedToJson(edit));
  return list;
}

std::vector<ConfigurationEdit> editsFromJson(const nlohmann::json& list) {
  std::vector<ConfigurationEdit> edits;
  for (const nlohmann::json& element : list) {
    Result<ConfigurationEdit> edit = taggedFromJson<ConfigurationEdit>(element);
    if (!isOk(edit)) throw nlohmann::json::other_error::create(501, errorOf(edit).message, nullptr);
    edits.push_back(std::move(valueOf(edit)));
  }
  return edits;
}

void to_json(nlohmann::json& json, const ConfigurationChange& change) {
  json = nlohmann::json{{"change_id", change.change_id},     {"base_revision", change.base_revision},
                        {"tenant", change.tenant},           {"author", change.author},
                        {"reason", change.reason},           {"proposed_at", change.proposed_at},
                        {"edits", editsToJson(change.edits)}};
}

void from_json(const nlohmann::json& json, ConfigurationChange& change) {
  json.at("change_id").get_to(change.change_id);
  json.at("base_revision").get_to(change.base_revision);
  change.tenant = json.value("tenant", TenantId());
  change.author = json.value("author", "");
  change.reason = json.value("reason", "");
  change.proposed_at = json.value("proposed_at", WallMillis{0});
  change.edits = editsFromJson(json.at("edits"));
}

void to_json(nlohmann::json& json, const Configuration& configuration) {
  json = nlohmann::json{{"revision", configuration.revision},
                        {"services", valuesToJson(configuration.services)},
                        {"engines", valuesToJson(configuration.engines)},
                        {"tenants", tenantsToJson(configuration.tenants)},
                        {"policies", valuesToJson(configuration.policies)}};
}

void from_json(const nlohmann::json& json, Configuration& configuration) {
  configuration = Configuration{};
  json.at("revision").get_to(configuration.revision);
  for (const nlohmann::json& element : json.at("services")) {
    Service service = element.get<Service>();
    configuration.services.emplace(service.id, service);
  }
  for (const nlohmann::json& element : json.at("engines")) {
    Engine engine = element.get<Engine>();
    configuration.engines.emplace(engine.id, engine);
  }
  for (const nlohmann::json& element : json.at("tenants")) {
    configuration.tenants.put(element.get<Tenant>());
  }
  for (const nlohmann::json& element : json.at("policies")) {
    Policy policy = element.get<Policy>();
    configuration.policies.emplace(policy.name, policy);
  }
}

Status checkEdits(const Configuration& configuration, const std::vector<ConfigurationEdit>& edits) {
  EditOverlay overlay(configuration);
  for (const ConfigurationEdit& edit : edits) {
    Status checked = std::visit(EditChecker{overlay}, edit);
    if (!isOk(checked)) return checked;
    std::visit(overlay, edit);
  }
  return okStatus();
}

void applyEdits(Configuration& configuration, const std::vector<ConfigurationEdit>& edits, Revision revision) {
  for (const ConfigurationEdit& edit : edits) std::visit(EditApplier{configuration}, edit);
  configuration.revision = revision;
}

}  // namespace hatchfork
