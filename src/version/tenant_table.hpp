#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "version/configuration_objects.hpp"

namespace hatchfork {

/// The tenants of a configuration, by identifier and by key hash. Copies share all shards that neither has changed, so
/// a new revision with one changed tenant costs one shard and not the whole table; at 30,000 tenants this keeps a
/// gateway that holds two revisions near the memory of one. Shards follow a fixed hash of the identifier: equal tables
/// are equal in order everywhere. Threading: a table that is no longer changed may be read from any thread.
class TenantTable {
 public:
  using TenantPtr = std::shared_ptr<const Tenant>;
  /// Tenants of one shard in order of identifier.
  using Shard = std::vector<TenantPtr>;

  static constexpr std::uint32_t kShards = 256;

  /// Adds the tenant, or replaces the one of the same identifier.
  void put(Tenant tenant);
  void erase(const TenantId& id);
  /// Null when there is none.
  const Tenant* find(const TenantId& id) const;
  /// The tenant that holds a key, by the key's lower-case hexadecimal SHA-256; null when there is none.
  const Tenant* findByKeyHash(const std::string& key_hash) const;
  /// Tenants of a role that hold a key.
  std::size_t keyHolders(TenantRole role) const { return key_holders_[static_cast<std::size_t>(role)]; }

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Tenants of one shard; `number` below kShards.
  const Shard& shard(std::uint32_t number) const;
  /// Calls `visit(const Tenant&)` for each tenant, shard by shard.
  template <class Visitor>
  void forEach(const Visitor& visit) const {
    for (std::uint32_t number = 0; number < kShards; ++number) {
      for (const TenantPtr& tenant : shard(number)) visit(*tenant);
    }
  }

 private:
  struct KeyEntry {
    /// Leading 8 bytes of the hash; entries of equal prefix are told apart by the tenant's own list.
    std::uint64_t prefix = 0;
    TenantPtr tenant;
  };
  /// In order of prefix; a tenant stands once for each of its keys.
  using KeyShard = std::vector<KeyEntry>;

  static std::uint32_t shardOf(const TenantId& id);
  static std::uint64_t prefixOf(const std::string& key_hash);
  void addKeys(const TenantPtr& tenant);
  void removeKeys(const TenantPtr& tenant);

  std::array<std::shared_ptr<Shard>, kShards> shards_;
  std::array<std::shared_ptr<KeyShard>, kShards> key_shards_;
  std::size_t size_ = 0;
  /// By role.
  std::array<std::size_t, kTenantRoles> key_holders_{};
};

/// The tenant that an API key belongs to; `kUnauthenticated` without a key or for one that no tenant holds. Keys are
/// looked up by their hash and compared in constant time; no error holds a key.
Result<const Tenant*> tenantOfKey(const TenantTable& tenants, std::string_view key);

/// A table of these tenants. `kInvalidArgument`, naming the tenant and the field, for a tenant without a name, two of
/// one name, a key of two tenants, and a limit below zero.
Result<TenantTable> buildTenantTable(std::vector<Tenant> tenants);

}  // namespace hatchfork
