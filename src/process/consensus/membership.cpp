#include "process/consensus/membership.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::consensus {
namespace {

Error rejected(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

std::size_t voterCount(const Membership& membership) {
  return static_cast<std::size_t>(std::count_if(membership.members.begin(), membership.members.end(),
                                                [](const Member& member) { return member.voter; }));
}

bool hasRepeatedName(const Membership& membership) {
  for (std::size_t i = 0; i < membership.members.size(); ++i) {
    for (std::size_t j = i + 1; j < membership.members.size(); ++j) {
      if (membership.members[i].id == membership.members[j].id) return true;
    }
  }
  return false;
}

/// Checks one member of the target that differs from the current entry of its name (null for a new name).
Status checkChangedMember(const Member* current, const Member& target, const std::vector<Identity>& caught_up) {
  if (target.incarnation == 0) {
    return rejected("replica " + target.id.value + " has not announced itself",
                    "start the replica with an empty data folder and the addresses of the others, then retry");
  }
  if (!target.voter) return okStatus();
  const bool was_learner = current != nullptr && current->incarnation == target.incarnation && !current->voter;
  if (!was_learner) {
    return rejected("replica " + target.id.value + " would become a voter without having been a learner",
                    "add it as a learner first");
  }
  const Identity identity{target.id, target.incarnation};
  if (std::find(caught_up.begin(), caught_up.end(), identity) == caught_up.end()) {
    return rejected("learner " + target.id.value + " has not caught up", "wait until it holds all entries, then retry");
  }
  return okStatus();
}

}  // namespace

const Member* findMember(const Membership& membership, const ReplicaId& id) {
  for (const Member& member : membership.members) {
    if (member.id == id) return &member;
  }
  return nullptr;
}

const Member* findMember(const Membership& membership, const Identity& identity) {
  const Member* member = findMember(membership, identity.id);
  return member != nullptr && member->incarnation == identity.incarnation ? member : nullptr;
}

bool isVoter(const Membership& membership, const Identity& identity) {
  const Member* member = findMember(membership, identity);
  return member != nullptr && member->voter;
}

std::size_t quorumSize(const Membership& membership) {
  return voterCount(membership) / 2 + 1;
}

Status checkMembershipChange(const Membership& current, const Membership& target,
                             const std::vector<Identity>& caught_up) {
  if (hasRepeatedName(target)) return rejected("a replica is named twice", "name each replica once");
  if (voterCount(target) == 0) return rejected("no voter would be left", "keep at least one voter");
  std::size_t differences = 0;
  for (const Member& member : target.members) {
    const Member* before = findMember(current, member.id);
    if (before != nullptr && *before == member) continue;
    ++differences;
    const Status status = checkChangedMember(before, member, caught_up);
    if (!isOk(status)) return status;
  }
  for (const Member& member : current.members) {
    if (findMember(target, member.id) == nullptr) ++differences;
  }
  if (differences == 0) return rejected("the membership would stay as it is", "name one change");
  if (differences > 1) return rejected("more than one member would change", "change one member at a time");
  return okStatus();
}

void MembershipHistory::reset(LogIndex index, Membership base) {
  steps_.clear();
  steps_.push_back(Step{index, std::move(base)});
}

void MembershipHistory::append(LogIndex index, Membership membership) {
  truncateFrom(index);
  steps_.push_back(Step{index, std::move(membership)});
}

void MembershipHistory::truncateFrom(LogIndex index) {
  while (steps_.size() > 1 && steps_.back().index >= index) steps_.pop_back();
}

void MembershipHistory::compactTo(LogIndex index) {
  while (steps_.size() > 1 && steps_[1].index <= index) steps_.erase(steps_.begin());
}

const Membership& MembershipHistory::at(LogIndex index) const {
  for (auto step = steps_.rbegin(); step != steps_.rend(); ++step) {
    if (step->index <= index) return step->membership;
  }
  return steps_.front().membership;
}

}  // namespace hatchfork::consensus
