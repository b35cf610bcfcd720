#include "process/store/stored_crashes.hpp"

#include <algorithm>

namespace hatchfork::store {
namespace {

/// Requests that are kept, of some 200 bytes each.
constexpr std::size_t kMostRequests = 1000;
/// As long as a request is refused at the most.
constexpr WallMillis kKeptForMs = 6LL * 3600 * 1000;

}  // namespace

WallMillis StoredCrashes::lastOf(const Ends& ends) {
  WallMillis last = 0;
  for (const auto& [engine, end] : ends) last = std::max(last, end.ended_at);
  return last;
}

bool StoredCrashes::add(const std::vector<StoredCrash>& crashes) {
  bool is_new = false;
  WallMillis newest = 0;
  for (const StoredCrash& crash : crashes) {
    is_new = crashes_[crash.content].emplace(crash.engine, End{crash.ended_at, crash.ran_ms}).second || is_new;
    newest = std::max(newest, crash.ended_at);
  }
  if (!is_new) return false;
  makeRoom(newest);
  ++version_;
  return true;
}

void StoredCrashes::makeRoom(WallMillis newest) {
  std::erase_if(crashes_, [newest](const auto& entry) { return lastOf(entry.second) + kKeptForMs < newest; });
  while (crashes_.size() > kMostRequests) {
    const auto oldest = std::min_element(crashes_.begin(), crashes_.end(), [](const auto& left, const auto& right) {
      return lastOf(left.second) < lastOf(right.second);
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
  for (const auto& [content, ends] : crashes_) {
    for (const auto& [engine, end] : ends) all.push_back({content, engine, end.ended_at, end.ran_ms});
  }
  return all;
}

}  // namespace hatchfork::store
