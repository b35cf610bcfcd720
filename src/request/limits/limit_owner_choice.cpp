#include "request/limits/limit_owner_choice.hpp"

#include <xxhash.h>

namespace hatchfork::request {

ReplicaId rendezvousOwner(std::string_view name, const std::vector<ReplicaId>& candidates) {
  ReplicaId owner;
  std::uint64_t heaviest = 0;
  for (const ReplicaId& candidate : candidates) {
    const std::uint64_t seed = XXH3_64bits(candidate.value.data(), candidate.value.size());
    const std::uint64_t weight = XXH3_64bits_withSeed(name.data(), name.size(), seed);
    const bool wins = owner.empty() || weight > heaviest || (weight == heaviest && candidate > owner);
    if (!wins) continue;
    owner = candidate;
    heaviest = weight;
  }
  return owner;
}

}  // namespace hatchfork::request
