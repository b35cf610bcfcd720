#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/time.hpp"

namespace hatchfork::request {

/// Names bytes that are held for one peer.
using BufferId = std::uint64_t;

struct ByteBudgetLimits {
  /// Bytes held for all peers together.
  std::size_t most_bytes = 0;
  /// A peer that takes nothing of what waits for it is let go after this long, whatever else is held.
  Duration patience = std::chrono::seconds(10);
  /// And after this long while more than half of the bound is held: longer than a link that loses packets needs to go
  /// on, shorter than it takes others to fill the rest.
  Duration silence_limit_under_pressure = std::chrono::seconds(2);
  /// At the bound itself, who waits less than this is no slow reader: its bytes are on their way.
  Duration min_silence_limit = fromMillis(500);
};

/// A peer that is to be let go.
struct SlowPeer {
  BufferId held = 0;
  std::size_t bytes = 0;
  /// Since it last took a byte.
  Duration silent_for{};
};

/// Bounds what a process holds for callers and engines that read slowly. Load: hundreds of callers that read a byte a
/// second, or engines that stop reading long requests; each holds little, all together more than a small gateway has.
/// Back-pressure comes first (`mayGrow`, `hasRoom`): what is not read yet from the other side costs nothing here. Then
/// peers that take nothing are let go, the greediest first. No I/O, no clock.
class ByteBudget {
 public:
  explicit ByteBudget(ByteBudgetLimits limits) : limits_(limits) {}

  /// Bytes that are kept: nobody is waited for yet.
  BufferId hold(std::size_t bytes);
  /// Bytes that are about to be collected, and then offered.
  BufferId beginCollecting();
  void add(BufferId held, std::size_t bytes);
  /// From now on the peer is waited for: it has been offered all that is held.
  void offer(Instant now, BufferId held);
  /// The peer took some of them.
  void noteTaken(Instant now, BufferId held, std::size_t bytes);
  void release(BufferId held);

  /// False while new work that holds much should wait: from three quarters of the bound on.
  bool hasRoom() const;
  /// True if more may be collected for it: there is room, or it is the oldest of those that collect while peers are
  /// offered little, so that those who collect never all wait for each other.
  bool mayGrow(BufferId held) const;
  /// Who is to be let go now, the greediest first. Their bytes count until they are released.
  std::vector<SlowPeer> slowPeers(Instant now) const;

  std::size_t bytes() const { return bytes_; }
  std::size_t peers() const { return held_.size(); }
  const ByteBudgetLimits& limits() const { return limits_; }

 private:
  struct Held {
    std::size_t bytes = 0;
    /// When the peer last took something, counted from the offer; nothing while it is not waited for.
    std::optional<Instant> waits_since;
  };

  ByteBudgetLimits limits_;
  std::map<BufferId, Held> held_;
  /// Those that collect; the first one is the oldest.
  std::set<BufferId> collecting_;
  std::size_t bytes_ = 0;
  /// Of these, what waits for peers.
  std::size_t offered_bytes_ = 0;
  BufferId last_id_ = 0;
};

}  // namespace hatchfork::request
