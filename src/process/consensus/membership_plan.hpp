#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "process/consensus/replicated_group.hpp"

/// Decides, at the leader of a group, the next membership change that brings the group towards its wanted size without
/// an operator. Free of I/O and of clocks.
namespace hatchfork::consensus {

/// What the leader knows when it plans.
struct MembershipPlanInput {
  Membership current;
  ReplicaId self;
  std::vector<PeerHealth> peers;
  std::vector<Candidate> candidates;
  /// Members that an operator wants emptied; they are replaced before they go.
  std::set<ReplicaId> retiring;
  /// How many voters are wanted; odd.
  std::size_t target_voters = 3;
  /// Learners kept beside the voters, to take the place of a lost one.
  std::size_t spare_learners = 2;
};

/// Timing of the plan.
struct MembershipPlanLimits {
  /// A voter that is silent for this long is replaced where a caught-up learner waits.
  Duration voter_lost_after = fromMillis(1800);
  /// A learner that is silent for this long is removed.
  Duration learner_lost_after = fromMillis(6000);
};

/// The membership to change to, which differs from the current one in a single member; absent while nothing is to be
/// done. Invariants: a voter is removed only while more voters than wanted stand, except that a member whose folder was
/// emptied becomes a learner of its new incarnation at once, since the former self can never vote again; and a change
/// leaves a quorum of voters that answer.
std::optional<Membership> planMembershipChange(const MembershipPlanInput& input,
                                               const MembershipPlanLimits& limits = {});

/// The largest odd number of voters up to `most` that `members` replicas can give, and at least three.
std::size_t wantedVoters(std::size_t members, std::size_t most);

}  // namespace hatchfork::consensus
