#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/ids.hpp"
#include "version/engine_changes.hpp"

namespace hatchfork::request {

/// Hash of an engine's identifier, used in load digests. Two engines with equal hashes receive each other's loads. With
/// 10,000 engines this happens in one fleet of a hundred, and affects only the choice of these two engines.
using EngineKey = std::uint32_t;
EngineKey engineKey(const EngineId& engine);

/// Index of the fleet's engines by key, shared by all digest readers of a process. Not thread-safe.
class EngineKeys {
 public:
  void take(const EngineChanges& changes);
  /// Null if no engine has the key.
  const EngineId* find(EngineKey key) const;
  std::size_t size() const { return engines_.size(); }

 private:
  std::unordered_map<EngineKey, EngineId> engines_;
};

}  // namespace hatchfork::request
