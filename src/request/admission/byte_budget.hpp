#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/time.hpp"

namespace hatchfork::request {

/// Identifies the bytes buffered for one peer.
using BufferId = std::uint64_t;

struct ByteBudgetLimits {
  /// Bound on the bytes buffered for all peers together.
  std::size_t most_bytes = 0;
  /// A peer that has accepted no byte for this long counts as slow, however little is buffered.
  Duration patience = std::chrono::seconds(10);
  /// Shorter limit while more than half of the bound is in use: longer than a link with packet loss needs to resume,
  /// shorter than other peers need to fill the rest of the bound.
  Duration silence_limit_under_pressure = std::chrono::seconds(2);
  /// Limit while more than the whole bound is in use. A peer silent for less than this is not slow: its bytes may still
  /// be in transit.
  Duration min_silence_limit = fromMillis(500);
};

/// A peer to disconnect.
struct SlowPeer {
  BufferId held = 0;
  std::size_t bytes = 0;
  /// Time since the peer last accepted a byte.
  Duration silent_for{};
};

/// Bounds the bytes that a process buffers for callers and engines that read slowly: hundreds of callers that read a
/// byte per second, or engines that stop reading long requests, each need little buffer space but together more
/// than a small gateway has. Backpressure comes first (`mayGrow`, `hasRoom`): bytes not yet read from the other side
/// use no memory here. After that, peers that accept nothing are reported as slow, the largest first. No I/O, no clock.
class ByteBudget {
 public:
  explicit ByteBudget(ByteBudgetLimits limits) : limits_(limits) {}

  /// Starts buffering `bytes`; the peer is not expected to read yet.
  BufferId hold(std::size_t bytes);
  /// Starts an empty buffer that grows by `add` until `offer`.
  BufferId beginCollecting();
  void add(BufferId id, std::size_t bytes);
  /// Marks the buffer as offered: from now on the peer is expected to read.
  void offer(Instant now, BufferId id);
  /// Records that the peer accepted `bytes`.
  void noteTaken(Instant now, BufferId id, std::size_t bytes);
  void release(BufferId id);

  /// False if new work that needs large buffers should wait: from three quarters of the bound on.
  bool hasRoom() const;
  /// True if the buffer may grow: there is room, or the buffer is the oldest that is still growing and little is
  /// offered to peers. The exception keeps growing buffers from all waiting for each other.
  bool mayGrow(BufferId id) const;
  /// Returns the peers to disconnect now, the largest buffer first. Their bytes stay in the total until
  /// `release` is called for their buffers.
  std::vector<SlowPeer> slowPeers(Instant now) const;

  std::size_t bytes() const { return bytes_; }
  std::size_t peers() const { return buffers_.size(); }
  const ByteBudgetLimits& limits() const { return limits_; }

 private:
  struct Buffer {
    std::size_t bytes = 0;
    /// When the peer last accepted bytes, or the time of the offer; empty until the offer.
    std::optional<Instant> silent_since;
  };

  ByteBudgetLimits limits_;
  std::map<BufferId, Buffer> buffers_;
  /// Buffers that are still growing; the first is the oldest.
  std::set<BufferId> growing_;
  std::size_t bytes_ = 0;
  /// Part of `bytes_` that has been offered to peers.
  std::size_t offered_bytes_ = 0;
  BufferId last_id_ = 0;
};

}  // namespace hatchfork::request
