#include "request/crash/trial_leases.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Covers the start of the run, the run up to a crash of its engine, and the report of the crash.
constexpr Duration kTrialLease = std::chrono::seconds(6);
/// Tolerance for comparing the begin of a run with the grant of its lease, which two processes record.
constexpr Duration kBeginTolerance = fromMillis(20);

}  // namespace

void TrialLeases::start(Instant now) {
  leases_.clear();
  earlier_leases_until_ = now + kTrialLease;
}

Duration TrialLeases::timeUntilFree(Instant now, const RequestFingerprint& content, const std::string& holder,
                                    bool respects_earlier) const {
  const auto found = leases_.find(content);
  const bool is_held = found != leases_.end() && now < found->second.expires_at;
  if (is_held && found->second.holder == holder) return Duration::zero();
  const Instant earlier_until = respects_earlier ? earlier_leases_until_ : now;
  const Instant free_at = std::max(earlier_until, is_held ? found->second.expires_at : now);
  return std::max(Duration::zero(), free_at - now);
}

void TrialLeases::grant(Instant now, const RequestFingerprint& content, const std::string& holder) {
  std::erase_if(leases_, [now](const auto& item) { return now >= item.second.expires_at; });
  leases_[content] = Lease{holder, now, now + kTrialLease};
}

void TrialLeases::endCrashed(const RequestFingerprint& content, Instant crashed_run_began) {
  const auto found = leases_.find(content);
  if (found == leases_.end() || crashed_run_began == Instant::min()) return;
  if (crashed_run_began + kBeginTolerance >= found->second.granted_at) leases_.erase(found);
}

void TrialLeases::release(const RequestFingerprint& content, const std::string& holder) {
  const auto found = leases_.find(content);
  if (found != leases_.end() && found->second.holder == holder) leases_.erase(found);
}

}  // namespace hatchfork::request
