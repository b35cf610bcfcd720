#pragma once

#include <cstdint>

namespace hatchfork::fleet {

/// Connections between two processes. A frame waits for those before it in its lane, at the sender and at the receiver.
enum class Lane : std::uint8_t {
  kBulk,
  /// For small frames that decide who leads.
  kUrgent,
};

}  // namespace hatchfork::fleet
