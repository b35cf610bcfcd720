#include "process/store/group_releases.hpp"

#include <algorithm>

#include "version/release.hpp"

namespace hatchfork::store {

bool allKeepEnds(const std::vector<fleet::StoreAddress>& stores, const std::vector<ReplicaId>& members) {
  const bool all_members_are_listed = std::all_of(members.begin(), members.end(), [&](const ReplicaId& member) {
    return std::any_of(stores.begin(), stores.end(), [&](const auto& store) { return store.address == member; });
  });
  return all_members_are_listed &&
         std::all_of(stores.begin(), stores.end(), [](const auto& store) { return store.release >= kKeptEndRelease; });
}

bool anyForgetsEnds(const std::vector<fleet::StoreAddress>& stores) {
  return std::any_of(stores.begin(), stores.end(), [](const auto& store) {
    return store.release != kUnknownRelease && store.release < kKeptEndRelease;
  });
}

}  // namespace hatchfork::store
