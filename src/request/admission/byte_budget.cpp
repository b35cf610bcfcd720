#include "request/admission/byte_budget.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Shares of the bound above which silent peers get less time, and above which new work waits.
constexpr double kPressureShare = 0.5;
constexpr double kFullShare = 0.75;
/// If more than this share is offered to peers, room comes from them: they read the bytes or are disconnected.
constexpr double kOfferedShare = 0.25;

std::size_t partOf(std::size_t bytes, double share) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

}  // namespace

BufferId ByteBudget::hold(std::size_t bytes) {
  const BufferId id = ++last_id_;
  buffers_.emplace(id, Buffer{bytes, std::nullopt});
  bytes_ += bytes;
  return id;
}

BufferId ByteBudget::beginCollecting() {
  const BufferId id = hold(0);
  growing_.insert(id);
  return id;
}

void ByteBudget::add(BufferId id, std::size_t bytes) {
  const auto found = buffers_.find(id);
  if (found == buffers_.end()) return;
  found->second.bytes += bytes;
  bytes_ += bytes;
  if (found->second.silent_since) offered_bytes_ += bytes;
}

void ByteBudget::offer(Instant now, BufferId id) {
  const auto found = buffers_.find(id);
  if (found == buffers_.end()) return;
  if (!found->second.silent_since) offered_bytes_ += found->second.bytes;
  found->second.silent_since = now;
  growing_.erase(id);
}

void ByteBudget::noteTaken(Instant now, BufferId id, std::size_t bytes) {
  const auto found = buffers_.find(id);
  if (found == buffers_.end() || bytes == 0 || !found->second.silent_since) return;
  const std::size_t taken = std::min(bytes, found->second.bytes);
  found->second.bytes -= taken;
  found->second.silent_since = now;
  bytes_ -= taken;
  offered_bytes_ -= taken;
}

void ByteBudget::release(BufferId id) {
  const auto found = buffers_.find(id);
  if (found == buffers_.end()) return;
  bytes_ -= found->second.bytes;
  if (found->second.silent_since) offered_bytes_ -= found->second.bytes;
  growing_.erase(id);
  buffers_.erase(found);
}

bool ByteBudget::hasRoom() const {
  return bytes_ < partOf(limits_.most_bytes, kFullShare);
}

bool ByteBudget::mayGrow(BufferId id) const {
  if (hasRoom()) return true;
  const bool is_oldest = !growing_.empty() && *growing_.begin() == id;
  return is_oldest && offered_bytes_ < partOf(limits_.most_bytes, kOfferedShare);
}

std::vector<SlowPeer> ByteBudget::slowPeers(Instant now) const {
  std::vector<SlowPeer> waiting;
  for (const auto& [id, entry] : buffers_) {
    if (entry.silent_since && entry.bytes > 0) waiting.push_back({id, entry.bytes, now - *entry.silent_since});
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const SlowPeer& left, const SlowPeer& right) { return left.bytes > right.bytes; });
  std::vector<SlowPeer> slow;
  std::size_t buffered = bytes_;
  for (const SlowPeer& peer : waiting) {
    Duration patience = limits_.patience;
    if (buffered > partOf(limits_.most_bytes, kPressureShare)) patience = limits_.silence_limit_under_pressure;
    if (buffered > limits_.most_bytes) patience = limits_.min_silence_limit;
    if (peer.silent_for < patience) continue;
    slow.push_back(peer);
    buffered -= peer.bytes;
  }
  return slow;
}

}  // namespace hatchfork::request
