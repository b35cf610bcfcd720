#pragma once

#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/admission/retry_schedule.hpp"
#include "request/limits/rate_credit.hpp"
#include "request/limits/rate_meter.hpp"
#include "version/configuration_objects.hpp"

namespace hatchfork::request {

/// Token buckets of the tenants whose rate limits this process owns. After a takeover, the credits granted by the
/// previous owner are unknown, so the buckets start nearly empty. Does no I/O; callers pass the current time. Not
/// thread-safe.
///
/// Cost: one lookup per credit request. The buckets of idle tenants are removed by `expire`.
class RateLimitOwner {
 public:
  explicit RateLimitOwner(RateLimitOptions options) : options_(options) {}

  /// Records that another process may have owned these limits until now.
  void noteTakeover(Instant now);
  /// Grants credits from the bucket of the tenant.
  CreditResponse answer(Instant now, const TenantId& tenant, const TenantLimits& limits,
                        const CreditRequest& credit_request);
  /// Removes the buckets of idle tenants; their counters are kept.
  void expire(Instant now);
  /// Number of tenants with a bucket.
  std::size_t buckets() const { return buckets_.size(); }
  /// Number of outstanding reservations over all tenants with a bucket.
  std::size_t promised() const;
  /// Outcomes of all reservations since the start, those of removed buckets included.
  RetryCounters returns() const;

 private:
  struct Bucket {
    double level = 0;
    Instant updated_at{};
    RateMeter used;
    RetrySchedule schedule;
  };

  double capacityOf(const TenantLimits& limits) const;
  void decideEntries(Instant now, Bucket& bucket, const TenantLimits& limits, const CreditRequest& credit_request,
                     CreditResponse& answer) const;
  Bucket& bucketOf(Instant now, const TenantId& tenant, const TenantLimits& limits);

  RateLimitOptions options_;
  Instant settled_at_{};
  std::map<TenantId, Bucket> buckets_;
  /// Counters of the buckets that have been removed.
  RetryCounters removed_counters_;
};

}  // namespace hatchfork::request
