#include "process/consensus/state_machine.hpp"

#include <algorithm>

#include "common/text_memory.hpp"

namespace hatchfork::consensus {
namespace {

constexpr std::size_t kPieceBytes = 256 * 1024;

}  // namespace

void StateMachine::beginSnapshot() {
  whole_ = snapshot();
  handed_out_ = 0;
}

std::optional<std::string> StateMachine::nextSnapshotPiece() {
  if (handed_out_ == whole_.size()) {
    abandonSnapshot();
    return std::nullopt;
  }
  std::string piece = whole_.substr(handed_out_, kPieceBytes);
  handed_out_ += piece.size();
  return piece;
}

void StateMachine::abandonSnapshot() {
  releaseMemory(whole_);
  handed_out_ = 0;
}

void StateMachine::beginRestore() {
  abandonSnapshot();
}

Status StateMachine::restorePiece(std::string piece) {
  whole_ += piece;
  return okStatus();
}

Status StateMachine::endRestore() {
  const Status restored = restore(whole_);
  abandonSnapshot();
  return restored;
}

}  // namespace hatchfork::consensus
