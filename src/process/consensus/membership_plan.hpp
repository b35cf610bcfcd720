#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "process/consensus/replicated_group.hpp"

/// Decides, at the leader of a group, the next membership change that brings the group towards its target size without
/// an operator. Free of I/O and of clocks.
namespace hatchfork::consensus {

/// State of the group as seen by the leader, from which the change is planned.
struct MembershipPlanInput {
  Membership current;
  ReplicaId self;
  std::vector<PeerHealth> peers;
  std::vector<Candidate> candidates;
  /// Members that an operator is draining; each is replaced before it is removed.
  std::set<ReplicaId> retiring;
  /// No replica of an older release is added: it could not apply all commands of the group.
  ReleaseNumber least_release = kUnknownRelease;
  /// Target number of voters; odd.
  std::size_t target_voters = 3;
  /// Learners kept beside the voters, to replace a lost voter.
  std::size_t spare_learners = 2;
};

/// Timing of the plan.
struct MembershipPlanLimits {
  /// A voter that is silent for this long is replaced if there is a caught-up learner.
  Duration voter_lost_after = fromMillis(1800);
  /// A learner that is silent for this long is removed.
  Duration learner_lost_after = fromMillis(6000);
};

/// The membership to change to, which differs from the current one in a single member; absent if no change
/// is needed. Invariants: a voter is removed only while there are more voters than the target, except that a member
/// whose folder was emptied becomes a learner of its new incarnation at once, since its former incarnation can never
/// vote again; and a change leaves a quorum of voters that answer.
std::optional<Membership> planMembershipChange(const MembershipPlanInput& input,
                                               const MembershipPlanLimits& limits = {});

/// Returns the largest odd number of voters that is at most `most` and `members`, but at least three.
std::size_t wantedVoters(std::size_t members, std::size_t most);

}  // namespace hatchfork::consensus
