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

/// The tenants of a configuration, indexed by identifier and by key hash. Copies share their unmodified shards
/// (copy-on-write), so a new revision with one changed tenant copies one shard and not the whole table; with 30,000
/// tenants, a gateway that holds two revisions needs little more memory than for one. A fixed hash of the identifier
/// selects the shard, so equal tables have the same order in every process. Threading: a table that is no longer
/// modified may be read from any thread.
class TenantTable {
 public:
  using TenantPtr = std::shared_ptr<const Tenant>;
  /// Tenants of one shard, sorted by identifier.
  using Shard = std::vector<TenantPtr>;

  static constexpr std::uint32_t kShards = 256;

  /// Adds the tenant, or replaces the tenant with the same identifier.
  void put(Tenant tenant);
  void erase(const TenantId& id);
  /// Returns null if there is no such tenant.
  const Tenant* find(const TenantId& id) const;
  /// Returns the tenant that holds the key with this lower-case hexadecimal SHA-256; null if there is none.
  const Tenant* findByKeyHash(const std::string& key_hash) const;
  /// Number of tenants with the role that hold at least one key.
  std::size_t keyHolders(TenantRole role) const { return key_holders_[static_cast<std::size_t>(role)]; }

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Returns the tenants of one shard; `number` must be below `kShards`.
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
    /// Leading 8 bytes of the hash. Entries with equal prefixes are distinguished by the tenant's `key_hashes`.
    std::uint64_t prefix = 0;
    TenantPtr tenant;
  };
  /// Sorted by prefix, with one entry per key of a tenant.
  using KeyShard = std::vector<KeyEntry>;

  static std::uint32_t shardOf(const TenantId& id);
  static std::uint64_t prefixOf(const std::string& key_hash);
  void addKeys(const TenantPtr& tenant);
  void removeKeys(const TenantPtr& tenant);

  std::array<std::shared_ptr<Shard>, kShards> shards_;
  std::array<std::shared_ptr<KeyShard>, kShards> key_shards_;
  std::size_t size_ = 0;
  /// Indexed by role.
  std::array<std::size_t, kTenantRoles> key_holders_{};
};

/// Returns the tenant that holds an API key; `kUnauthenticated` if the key is empty or unknown. Keys are looked up by
/// their hash and compared in constant time; errors never contain a key.
Result<const Tenant*> tenantOfKey(const TenantTable& tenants, std::string_view key);

/// Builds a table of these tenants. Returns `kInvalidArgument`, with the tenant and the field in the message, for a
/// tenant without a name, a repeated name, a key that two tenants share, and a negative limit.
Result<TenantTable> buildTenantTable(std::vector<Tenant> tenants);

}  // namespace hatchfork
