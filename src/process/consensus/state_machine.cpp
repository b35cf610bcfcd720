#include "process/consensus/state_machine.hpp"

#include <algorithm>

#include "common/text_memory.hpp"

namespace hatchfork::consensus {
namespace {

constexpr std::size_t kPieceBytes = 256 * 1024;

}  // namespace

void StateMachine::beginSnapshot() {
  snapshot_bytes_ = snapshot();
  returned_bytes_ = 0;
}

std::optional<std::string> StateMachine::nextSnapshotPiece() {
  if (returned_bytes_ == snapshot_bytes_.size()) {
    abandonSnapshot();
    return std::nullopt;
  }
  std::string piece = snapshot_bytes_.substr(returned_bytes_, kPieceBytes);
  returned_bytes_ += piece.size();
  return piece;
}

void StateMachine::abandonSnapshot() {
  releaseMemory(snapshot_bytes_);
  returned_bytes_ = 0;
}

void StateMachine::beginRestore() {
  abandonSnapshot();
}

Status StateMachine::restorePiece(std::string piece) {
  snapshot_bytes_ += piece;
  return okStatus();
}

Status StateMachine::endRestore() {
  const Status restored = restore(snapshot_bytes_);
  abandonSnapshot();
  return restored;
}

}  // namespace hatchfork::consensus
