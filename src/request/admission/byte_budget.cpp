#include "request/admission/byte_budget.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Shares of the bound from which on peers that take nothing get less time, and from which on others wait.
constexpr double kPressureShare = 0.5;
constexpr double kFullShare = 0.75;
/// With more offered to peers than this, room comes from them: they take it, or are let go.
constexpr double kOfferedShare = 0.25;

std::size_t shareOf(std::size_t bytes, double share) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

}  // namespace

BufferId ByteBudget::hold(std::size_t bytes) {
  const BufferId held = ++last_id_;
  held_.emplace(held, Held{bytes, std::nullopt});
  bytes_ += bytes;
  return held;
}

BufferId ByteBudget::beginCollecting() {
  const BufferId held = hold(0);
  collecting_.insert(held);
  return held;
}

void ByteBudget::add(BufferId held, std::size_t bytes) {
  const auto found = held_.find(held);
  if (found == held_.end()) return;
  found->second.bytes += bytes;
  bytes_ += bytes;
  if (found->second.waits_since) offered_bytes_ += bytes;
}

void ByteBudget::offer(Instant now, BufferId held) {
  const auto found = held_.find(held);
  if (found == held_.end()) return;
  if (!found->second.waits_since) offered_bytes_ += found->second.bytes;
  found->second.waits_since = now;
  collecting_.erase(held);
}

void ByteBudget::noteTaken(Instant now, BufferId held, std::size_t bytes) {
  const auto found = held_.find(held);
  if (found == held_.end() || bytes == 0 || !found->second.waits_since) return;
  const std::size_t taken = std::min(bytes, found->second.bytes);
  found->second.bytes -= taken;
  found->second.waits_since = now;
  bytes_ -= taken;
  offered_bytes_ -= taken;
}

void ByteBudget::release(BufferId held) {
  const auto found = held_.find(held);
  if (found == held_.end()) return;
  bytes_ -= found->second.bytes;
  if (found->second.waits_since) offered_bytes_ -= found->second.bytes;
  collecting_.erase(held);
  held_.erase(found);
}

bool ByteBudget::hasRoom() const {
  return bytes_ < shareOf(limits_.most_bytes, kFullShare);
}

bool ByteBudget::mayGrow(BufferId held) const {
  if (hasRoom()) return true;
  const bool is_oldest = !collecting_.empty() && *collecting_.begin() == held;
  return is_oldest && offered_bytes_ < shareOf(limits_.most_bytes, kOfferedShare);
}

std::vector<SlowPeer> ByteBudget::slowPeers(Instant now) const {
  std::vector<SlowPeer> waiting;
  for (const auto& [held, entry] : held_) {
    if (entry.waits_since && entry.bytes > 0) waiting.push_back({held, entry.bytes, now - *entry.waits_since});
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const SlowPeer& left, const SlowPeer& right) { return left.bytes > right.bytes; });
  std::vector<SlowPeer> slow;
  std::size_t left = bytes_;
  for (const SlowPeer& peer : waiting) {
    Duration patience = limits_.patience;
    if (left > shareOf(limits_.most_bytes, kPressureShare)) patience = limits_.silence_limit_under_pressure;
    if (left > limits_.most_bytes) patience = limits_.min_silence_limit;
    if (peer.silent_for < patience) continue;
    slow.push_back(peer);
    left -= peer.bytes;
  }
  return slow;
}

}  // namespace hatchfork::request
