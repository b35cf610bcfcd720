#pragma once

#include <string>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "process/consensus/replicated_group.hpp"

namespace hatchfork::ctl {

/// What an operator wants a replica to be in every group.
enum class ReplicaGoal { kVoter, kLearner, kAbsent };

/// One group as its leader shows it, and the replica in question as it shows itself.
struct ReplicaGroupView {
  GroupId group = 0;
  consensus::Membership membership;
  bool membership_committed = false;
  std::vector<ReplicaId> caught_up_learners;
  /// Incarnation of the data folder that the replica has now; zero while the replica does not answer.
  consensus::Incarnation own_incarnation = 0;
};

/// The goal is reached and committed.
struct GoalReached {};
/// Nothing to ask for now; the text says what is awaited.
struct WaitFor {
  std::string what;
};
/// The membership to ask the leader for, one member changed.
struct ChangeMembership {
  consensus::Membership target;
  std::string what;
};
using ReplicaStep = std::variant<GoalReached, WaitFor, ChangeMembership>;

/// The next step towards the goal in one group. Depends on the view alone, so that a command that was cut off goes on
/// where it was when it is run again. A replica under a new incarnation (an empty or replaced disk) first becomes a
/// learner and is made a voter only once it has caught up.
ReplicaStep nextReplicaStep(const ReplicaId& replica, ReplicaGoal goal, const ReplicaGroupView& view);

}  // namespace hatchfork::ctl
