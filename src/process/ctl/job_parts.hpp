#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hatchfork::ctl {

/// Limits of one numbered part.
struct PartLimits {
  std::size_t items = 1000;
  std::size_t bytes = 512u << 10;
};

/// One numbered part of a job: JSON Lines.
struct JobPart {
  std::string lines;
  std::size_t items = 0;
};

/// Cuts JSON Lines into parts; a part holds at least one line. Empty lines are passed over. The same text always gives
/// the same parts, so that a job can be submitted again after a lost answer.
std::vector<JobPart> splitIntoParts(std::string_view text, const PartLimits& limits);

}  // namespace hatchfork::ctl
