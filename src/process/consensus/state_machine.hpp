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
/// Number of a leadership; rises with each election.
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

  /// A snapshot in pieces, which joined stand for the state at `beginSnapshot`, whatever is applied between the pieces.
  /// A state that can be large overrides these functions; here it is one text, which is handed out piece by piece. A
  /// snapshot that is begun anew, or restored meanwhile, ends the one that is under way.
  virtual void beginSnapshot();
  /// The next piece; absent once all were handed out, and where none is under way.
  virtual std::optional<std::string> nextSnapshotPiece();
  virtual void abandonSnapshot();
  /// Bytes that are held only for the snapshot under way.
  virtual std::size_t snapshotBytesHeld() const { return whole_.size() - handed_out_; }

  /// Takes up a snapshot in pieces, cut as they were handed out or in any other way. Nothing of the state is of use
  /// from `beginRestore` until `endRestore` has succeeded.
  virtual void beginRestore();
  virtual Status restorePiece(std::string piece);
  virtual Status endRestore();

 private:
  /// The snapshot under way, or the one that is being taken up.
  std::string whole_;
  std::size_t handed_out_ = 0;
};

}  // namespace hatchfork::consensus
