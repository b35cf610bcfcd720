#include "process/store/kept_ends.hpp"

#include <algorithm>

namespace hatchfork::store {
namespace {

/// Bounds of the ends of all tenants, and of one.
constexpr std::size_t kMaxBytes = 4u << 20;
constexpr std::size_t kMaxBytesOfTenant = 1u << 20;
/// Estimated memory of an end besides its identifiers: table entries and allocations.
constexpr std::size_t kEndBytes = 250;

}  // namespace

std::size_t KeptEnds::bytesOf(const KeptEnd& end) {
  // The identifiers are in two tables.
  return kEndBytes + 2 * (end.job.value.size() + end.tenant.value.size());
}

void KeptEnds::add(const KeptEnd& end) {
  const auto tenant = tenants_.try_emplace(end.tenant).first;
  const auto before = places_.find({end.job, end.tenant});
  if (before != places_.end()) {
    before->second->ended_at = end.ended_at;
    tenant->second.ends.splice(tenant->second.ends.end(), tenant->second.ends, before->second);
    return;
  }
  tenant->second.ends.push_back(end);
  places_.emplace(std::pair(end.job, end.tenant), std::prev(tenant->second.ends.end()));
  tenant->second.bytes += bytesOf(end);
  bytes_ += bytesOf(end);
  // The newest end of a tenant stays, however long its identifiers are.
  while (tenant->second.bytes > kMaxBytesOfTenant && tenant->second.ends.size() > 1) removeOldest(tenant);
  while (bytes_ > kMaxBytes && places_.size() > 1) removeOldest(tenantWithMost());
}

bool KeptEnds::contains(const JobId& job, const TenantId& submitter) const {
  if (!submitter.empty()) return places_.contains({job, submitter});
  const auto first = places_.lower_bound({job, TenantId()});
  return first != places_.end() && first->first.first == job;
}

bool KeptEnds::removeThrough(consensus::LogIndex last) {
  const std::size_t before = places_.size();
  for (auto tenant = tenants_.begin(); tenant != tenants_.end();) {
    const auto next = std::next(tenant);
    std::size_t old = 0;
    for (const KeptEnd& end : tenant->second.ends) {
      if (end.ended_at > last) break;
      ++old;
    }
    for (; old > 0; --old) removeOldest(tenant);
    tenant = next;
  }
  return places_.size() < before;
}

std::vector<KeptEnd> KeptEnds::all() const {
  std::vector<KeptEnd> ends;
  ends.reserve(places_.size());
  for (const auto& [tenant, held] : tenants_) ends.insert(ends.end(), held.ends.begin(), held.ends.end());
  return ends;
}

consensus::LogIndex KeptEnds::newest() const {
  consensus::LogIndex newest = 0;
  for (const auto& [tenant, held] : tenants_) newest = std::max(newest, held.ends.back().ended_at);
  return newest;
}

/// A tenant without ends has no entry.
void KeptEnds::removeOldest(Tenants::iterator tenant) {
  const auto oldest = tenant->second.ends.begin();
  const std::size_t bytes = bytesOf(*oldest);
  places_.erase({oldest->job, oldest->tenant});
  tenant->second.ends.erase(oldest);
  tenant->second.bytes -= bytes;
  bytes_ -= bytes;
  if (tenant->second.ends.empty()) tenants_.erase(tenant);
}

KeptEnds::Tenants::iterator KeptEnds::tenantWithMost() {
  return std::max_element(tenants_.begin(), tenants_.end(),
                          [](const auto& left, const auto& right) { return left.second.bytes < right.second.bytes; });
}

}  // namespace hatchfork::store
