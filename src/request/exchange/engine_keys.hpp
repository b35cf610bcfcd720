#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/ids.hpp"
#include "version/engine_changes.hpp"

namespace hatchfork::request {

/// Short name of an engine in digests of loads: a hash of its identifier. Two engines with equal hashes would be told
/// each other's loads; among 10,000 engines that happens in one fleet of a hundred, and misleads the choice of these
/// two engines only.
using EngineKey = std::uint32_t;
EngineKey engineKey(const EngineId& engine);

/// The engines of the fleet by their keys; one for all digests that a process reads. Belongs to one thread.
class EngineKeys {
 public:
  void take(const EngineChanges& changes);
  /// Null for the key of no engine.
  const EngineId* find(EngineKey key) const;
  std::size_t size() const { return engines_.size(); }

 private:
  std::unordered_map<EngineKey, EngineId> engines_;
};

}  // namespace hatchfork::request
