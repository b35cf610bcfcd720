#include "process/store/job_routes.hpp"

namespace hatchfork::store {
namespace {

/// A proof counts for this long. Proofs arrive every 0.3 s, and within a second from another control process if one
/// falls silent.
constexpr Duration kProofLifetime = fromMillis(1500);
/// After a gap in the proofs, delayed ones may arrive for this long.
constexpr Duration kProofSettleTime = fromMillis(1000);
/// A route must be missing for this long before it counts as removed, so that an operator can put it back.
constexpr Duration kRemovalDelay = std::chrono::seconds(4);

}  // namespace

void JobRoutes::noteProof(Instant now) {
  const bool has_gap = proved_at_ == Instant::min() || now > proved_at_ + kProofLifetime;
  if (has_gap) proved_since_ = now;
  proved_at_ = now;
}

const Route* JobRoutes::find(const StoredJob& job) const {
  return table_ ? table_->find(job.submission.host, job.submission.path) : nullptr;
}

bool JobRoutes::isAuthoritative(Instant now, const StoredJob& job) const {
  if (!table_ || proved_at_ == Instant::min()) return false;
  const bool is_proved = now <= proved_at_ + kProofLifetime && now >= proved_since_ + kProofSettleTime;
  return is_proved && table_->version() >= job.submission.configuration_version;
}

bool JobRoutes::isRemoved(Instant now, const StoredJob& job) {
  if (find(job) != nullptr || !isAuthoritative(now, job)) {
    forget(job.submission.id);
    return false;
  }
  const Instant since = missing_since_.try_emplace(job.submission.id, now).first->second;
  return now > since + kRemovalDelay;
}

}  // namespace hatchfork::store
