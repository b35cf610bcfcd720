#pragma once

#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/admission/retry_schedule.hpp"
#include "request/limits/rate_credit.hpp"
#include "request/limits/rate_meter.hpp"
#include "version/configuration_objects.hpp"

namespace hatchfork::request {

/// The buckets of the tenants whose limits this process owns. An owner that has just taken over does not know what its
/// predecessor granted, so that its buckets begin nearly empty. No I/O, no clock. Belongs to one thread.
///
/// Cost: a credit_request costs one look-up; tenants that nobody has asked for lately cost nothing.
class RateLimitOwner {
 public:
  explicit RateLimitOwner(RateLimitOptions options) : options_(options) {}

  /// Another process may have owned these limits until now.
  void noteTakeover(Instant now);
  CreditResponse answer(Instant now, const TenantId& tenant, const TenantLimits& limits,
                        const CreditRequest& credit_request);
  /// Forgets the buckets that are full again.
  void expire(Instant now);
  std::size_t buckets() const { return buckets_.size(); }
  /// Of the tenants that were active lately: promises that are outstanding, and what became of earlier ones.
  std::size_t promised() const;
  RetryCounters returns() const;

 private:
  struct Bucket {
    double level = 0;
    Instant updated_at{};
    RateMeter used;
    RetrySchedule schedule;
  };

  double capacityOf(const TenantLimits& limits) const;
  void answerAsks(Instant now, Bucket& bucket, const TenantLimits& limits, const CreditRequest& credit_request,
                  CreditResponse& answer) const;
  Bucket& bucketOf(Instant now, const TenantId& tenant, const TenantLimits& limits);

  RateLimitOptions options_;
  Instant settled_at_{};
  std::map<TenantId, Bucket> buckets_;
  /// Of the tenants that were forgotten.
  RetryCounters forgotten_;
};

}  // namespace hatchfork::request
