#include "process/store/stored_crashes.hpp"

#include <algorithm>

namespace hatchfork::store {
namespace {

/// Maximum number of requests, of some 200 bytes each.
constexpr std::size_t kMaxRequests = 1000;
/// Equals the longest time for which a request is refused.
constexpr WallMillis kRetentionMs = 6LL * 3600 * 1000;

}  // namespace

WallMillis StoredCrashes::lastCrashAt(const EngineCrashes& engine_crashes) {
  WallMillis last = 0;
  for (const auto& [engine, end] : engine_crashes) last = std::max(last, end.ended_at);
  return last;
}

bool StoredCrashes::add(const std::vector<StoredCrash>& crashes) {
  bool is_new = false;
  WallMillis newest = 0;
  for (const StoredCrash& crash : crashes) {
    is_new = crashes_[crash.content].emplace(crash.engine, EngineCrash{crash.ended_at, crash.ran_ms}).second || is_new;
    newest = std::max(newest, crash.ended_at);
  }
  if (!is_new) return false;
  evict(newest);
  ++version_;
  return true;
}

void StoredCrashes::evict(WallMillis newest) {
  std::erase_if(crashes_, [newest](const auto& entry) { return lastCrashAt(entry.second) + kRetentionMs < newest; });
  while (crashes_.size() > kMaxRequests) {
    const auto oldest = std::min_element(crashes_.begin(), crashes_.end(), [](const auto& left, const auto& right) {
      return lastCrashAt(left.second) < lastCrashAt(right.second);
    });
    crashes_.erase(oldest);
  }
}

bool StoredCrashes::contains(const request::RequestFingerprint& content, const EngineId& engine) const {
  const auto found = crashes_.find(content);
  return found != crashes_.end() && found->second.contains(engine);
}

std::vector<StoredCrash> StoredCrashes::all() const {
  std::vector<StoredCrash> all;
  for (const auto& [content, engine_crashes] : crashes_) {
    for (const auto& [engine, end] : engine_crashes) all.push_back({content, engine, end.ended_at, end.ran_ms});
  }
  return all;
}

}  // namespace hatchfork::store
