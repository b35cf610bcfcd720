#include "process/store/stored_crashes.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::store {
namespace {

/// Maximum number of requests, of some 200 bytes each.
constexpr std::size_t kMaxRequests = 1000;
/// Equals the longest time for which a request is refused.
constexpr WallMillis kRetentionMs = 6LL * 3600 * 1000;
/// Equals the time for which processes remember the crashes of a request that is not refused.
constexpr WallMillis kShortRetentionMs = 10LL * 60 * 1000;
/// Number of crashes from which on a request may be refused.
constexpr std::size_t kRefusalThreshold = 3;

}  // namespace

WallMillis StoredCrashes::lastCrashAt(const EngineCrashes& engine_crashes) {
  WallMillis last = 0;
  for (const auto& [engine, end] : engine_crashes) last = std::max(last, end.ended_at);
  return last;
}

bool StoredCrashes::mayBeRefused(const EngineCrashes& engine_crashes) {
  return engine_crashes.size() >= kRefusalThreshold;
}

WallMillis StoredCrashes::expiresAt(const EngineCrashes& engine_crashes) {
  return lastCrashAt(engine_crashes) + (mayBeRefused(engine_crashes) ? kRetentionMs : kShortRetentionMs);
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

bool StoredCrashes::remove(const std::vector<request::RequestFingerprint>& contents) {
  std::size_t removed = 0;
  for (const request::RequestFingerprint& content : contents) removed += crashes_.erase(content);
  if (removed > 0) ++version_;
  return removed > 0;
}

void StoredCrashes::evict(WallMillis newest) {
  std::erase_if(crashes_, [newest](const auto& entry) { return expiresAt(entry.second) < newest; });
  while (crashes_.size() > kMaxRequests) {
    const auto least = std::min_element(crashes_.begin(), crashes_.end(), [](const auto& left, const auto& right) {
      return std::pair(mayBeRefused(left.second), lastCrashAt(left.second)) <
             std::pair(mayBeRefused(right.second), lastCrashAt(right.second));
    });
    crashes_.erase(least);
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
