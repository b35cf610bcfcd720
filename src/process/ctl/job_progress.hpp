#pragma once

#include <optional>
#include <string>

#include "common/time.hpp"
#include "process/batch/batch_types.hpp"

namespace hatchfork::ctl {

/// How far a job has come.
struct JobProgress {
  std::uint64_t done = 0;
  std::uint64_t total = 0;
  /// At the mean pace since the job was opened; nothing where no pace is known yet.
  std::optional<Duration> remaining;
};

JobProgress progressOf(const batch::JobCounts& counts, WallMillis created_at, WallMillis now);
/// The remaining time for people; "-" where it is not known.
std::string describeRemaining(const JobProgress& progress);

}  // namespace hatchfork::ctl
