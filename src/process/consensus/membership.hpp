#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "common/result.hpp"
#include "process/consensus/replicated_group.hpp"

namespace hatchfork::consensus {

/// Identifies a replica in messages and votes: the same name with another incarnation is another replica.
struct Identity {
  ReplicaId id;
  Incarnation incarnation = 0;
  auto operator<=>(const Identity&) const = default;
};

/// Returns the entry for `identity`; null if the membership does not name exactly this incarnation.
const Member* findMember(const Membership& membership, const Identity& identity);
const Member* findMember(const Membership& membership, const ReplicaId& id);
bool isVoter(const Membership& membership, const Identity& identity);
/// Number of voters needed for an election or a commit.
std::size_t quorumSize(const Membership& membership);

/// Checks that `target` differs from `current` in one member and at most one voter, so that any two quorums of both
/// overlap. A new incarnation must begin as a learner. `caught_up` names learners that may become voters.
Status checkMembershipChange(const Membership& current, const Membership& target,
                             const std::vector<Identity>& caught_up);

/// The memberships named in the log: each is in force from its entry on, whether committed or not.
class MembershipHistory {
 public:
  /// Restarts the history with `base`, in force up to and including `index`.
  void reset(LogIndex index, Membership base);
  void append(LogIndex index, Membership membership);
  /// Drops memberships from entries at `index` and above, which were replaced.
  void truncateFrom(LogIndex index);
  /// Drops memberships before the membership in force at `index`.
  void compactTo(LogIndex index);
  const Membership& latest() const { return steps_.back().membership; }
  LogIndex latestIndex() const { return steps_.back().index; }
  const Membership& at(LogIndex index) const;

 private:
  struct Step {
    LogIndex index = 0;
    Membership membership;
  };
  std::vector<Step> steps_ = {Step{}};
};

}  // namespace hatchfork::consensus
