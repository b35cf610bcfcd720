#include "process/ctl/replica_plan.hpp"

#include <algorithm>

namespace hatchfork::ctl {
namespace {

using consensus::Member;
using consensus::Membership;

Member* findMember(Membership& membership, const ReplicaId& replica) {
  const auto found = std::find_if(membership.members.begin(), membership.members.end(),
                                  [&](const Member& member) { return member.id == replica; });
  return found == membership.members.end() ? nullptr : &*found;
}

ReplicaStep reached(const ReplicaGroupView& view) {
  if (view.membership_committed) return GoalReached{};
  return WaitFor{"the membership to be committed"};
}

ReplicaStep remove(const ReplicaId& replica, const ReplicaGroupView& view) {
  Membership target = view.membership;
  if (findMember(target, replica) == nullptr) return reached(view);
  std::erase_if(target.members, [&](const Member& member) { return member.id == replica; });
  return ChangeMembership{std::move(target), "removed"};
}

}  // namespace

ReplicaStep nextReplicaStep(const ReplicaId& replica, ReplicaGoal goal, const ReplicaGroupView& view) {
  if (!view.membership_committed) return WaitFor{"an earlier membership change to be committed"};
  if (goal == ReplicaGoal::kAbsent) return remove(replica, view);
  if (view.own_incarnation == 0) return WaitFor{"the replica to answer"};
  Membership target = view.membership;
  Member* member = findMember(target, replica);
  if (member == nullptr) {
    target.members.push_back(Member{replica, view.own_incarnation, false});
    return ChangeMembership{std::move(target), "added as a learner"};
  }
  if (member->incarnation != view.own_incarnation) {
    *member = Member{replica, view.own_incarnation, false};
    return ChangeMembership{std::move(target), "its new disk added as a learner"};
  }
  if (member->voter || goal == ReplicaGoal::kLearner) return reached(view);
  const auto& ready = view.caught_up_learners;
  if (std::find(ready.begin(), ready.end(), replica) == ready.end()) return WaitFor{"the learner to catch up"};
  member->voter = true;
  return ChangeMembership{std::move(target), "made a voter"};
}

}  // namespace hatchfork::ctl
