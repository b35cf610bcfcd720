#pragma once

#include <map>
#include <string>

#include "common/time.hpp"
#include "request/crash/request_fingerprint.hpp"

namespace hatchfork::request {

/// Leases of trial runs. A request that is likely to crash the next engine too, above all one whose quarantine has
/// ended and whose callers then return to all gateways at the same moment, runs only at the holder of its lease. The
/// outcome of that run decides for all others: a complete answer clears the request, and a crash quarantines it.
///
/// Kept by the leader of the stores only. A lease expires rather than being returned, so that the outcome of the run is
/// known to the leader before the next lease is granted; the leader releases those of its own runs. Does no I/O;
/// callers pass the current time. Not thread-safe.
class TrialLeases {
 public:
  /// Starts a leadership. Leases of an earlier leader are unknown here.
  void start(Instant now);
  /// Time until a lease of this content can be granted; zero if it is free, or held by `holder` already.
  /// `respects_earlier`: false if a further run beside one under a lease of an earlier leader is tolerable.
  Duration timeUntilFree(Instant now, const RequestFingerprint& content, const std::string& holder,
                         bool respects_earlier = true) const;
  /// Grants the lease to `holder`, which names one run. Requires that `timeUntilFree` is zero.
  void grant(Instant now, const RequestFingerprint& content, const std::string& holder);
  /// Ends the lease of this subject if its run is known to have crashed its engine: `crashed_run_began` is the begin of
  /// the latest run of the subject that did.
  void endCrashed(const RequestFingerprint& content, Instant crashed_run_began);
  /// Ends the lease of a run that has ended without a crash.
  void release(const RequestFingerprint& content, const std::string& holder);
  /// Number of leases that have not expired at the last grant.
  std::size_t size() const { return leases_.size(); }

 private:
  struct Lease {
    std::string holder;
    Instant granted_at{};
    Instant expires_at{};
  };

  Instant earlier_leases_until_ = Instant::min();
  std::map<RequestFingerprint, Lease> leases_;
};

}  // namespace hatchfork::request
