#include "request/admission/preemption_choice.hpp"

namespace hatchfork::request {
namespace {

bool hasSlack(Instant now, const PreemptionCandidate& candidate, Duration whole_time, const PreemptionLimits& limits) {
  const double left = toSeconds(slackOf(now, candidate.order) - limits.min_restart_delay);
  return left >= limits.min_slack_runs * toSeconds(whole_time);
}

}  // namespace

std::optional<std::size_t> choosePreemption(Instant now, const std::vector<PreemptionCandidate>& candidates,
                                            Duration needed_within, Duration whole_time,
                                            const PreemptionLimits& limits) {
  std::optional<std::size_t> best;
  bool best_has_slack = false;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PreemptionCandidate& candidate = candidates[i];
    if (candidate.order.time_left <= needed_within) continue;
    const bool has_slack = hasSlack(now, candidate, whole_time, limits);
    if (!best) {
      best = i;
      best_has_slack = has_slack;
      continue;
    }
    const PreemptionCandidate& other = candidates[*best];
    bool is_better = false;
    if (has_slack != best_has_slack) {
      is_better = has_slack;
    } else if (candidate.can_resume != other.can_resume) {
      // A run without an event to resume after would start from the beginning.
      is_better = candidate.can_resume;
    } else if (has_slack && candidate.events != other.events) {
      is_better = candidate.events < other.events;
    } else {
      is_better = precedes(now, other.order, candidate.order);
    }
    if (!is_better) continue;
    best = i;
    best_has_slack = has_slack;
  }
  return best;
}

}  // namespace hatchfork::request
