#pragma once

#include <optional>

#include "common/time.hpp"

namespace hatchfork::connection {

/// Tells in the log that the machine was suspended: the boot clock went on, the steady clock did not. Call `look` many
/// times a second. Belongs to one thread.
class SuspensionWatch {
 public:
  void look();

 private:
  /// By how much the boot clock is ahead of the steady clock; nothing before the first look.
  std::optional<Duration> ahead_;
};

}  // namespace hatchfork::connection
