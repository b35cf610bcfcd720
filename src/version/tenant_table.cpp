#include "version/tenant_table.hpp"

#include <openssl/crypto.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <charconv>

#include "common/sha256.hpp"

namespace hatchfork {
namespace {

constexpr std::size_t kPrefixDigits = 16;

const TenantTable::Shard kEmptyShard;

auto lowerBound(const TenantTable::Shard& shard, const TenantId& id) {
  return std::lower_bound(
      shard.begin(), shard.end(), id,
      [](const TenantTable::TenantPtr& tenant, const TenantId& wanted) { return tenant->id < wanted; });
}

Error invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

Status checkTenant(const TenantTable& others, const Tenant& tenant) {
  if (tenant.id.empty()) return invalid("a tenant has no name", "give each tenant a name");
  const std::string& name = tenant.id.value;
  if (others.find(tenant.id) != nullptr) return invalid("tenant " + name + " is listed twice", "list each tenant once");
  const TenantLimits& limits = tenant.limits;
  if (!(limits.online_requests_per_second >= 0)) {
    return invalid("the rate of tenant " + name + " is negative", "give a rate above zero, or zero for no limit");
  }
  if (!(limits.online_burst >= 0)) {
    return invalid("the burst of tenant " + name + " is negative", "give a burst of zero or more");
  }
  for (const std::string& hash : tenant.key_hashes) {
    const Tenant* holder = others.findByKeyHash(hash);
    if (holder != nullptr) {
      return invalid("tenant " + name + " has a key that tenant " + holder->id.value + " already holds",
                     "give each tenant keys of its own");
    }
  }
  return okStatus();
}

/// Returns the part for modification; replaces it by a copy first if another table shares it.
template <class Part>
Part& detach(std::shared_ptr<Part>& part) {
  if (!part) {
    part = std::make_shared<Part>();
  } else if (part.use_count() > 1) {
    part = std::make_shared<Part>(*part);
  } else {
    // Another thread may have just released its reference; the fence orders its reads before the modification.
    std::atomic_thread_fence(std::memory_order_acquire);
  }
  return *part;
}

}  // namespace

std::uint32_t TenantTable::shardOf(const TenantId& id) {
  return static_cast<std::uint32_t>(XXH3_64bits(id.value.data(), id.value.size()) % kShards);
}

std::uint64_t TenantTable::prefixOf(const std::string& key_hash) {
  std::uint64_t prefix = 0;
  const std::size_t digits = std::min(kPrefixDigits, key_hash.size());
  std::from_chars(key_hash.data(), key_hash.data() + digits, prefix, 16);
  return prefix;
}

const TenantTable::Shard& TenantTable::shard(std::uint32_t number) const {
  const auto& shard = shards_[number];
  return shard ? *shard : kEmptyShard;
}

const Tenant* TenantTable::find(const TenantId& id) const {
  const Shard& tenants = shard(shardOf(id));
  const auto found = lowerBound(tenants, id);
  return found != tenants.end() && (*found)->id == id ? found->get() : nullptr;
}

const Tenant* TenantTable::findByKeyHash(const std::string& key_hash) const {
  const std::uint64_t prefix = prefixOf(key_hash);
  const auto& shard = key_shards_[prefix % kShards];
  if (!shard) return nullptr;
  auto entry = std::lower_bound(shard->begin(), shard->end(), prefix,
                                [](const KeyEntry& held, std::uint64_t wanted) { return held.prefix < wanted; });
  for (; entry != shard->end() && entry->prefix == prefix; ++entry) {
    const auto& hashes = entry->tenant->key_hashes;
    const bool holds = std::any_of(hashes.begin(), hashes.end(), [&](const std::string& hash) {
      return hash.size() == key_hash.size() && CRYPTO_memcmp(hash.data(), key_hash.data(), hash.size()) == 0;
    });
    if (holds) return entry->tenant.get();
  }
  return nullptr;
}

void TenantTable::put(Tenant tenant) {
  erase(tenant.id);
  const auto added = std::make_shared<const Tenant>(std::move(tenant));
  Shard& shard = detach(shards_[shardOf(added->id)]);
  shard.insert(lowerBound(shard, added->id), added);
  addKeys(added);
  ++size_;
  if (!added->key_hashes.empty()) ++key_holders_[static_cast<std::size_t>(added->role)];
}

void TenantTable::erase(const TenantId& id) {
  if (find(id) == nullptr) return;
  Shard& shard = detach(shards_[shardOf(id)]);
  const auto found = lowerBound(shard, id);
  const TenantPtr removed = *found;
  shard.erase(found);
  removeKeys(removed);
  --size_;
  if (!removed->key_hashes.empty()) --key_holders_[static_cast<std::size_t>(removed->role)];
}

void TenantTable::addKeys(const TenantPtr& tenant) {
  for (const std::string& hash : tenant->key_hashes) {
    const std::uint64_t prefix = prefixOf(hash);
    KeyShard& shard = detach(key_shards_[prefix % kShards]);
    const auto position =
        std::upper_bound(shard.begin(), shard.end(), prefix,
                         [](std::uint64_t wanted, const KeyEntry& held) { return wanted < held.prefix; });
    shard.insert(position, KeyEntry{prefix, tenant});
  }
}

void TenantTable::removeKeys(const TenantPtr& tenant) {
  for (const std::string& hash : tenant->key_hashes) {
    KeyShard& shard = detach(key_shards_[prefixOf(hash) % kShards]);
    std::erase_if(shard, [&](const KeyEntry& entry) { return entry.tenant == tenant; });
  }
}

Result<const Tenant*> tenantOfKey(const TenantTable& tenants, std::string_view key) {
  if (key.empty()) {
    return Error{
        ErrorKind::kUnauthenticated, "no API key was given", "send Authorization: Bearer KEY", Executed::kNo, {}};
  }
  const Tenant* tenant = tenants.findByKeyHash(sha256Hex(key));
  if (tenant == nullptr) {
    return Error{ErrorKind::kUnauthenticated,
                 "the API key is unknown",
                 "ask an operator for a key of your tenant",
                 Executed::kNo,
                 {}};
  }
  return tenant;
}

Result<TenantTable> buildTenantTable(std::vector<Tenant> tenants) {
  TenantTable table;
  for (Tenant& tenant : tenants) {
    const Status checked = checkTenant(table, tenant);
    if (!isOk(checked)) return errorOf(checked);
    table.put(std::move(tenant));
  }
  return table;
}

}  // namespace hatchfork
