#include "process/store/group_contacts.hpp"

namespace hatchfork::store {

std::vector<ReplicaId> groupContacts(const fleet::FleetView& view) {
  if (!view.store_members.empty()) return view.store_members;
  std::vector<ReplicaId> contacts;
  for (const consensus::Member& member : view.store_group.members) contacts.push_back(member.id);
  return contacts;
}

}  // namespace hatchfork::store
