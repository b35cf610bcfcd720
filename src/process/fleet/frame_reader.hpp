#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "process/fleet/fleet_messages.hpp"

namespace hatchfork::fleet {

/// Reads frames of peers that may run a newer release. A kind that this release doesn't know is passed over: the peer
/// has said more than it relies on. Belongs to one thread.
class FrameReader {
 public:
  /// Nothing for a frame that is passed over; an error for bytes that are no frame of any release.
  Result<std::optional<FleetMessage>> read(std::string_view body);
  std::uint64_t passedOver() const { return passed_over_; }

 private:
  void passOver(const std::string& kind);

  std::uint64_t passed_over_ = 0;
  /// Kinds that have been logged; one line for each of the first few.
  std::set<std::string> logged_kinds_;
};

}  // namespace hatchfork::fleet
