#pragma once

#include "common/time.hpp"

namespace hatchfork::request {

/// Measures how many units come a second, lately: what came `memory` ago counts by 1/e. No clock. Belongs to one
/// thread.
class RateMeter {
 public:
  explicit RateMeter(Duration memory) : memory_(memory) {}

  void note(Instant now, double units);
  /// Units a second.
  double rate(Instant now) const;

 private:
  double recent(Instant now) const;

  Duration memory_;
  double recent_units_ = 0;
  Instant noted_at_{};
};

}  // namespace hatchfork::request
