#include "process/fleet/store_directory.hpp"

#include <set>
#include <utility>

namespace hatchfork::fleet {
namespace {

constexpr Duration kLifetime = std::chrono::seconds(6);
constexpr Duration kDirectLifetime = std::chrono::seconds(2);

}  // namespace

void StoreDirectory::hear(Instant now, const StorePresence& presence) {
  heard_directly_at_[presence.address] = now;
  take(now, presence);
}

void StoreDirectory::hearOf(Instant now, const std::vector<StorePresence>& stores) {
  for (const StorePresence& presence : stores) {
    StorePresence heard = presence;
    // A control process of an older release drops the release from what it passes on.
    if (isHeardDirectly(now, presence.address)) heard.release = stores_.at(presence.address).release;
    take(now, heard);
  }
}

void StoreDirectory::take(Instant now, const StorePresence& presence) {
  if (!stores_.contains(presence.address)) newest_at_ = now;
  stores_[presence.address] = presence;
  heard_at_[presence.address] = now;
  if (!presence.membership || presence.term < group_term_) return;
  group_term_ = presence.term;
  group_membership_ = presence.membership;
}

void StoreDirectory::recall(Instant now, std::vector<StoreAddress> stores) {
  recalled_ = std::move(stores);
  recalled_at_ = now;
  // The store may run another release by now.
  for (StoreAddress& store : recalled_) store.release = kUnknownRelease;
}

bool StoreDirectory::isHeardDirectly(Instant now, const ReplicaId& store) const {
  const auto heard = heard_directly_at_.find(store);
  return heard != heard_directly_at_.end() && now <= heard->second + kDirectLifetime;
}

void StoreDirectory::expire(Instant now) {
  if (now > recalled_at_ + kLifetime) recalled_.clear();
  std::erase_if(heard_at_, [&](const auto& entry) {
    if (now <= entry.second + kLifetime) return false;
    stores_.erase(entry.first);
    heard_directly_at_.erase(entry.first);
    return true;
  });
}

std::vector<StorePresence> StoreDirectory::heardDirectly(Instant now) const {
  std::vector<StorePresence> stores;
  for (const auto& [address, at] : heard_directly_at_) {
    if (now <= at + kDirectLifetime) stores.push_back(stores_.at(address));
  }
  return stores;
}

std::vector<StoreAddress> StoreDirectory::addresses() const {
  std::set<StoreAddress> addresses;
  for (const auto& [address, presence] : stores_)
    addresses.insert(StoreAddress{address, presence.zone, presence.release});
  for (const StoreAddress& store : recalled_) {
    // A store that was heard tells its zone itself.
    if (!stores_.contains(store.address)) addresses.insert(store);
  }
  return std::vector<StoreAddress>(addresses.begin(), addresses.end());
}

std::vector<ReplicaId> StoreDirectory::groupMembers() const {
  std::vector<ReplicaId> members;
  if (!group_membership_) return members;
  for (const consensus::Member& member : group_membership_->members) members.push_back(member.id);
  return members;
}

const StorePresence* StoreDirectory::find(const std::string& node) const {
  for (const auto& [address, presence] : stores_) {
    if (presence.node == node) return &presence;
  }
  return nullptr;
}

consensus::Membership chooseStoreGroup(const std::map<ReplicaId, StorePresence>& stores, std::size_t wanted) {
  consensus::Membership membership;
  std::set<ReplicaId> chosen;
  while (membership.members.size() < wanted && chosen.size() < stores.size()) {
    // One round takes at most one store of each zone.
    std::set<ZoneId> zones;
    for (const auto& [address, presence] : stores) {
      if (membership.members.size() == wanted || chosen.contains(address)) continue;
      if (!zones.insert(presence.zone).second) continue;
      chosen.insert(address);
      membership.members.push_back(consensus::Member{address, presence.incarnation, true});
    }
  }
  return membership;
}

}  // namespace hatchfork::fleet
