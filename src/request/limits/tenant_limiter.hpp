#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "request/limits/token_bucket.hpp"
#include "request/urgency.hpp"
#include "version/configuration.hpp"

namespace hatchfork::request {

/// Enforces this gateway's share of each tenant's fleet-wide limits: limit / live gateways, rounded up to at least one.
/// A rejection is `kRateLimited` with `Executed::kNo` and the time after which a retry may succeed. Thread-compatible:
/// use one object per gateway, guarded by its owner, or one per traffic thread with the threads counted as gateways.
class TenantLimiter {
 public:
  /// Sets the limits and the number of gateways. Requests in flight stay counted.
  void configure(const TenantId& tenant, const TenantLimits& limits, std::uint32_t live_gateways);
  /// Rejects further requests of the tenant; its requests in flight stay counted until they are released.
  void remove(const TenantId& tenant);
  /// Removes every tenant for which `keep` is false.
  void removeUnless(const std::function<bool(const TenantId&)>& keep);

  /// Admits one request or batch item. Every success must be followed by one `release`. Returns `kPermissionDenied` for
  /// a tenant that is not configured.
  Status acquire(Instant now, const TenantId& tenant, Urgency urgency);
  void release(const TenantId& tenant, Urgency urgency);
  std::uint32_t inFlight(const TenantId& tenant, Urgency urgency) const;

 private:
  struct Record {
    TokenBucket online_rate;
    std::uint32_t online_concurrency = 0;
    std::uint32_t batch_concurrency = 0;
    std::uint32_t online_in_flight = 0;
    std::uint32_t batch_in_flight = 0;
    bool removed = false;
  };
  std::map<TenantId, Record> records_;
};

}  // namespace hatchfork::request
