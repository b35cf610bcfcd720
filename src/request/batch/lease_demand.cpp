#include "request/batch/lease_demand.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Number of items to keep ready in addition to the free room.
constexpr std::uint32_t kLeaseAhead = 16;
constexpr std::uint32_t kMaxItemsPerRequest = 512;
/// Longer than most bursts of online work, so that items preempted by a burst stay at this gateway and keep their
/// tokens.
constexpr Duration kMaxWait = fromMillis(5000);

bool mayPlace(const ServiceBatchLoad& load) {
  return load.room > 0 || load.running > 0;
}

}  // namespace

std::uint32_t itemsToLease(const ServiceBatchLoad& load) {
  if (!mayPlace(load)) return 0;
  const std::uint32_t wanted = load.room + std::max(kLeaseAhead, load.running / 2);
  return wanted > load.ready ? std::min(wanted - load.ready, kMaxItemsPerRequest) : 0;
}

bool StrandedItemDetector::update(Instant now, const ServiceBatchLoad& load) {
  if (load.ready == 0 || mayPlace(load)) {
    since_.reset();
    return false;
  }
  if (!since_) since_ = now;
  if (now - *since_ < kMaxWait) return false;
  since_.reset();
  return true;
}

}  // namespace hatchfork::request
