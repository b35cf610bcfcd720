#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "process/control/control_messages.hpp"

namespace hatchfork::batch {

/// Maximum number of claims. At this limit the oldest claim is evicted if it is older than `kClaimRetentionMillis`.
constexpr std::size_t kMaxRunClaims = 500'000;
/// Minimum time for which a claim is retained.
constexpr WallMillis kClaimRetentionMillis = 24LL * 3600 * 1000;

/// Claims to the single run of unrepeatable online requests, by (tenant, idempotency key). The first claim to a key is
/// granted, and granted again to the same claimant, whose reply may have been lost; all other claims are denied.
/// Deterministic; threading: control thread only.
class RunClaims {
 public:
  /// Returns true if granted, false if another claimant holds the key with the same digest. Fails with `kConflict` if
  /// the key was claimed with another digest, and with `kOverloaded` if the table is full and no claim is old enough to
  /// evict.
  Result<bool> claim(const control::ClaimRunRequest& request);
  std::size_t size() const { return claims_.size(); }

  nlohmann::json toSnapshot() const;
  /// Throws `nlohmann::json::exception` on damaged input.
  static RunClaims fromSnapshot(const nlohmann::json& json);

 private:
  struct Name {
    TenantId tenant;
    std::string key;
    auto operator<=>(const Name&) const = default;
  };
  struct Claim {
    std::string digest;
    std::string claimant;
    WallMillis claimed_at = 0;
  };

  void insert(Name name, Claim claim);

  std::map<Name, Claim> claims_;
  /// Names in claim order, oldest first.
  std::deque<Name> order_;
};

}  // namespace hatchfork::batch
