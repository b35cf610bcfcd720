#include "common/log_budget.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork {
namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);

}  // namespace

bool LogBudget::allow(Instant now, std::string_view event, bool important) {
  std::string key(event);
  if (important) key += '!';
  auto found = buckets_.find(key);
  if (found == buckets_.end()) found = buckets_.emplace(std::move(key), Bucket{limits_.burst, now, 0}).first;
  Bucket& bucket = found->second;
  bucket.tokens = std::min(limits_.burst, bucket.tokens + toSeconds(now - bucket.filled_at) * limits_.lines_per_second);
  bucket.filled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    ++dropped_;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

std::vector<DroppedLines> LogBudget::takeDropped(Instant now) {
  std::vector<DroppedLines> dropped;
  if (dropped_ == 0 || now < reported_at_ + kReportInterval) return dropped;
  reported_at_ = now;
  dropped_ = 0;
  for (auto& [event, bucket] : buckets_) {
    if (bucket.dropped > 0) dropped.push_back(DroppedLines{event, std::exchange(bucket.dropped, 0)});
  }
  return dropped;
}

}  // namespace hatchfork
