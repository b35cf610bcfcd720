#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/fleet_messages.hpp"

namespace hatchfork::fleet {

/// What a control process has heard of stores: soft state, from the stores themselves and from the other control
/// processes. No I/O, no clock.
class StoreDirectory {
 public:
  /// A store that subscribes here told of itself.
  void hear(Instant now, const StorePresence& presence);
  /// Another control process passed on what it had heard itself.
  void hearOf(Instant now, const std::vector<StorePresence>& stores);
  /// Stores that were known before this process started. They count as addresses until they would have told of
  /// themselves, and for nothing else.
  void recall(Instant now, std::vector<StoreAddress> stores);
  void expire(Instant now);

  /// Stores heard directly and lately, to be passed on.
  std::vector<StorePresence> heardDirectly(Instant now) const;
  /// All stores heard of within the last seconds, and those recalled, by address.
  std::vector<StoreAddress> addresses() const;
  /// Null if no store of that node name is known.
  const StorePresence* find(const std::string& node) const;
  const std::map<ReplicaId, StorePresence>& stores() const { return stores_; }
  /// When a store was last heard of for the first time.
  Instant newestAt() const { return newest_at_; }
  /// The committed membership that the newest leader of the store group told.
  const std::optional<consensus::Membership>& groupMembership() const { return group_membership_; }
  /// Its members alone; none before a leader was heard.
  std::vector<ReplicaId> groupMembers() const;
  std::uint64_t groupTerm() const { return group_term_; }

 private:
  void take(Instant now, const StorePresence& presence);
  bool isHeardDirectly(Instant now, const ReplicaId& store) const;

  std::map<ReplicaId, StorePresence> stores_;
  std::vector<StoreAddress> recalled_;
  Instant recalled_at_{};
  std::map<ReplicaId, Instant> heard_at_;
  std::map<ReplicaId, Instant> heard_directly_at_;
  Instant newest_at_{};
  std::optional<consensus::Membership> group_membership_;
  std::uint64_t group_term_ = 0;
};

/// Chooses the members that a new store group forms with: up to `wanted` stores, spread over the zones.
consensus::Membership chooseStoreGroup(const std::map<ReplicaId, StorePresence>& stores, std::size_t wanted);

}  // namespace hatchfork::fleet
