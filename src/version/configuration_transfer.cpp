#include "version/configuration_transfer.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork {
namespace {

/// Gives pages of about 200 KB at one key per tenant. A page of this size is encoded or decoded in a few milliseconds,
/// so the transfer does not delay heartbeats.
constexpr std::size_t kTenantsPerPage = 800;

}  // namespace

void to_json(nlohmann::json& json, const ConfigurationDelta& delta) {
  json = nlohmann::json{{"from", delta.from_revision}, {"to", delta.to_revision}, {"current", delta.current_revision}};
  if (!delta.edits.empty()) json["edits"] = editsToJson(delta.edits);
  if (!delta.page.empty()) {
    json["page"] = nlohmann::json::binary(std::vector<std::uint8_t>(delta.page.begin(), delta.page.end()));
  }
}

void from_json(const nlohmann::json& json, ConfigurationDelta& delta) {
  json.at("from").get_to(delta.from_revision);
  json.at("to").get_to(delta.to_revision);
  json.at("current").get_to(delta.current_revision);
  delta.edits.clear();
  if (json.contains("edits")) delta.edits = editsFromJson(json.at("edits"));
  delta.page.clear();
  if (json.contains("page")) {
    const auto& bytes = json.at("page").get_binary();
    delta.page.assign(bytes.begin(), bytes.end());
  }
}

const std::string& ConfigurationPages::page(std::uint32_t first_shard) {
  const std::uint32_t start = std::min(first_shard, TenantTable::kShards);
  const auto cached = encoded_.find(start);
  if (cached != encoded_.end()) return cached->second;
  return encoded_.emplace(start, encodeStruct(build(start))).first->second;
}

ConfigurationPage ConfigurationPages::build(std::uint32_t first_shard) const {
  ConfigurationPage page;
  page.revision = configuration_.revision;
  page.first_shard = first_shard;
  page.next_shard = first_shard;
  if (first_shard == 0) {
    for (const auto& [id, service] : configuration_.services) page.services.push_back(service);
    for (const auto& [id, engine] : configuration_.engines) page.engines.push_back(engine);
    for (const auto& [name, policy] : configuration_.policies) page.policies.push_back(policy);
  }
  while (page.next_shard < TenantTable::kShards && page.tenants.size() < kTenantsPerPage) {
    for (const auto& tenant : configuration_.tenants.shard(page.next_shard)) page.tenants.push_back(*tenant);
    ++page.next_shard;
  }
  return page;
}

bool ConfigurationAssembly::take(const std::string& encoded) {
  const Result<ConfigurationPage> decoded = decodeStruct<ConfigurationPage>(encoded);
  if (!isOk(decoded)) return false;
  const ConfigurationPage& page = valueOf(decoded);
  const bool fits = page.first_shard == next_shard_ && page.next_shard > page.first_shard;
  if (!fits) return false;
  const bool first = page.first_shard == 0;
  configuration_.revision = first ? page.revision : std::min(configuration_.revision, page.revision);
  for (const Service& service : page.services) configuration_.services.insert_or_assign(service.id, service);
  for (const Engine& engine : page.engines) configuration_.engines.insert_or_assign(engine.id, engine);
  for (const Policy& policy : page.policies) configuration_.policies.insert_or_assign(policy.name, policy);
  for (const Tenant& tenant : page.tenants) configuration_.tenants.put(tenant);
  next_shard_ = page.next_shard;
  return true;
}

Configuration ConfigurationAssembly::finish() {
  return std::exchange(configuration_, Configuration{});
}

}  // namespace hatchfork
