#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "process/consensus/state_machine.hpp"

namespace hatchfork::store {

/// The end of a job that the group did not have when the end was applied.
struct KeptEnd {
  JobId job;
  /// Tenant of the caller that ended it.
  TenantId tenant;
  /// Entry of the log with the last such end.
  consensus::LogIndex ended_at = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeptEnd, job, tenant, ended_at)

/// Ends of jobs that the group does not have, so that a submission which was under way when its job was ended is not
/// accepted afterwards. Bounded in memory: beyond the bound of a tenant, or of all, the oldest ends of the tenant with
/// the most are removed, so that no tenant can remove those of another. No I/O, no clock. Not thread-safe.
class KeptEnds {
 public:
  KeptEnds() = default;
  KeptEnds(const KeptEnds&) = delete;
  KeptEnds& operator=(const KeptEnds&) = delete;
  KeptEnds(KeptEnds&&) = default;
  KeptEnds& operator=(KeptEnds&&) = default;

  /// Keeps an end, as the newest one of its tenant.
  void add(const KeptEnd& end);
  /// True if the end of that job holds for a submission of `submitter`; a job without a tenant may be ended by any.
  bool contains(const JobId& job, const TenantId& submitter) const;
  /// Removes the ends up to that entry of the log. Returns true if there were any.
  bool removeThrough(consensus::LogIndex last);
  /// Returns all ends, those of each tenant from the oldest to the newest.
  std::vector<KeptEnd> all() const;
  /// Entry of the log with the newest end; zero without any.
  consensus::LogIndex newest() const;
  std::size_t size() const { return places_.size(); }
  /// Estimated memory.
  std::size_t bytes() const { return bytes_; }

 private:
  struct OfTenant {
    /// The oldest first.
    std::list<KeptEnd> ends;
    std::size_t bytes = 0;
  };
  using Tenants = std::map<TenantId, OfTenant>;

  static std::size_t bytesOf(const KeptEnd& end);
  void removeOldest(Tenants::iterator tenant);
  Tenants::iterator tenantWithMost();

  Tenants tenants_;
  std::map<std::pair<JobId, TenantId>, std::list<KeptEnd>::iterator> places_;
  std::size_t bytes_ = 0;
};

}  // namespace hatchfork::store
