#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/result.hpp"

namespace hatchfork::consensus {

/// Position in a group's log, from one.
using LogIndex = std::uint64_t;
/// Number of a leadership term; increases with each election.
using Term = std::uint64_t;

/// Deterministic state that a replicated group applies its log to. Two replicas that applied the same entries hold
/// equal state: no clock, no random numbers, no iteration over unordered containers may influence `apply`. Threading:
/// control thread only.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  /// Applies one committed command and returns the encoded reply for its proposer. A command that cannot be decoded
  /// must leave the state unchanged and reply with an encoded error; it must never throw.
  virtual std::string apply(LogIndex index, std::string_view command) = 0;
  /// The whole state as bytes, including the tables that recognise resent commands.
  virtual std::string snapshot() const = 0;
  /// Replaces the whole state by that of a snapshot.
  virtual Status restore(std::string_view bytes) = 0;

  /// Begins a snapshot in pieces, which together contain the state at this call, whatever is applied between the
  /// pieces. Implementations with a large state override these functions; by default the result of `snapshot` is
  /// returned piece by piece. Beginning another snapshot, or a restore, ends the snapshot in progress.
  virtual void beginSnapshot();
  /// Returns the next piece; absent after the last one, and if no snapshot is in progress.
  virtual std::optional<std::string> nextSnapshotPiece();
  virtual void abandonSnapshot();
  /// Number of bytes held only for the snapshot in progress.
  virtual std::size_t snapshotBytesHeld() const { return snapshot_bytes_.size() - returned_bytes_; }

  /// Restores a snapshot from pieces, whose boundaries need not match those of `nextSnapshotPiece`. The state is
  /// unusable from `beginRestore` until `endRestore` has succeeded.
  virtual void beginRestore();
  virtual Status restorePiece(std::string piece);
  virtual Status endRestore();

 private:
  /// Bytes of the snapshot in progress, or of the one being restored.
  std::string snapshot_bytes_;
  std::size_t returned_bytes_ = 0;
};

}  // namespace hatchfork::consensus
