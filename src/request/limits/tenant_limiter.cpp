#include "request/limits/tenant_limiter.hpp"

#include <algorithm>
#include <vector>

namespace hatchfork::request {
namespace {

constexpr Duration kRetryAfterConcurrency = fromMillis(500);

/// Returns the share of one gateway in a fleet-wide limit, at least one. Zero means unlimited and stays zero.
std::uint32_t shareOf(std::uint32_t limit, std::uint32_t gateways) {
  if (limit == 0) return 0;
  return std::max<std::uint32_t>((limit + gateways - 1) / gateways, 1);
}

Error limited(const TenantId& tenant, const std::string& what, Duration retry_after) {
  return Error{ErrorKind::kRateLimited, "tenant " + tenant.value + " has reached its limit of " + what,
               "retry after the stated time, or ask the operators for a higher limit", Executed::kNo, retry_after};
}

}  // namespace

void TenantLimiter::configure(const TenantId& tenant, const TenantLimits& limits, std::uint32_t live_gateways) {
  const std::uint32_t gateways = std::max<std::uint32_t>(live_gateways, 1);
  Record& record = records_[tenant];
  const double rate = limits.online_requests_per_second / gateways;
  record.online_rate.configure(rate, std::max(1.0, rate));
  record.online_concurrency = shareOf(limits.online_concurrency, gateways);
  record.batch_concurrency = shareOf(limits.batch_items_in_flight, gateways);
  record.removed = false;
}

void TenantLimiter::remove(const TenantId& tenant) {
  const auto found = records_.find(tenant);
  if (found == records_.end()) return;
  found->second.removed = true;
  if (found->second.online_in_flight == 0 && found->second.batch_in_flight == 0) records_.erase(found);
}

void TenantLimiter::removeUnless(const std::function<bool(const TenantId&)>& keep) {
  std::vector<TenantId> gone;
  for (const auto& [tenant, record] : records_) {
    if (!keep(tenant)) gone.push_back(tenant);
  }
  for (const TenantId& tenant : gone) remove(tenant);
}

Status TenantLimiter::acquire(Instant now, const TenantId& tenant, Urgency urgency) {
  const auto found = records_.find(tenant);
  if (found == records_.end() || found->second.removed) {
    return Error{ErrorKind::kPermissionDenied,
                 "tenant " + tenant.value + " is not configured",
                 "ask the operators to add the tenant",
                 Executed::kNo,
                 {}};
  }
  Record& record = found->second;
  if (urgency == Urgency::kBatch) {
    const bool full = record.batch_concurrency > 0 && record.batch_in_flight >= record.batch_concurrency;
    if (full) return limited(tenant, "batch items in flight", kRetryAfterConcurrency);
    ++record.batch_in_flight;
    return okStatus();
  }
  const bool full = record.online_concurrency > 0 && record.online_in_flight >= record.online_concurrency;
  if (full) return limited(tenant, "online requests in flight", kRetryAfterConcurrency);
  if (!record.online_rate.tryTake(now)) {
    return limited(tenant, "online requests per second", record.online_rate.untilAvailable(now));
  }
  ++record.online_in_flight;
  return okStatus();
}

void TenantLimiter::release(const TenantId& tenant, Urgency urgency) {
  const auto found = records_.find(tenant);
  if (found == records_.end()) return;
  Record& record = found->second;
  std::uint32_t& in_flight = urgency == Urgency::kOnline ? record.online_in_flight : record.batch_in_flight;
  if (in_flight > 0) --in_flight;
  if (record.removed && record.online_in_flight == 0 && record.batch_in_flight == 0) records_.erase(found);
}

std::uint32_t TenantLimiter::inFlight(const TenantId& tenant, Urgency urgency) const {
  const auto found = records_.find(tenant);
  if (found == records_.end()) return 0;
  return urgency == Urgency::kOnline ? found->second.online_in_flight : found->second.batch_in_flight;
}

}  // namespace hatchfork::request
