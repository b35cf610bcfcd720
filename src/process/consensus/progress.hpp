#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "common/time.hpp"
#include "process/consensus/state_machine.hpp"

namespace hatchfork::consensus {

enum class ReplicationState {
  /// The matching point of the peer's log is unknown: one request at a time.
  kProbe,
  /// The log matches: requests are sent ahead of the replies.
  kReplicate,
  /// The entries the peer needs are gone: a snapshot is being sent.
  kSnapshot,
};

/// An append request that has not been acknowledged yet.
struct SentBatch {
  LogIndex last_index = 0;
  std::uint64_t bytes = 0;
  Instant sent_at{};
};

/// A leader's view of one peer's replication.
struct Progress {
  ReplicationState state = ReplicationState::kProbe;
  /// Index up to which every entry is synced at the peer and equal to the leader's.
  LogIndex match = 0;
  /// Next entry to send.
  LogIndex next = 1;
  /// Probe only: a request is in flight.
  bool probe_sent = false;
  std::deque<SentBatch> in_flight;
  std::uint64_t in_flight_bytes = 0;
  /// Last time that `match` grew or sending restarted.
  Instant progressed_at{};
  std::uint64_t acknowledged_round = 0;
  /// When the peer became a member, or this replica became leader.
  Instant added_at{};
  /// When the newest acknowledged heartbeat round was sent.
  Instant confirmed_at = Instant::min();
  /// When the newest acknowledged append request was sent. Keeps a leader in office; proves no read, since an
  /// acknowledgement of an earlier copy of the entries counts too.
  Instant appended_at = Instant::min();
  LogIndex snapshot_index = 0;
  std::uint64_t snapshot_offset = 0;
  /// True if a chunk is in flight; sent at `chunk_sent_at`.
  bool chunk_sent = false;
  Instant chunk_sent_at{};

  void startProbe(Instant now) {
    state = ReplicationState::kProbe;
    next = match + 1;
    probe_sent = false;
    in_flight.clear();
    in_flight_bytes = 0;
    progressed_at = now;
  }

  void acknowledge(LogIndex index, Instant now) {
    if (index > match) progressed_at = now;
    match = index > match ? index : match;
    next = next > match ? next : match + 1;
    while (!in_flight.empty() && in_flight.front().last_index <= match) {
      appended_at = std::max(appended_at, in_flight.front().sent_at);
      in_flight_bytes -= in_flight.front().bytes;
      in_flight.pop_front();
    }
  }
};

}  // namespace hatchfork::consensus
