#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "process/store/stored_job.hpp"
#include "version/route_table.hpp"

namespace hatchfork::store {

/// The routes of jobs in the newest configuration that this store has received, and whether that configuration may
/// decide what can't be undone: that items are listed as errored. It may while a control process proves it to be the
/// newest, and only on jobs that were not accepted under a newer one. Otherwise a route that is not found is unknown
/// and not removed, and the limits of a route may be outdated. No I/O, no clock. Not thread-safe.
class JobRoutes {
 public:
  void setTable(std::shared_ptr<const RouteTable> table) { table_ = std::move(table); }
  /// Records that a control process has proved this store's view of the fleet to be the newest.
  void noteProof(Instant now);
  /// Returns null before the first configuration.
  const RouteTable* table() const { return table_.get(); }
  /// Returns zero before the first configuration.
  std::uint64_t version() const { return table_ ? table_->version() : 0; }
  /// Returns null if the configuration has no such route, or if there is no configuration yet.
  const Route* find(const StoredJob& job) const;
  /// True if the configuration may decide for good on the items of this job.
  bool isAuthoritative(Instant now, const StoredJob& job) const;
  /// True if the route of this job was removed: authoritative configurations have lacked it for long enough, without a
  /// gap. Call it for each open job about once a second.
  bool isRemoved(Instant now, const StoredJob& job);
  /// Forgets since when the job's route has been missing.
  void forget(const JobId& job) { missing_since_.erase(job); }
  void forgetAll() { missing_since_.clear(); }

 private:
  std::shared_ptr<const RouteTable> table_;
  /// Time of the last proof, and of the first one since which there was no gap.
  Instant proved_at_ = Instant::min();
  Instant proved_since_{};
  std::map<JobId, Instant> missing_since_;
};

}  // namespace hatchfork::store
