#include "process/ctl/job_progress.hpp"

#include "process/ctl/text_table.hpp"

namespace hatchfork::ctl {

JobProgress progressOf(const batch::JobCounts& counts, WallMillis created_at, WallMillis now) {
  JobProgress progress;
  progress.done = std::uint64_t{counts.completed} + counts.failed + counts.cancelled + counts.outcome_unknown;
  progress.total = counts.total;
  progress.remaining = remainingTime(progress.done, progress.total, fromMillis(now - created_at));
  return progress;
}

std::string describeRemaining(const JobProgress& progress) {
  return progress.remaining ? "about " + describeDuration(*progress.remaining) : "-";
}

}  // namespace hatchfork::ctl
