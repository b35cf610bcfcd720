#include "process/consensus/membership_plan.hpp"

#include <algorithm>

#include "process/consensus/membership.hpp"

namespace hatchfork::consensus {
namespace {

/// A voter counts as answering while it is silent for less than this.
constexpr Duration kAnswersWithin = fromMillis(1000);
/// Minimum silence of a member before it is replaced by another incarnation that was announced: an announcement of a
/// former incarnation may arrive while the current one answers.
constexpr Duration kFormerSelfSilentFor = fromMillis(300);

/// The planning of one change; holds the input for its steps.
class Planner {
 public:
  Planner(const MembershipPlanInput& input, const MembershipPlanLimits& limits) : input_(input), limits_(limits) {}

  std::optional<Membership> plan() const {
    if (auto change = replaceEmptied()) return change;
    if (auto change = removeSurplusVoter()) return change;
    if (auto change = promoteLearner()) return change;
    if (auto change = removeLearner()) return change;
    return addLearner();
  }

 private:
  const PeerHealth* health(const ReplicaId& id) const {
    const auto found =
        std::find_if(input_.peers.begin(), input_.peers.end(), [&](const PeerHealth& peer) { return peer.id == id; });
    return found == input_.peers.end() ? nullptr : &*found;
  }
  Duration silence(const ReplicaId& id) const {
    const PeerHealth* peer = health(id);
    return peer == nullptr ? Duration::zero() : peer->silent_for;
  }
  bool answers(const ReplicaId& id) const { return id == input_.self || silence(id) < kAnswersWithin; }
  bool isLostVoter(const ReplicaId& id) const { return id != input_.self && silence(id) >= limits_.voter_lost_after; }
  bool isRetiring(const ReplicaId& id) const { return input_.retiring.contains(id); }

  bool isTooOld(const Candidate& candidate) const { return candidate.release < input_.least_release; }

  std::size_t voters() const {
    return static_cast<std::size_t>(std::count_if(input_.current.members.begin(), input_.current.members.end(),
                                                  [](const Member& member) { return member.voter; }));
  }

  /// False if the voters of `target` that answer are no quorum of it.
  bool keepsQuorum(const Membership& target) const {
    std::size_t answering = 0;
    for (const Member& member : target.members) {
      if (member.voter && answers(member.id)) ++answering;
    }
    return answering >= quorumSize(target);
  }

  Membership without(const ReplicaId& id) const {
    Membership target = input_.current;
    std::erase_if(target.members, [&](const Member& member) { return member.id == id; });
    return target;
  }

  std::optional<Membership> replaceEmptied() const {
    for (const Candidate& candidate : input_.candidates) {
      const Member* member = findMember(input_.current, candidate.id);
      if (member == nullptr || member->incarnation == candidate.incarnation || isTooOld(candidate)) continue;
      // An announcement of the former incarnation may still be in flight while the new incarnation answers.
      if (silence(candidate.id) < kFormerSelfSilentFor) continue;
      Membership target = without(candidate.id);
      target.members.push_back(Member{candidate.id, candidate.incarnation, false});
      if (keepsQuorum(target)) return target;
    }
    return std::nullopt;
  }

  /// Returns the voter to remove first: a lost voter, then a retiring voter, then any voter except the leader.
  const Member* surplusVoter() const {
    const Member* choice = nullptr;
    int best_rank = -1;
    for (const Member& member : input_.current.members) {
      if (!member.voter) continue;
      int rank = member.id == input_.self ? 0 : 1;
      if (isRetiring(member.id)) rank = 2;
      if (isLostVoter(member.id)) rank = 3;
      if (rank > best_rank) {
        best_rank = rank;
        choice = &member;
      }
    }
    return choice;
  }

  std::optional<Membership> removeSurplusVoter() const {
    if (voters() <= input_.target_voters) return std::nullopt;
    const Member* surplus = surplusVoter();
    if (surplus == nullptr) return std::nullopt;
    Membership target = without(surplus->id);
    const bool stays_as_learner = !isLostVoter(surplus->id) && !isRetiring(surplus->id);
    if (stays_as_learner) target.members.push_back(Member{surplus->id, surplus->incarnation, false});
    if (!keepsQuorum(target)) return std::nullopt;
    return target;
  }

  const Member* readyLearner() const {
    for (const Member& member : input_.current.members) {
      const PeerHealth* peer = health(member.id);
      if (!member.voter && peer != nullptr && peer->caught_up && !isRetiring(member.id)) return &member;
    }
    return nullptr;
  }

  bool hasVoterToReplace() const {
    return std::any_of(input_.current.members.begin(), input_.current.members.end(), [&](const Member& member) {
      return member.voter && (isLostVoter(member.id) || isRetiring(member.id));
    });
  }

  std::optional<Membership> promoteLearner() const {
    const bool too_few = voters() < input_.target_voters;
    const bool replaces = voters() == input_.target_voters && hasVoterToReplace();
    if (!too_few && !replaces) return std::nullopt;
    const Member* learner = readyLearner();
    if (learner == nullptr) return std::nullopt;
    Membership target = input_.current;
    for (Member& member : target.members) {
      if (member.id == learner->id) member.voter = true;
    }
    if (!keepsQuorum(target)) return std::nullopt;
    return target;
  }

  std::optional<Membership> removeLearner() const {
    for (const Member& member : input_.current.members) {
      if (member.voter) continue;
      if (isRetiring(member.id) || silence(member.id) >= limits_.learner_lost_after) return without(member.id);
    }
    return std::nullopt;
  }

  std::optional<Membership> addLearner() const {
    const std::size_t learners = input_.current.members.size() - voters();
    const std::size_t missing = voters() < input_.target_voters ? input_.target_voters - voters() : 0;
    const bool replacing = hasVoterToReplace();
    if (learners >= input_.spare_learners + missing + (replacing ? 1 : 0)) return std::nullopt;
    for (const Candidate& candidate : input_.candidates) {
      const bool is_member = findMember(input_.current, candidate.id) != nullptr;
      if (is_member || isRetiring(candidate.id) || isTooOld(candidate)) continue;
      Membership target = input_.current;
      target.members.push_back(Member{candidate.id, candidate.incarnation, false});
      return target;
    }
    return std::nullopt;
  }

  const MembershipPlanInput& input_;
  const MembershipPlanLimits& limits_;
};

}  // namespace

std::optional<Membership> planMembershipChange(const MembershipPlanInput& input, const MembershipPlanLimits& limits) {
  return Planner(input, limits).plan();
}

std::size_t wantedVoters(std::size_t members, std::size_t most) {
  const std::size_t odd = members % 2 == 0 && members > 0 ? members - 1 : members;
  return std::max<std::size_t>(3, std::min(odd, most));
}

}  // namespace hatchfork::consensus
