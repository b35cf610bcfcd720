#include "request/exchange/engine_keys.hpp"

namespace hatchfork::request {

/// FNV-1a.
EngineKey engineKey(const EngineId& engine) {
  std::uint32_t hash = 2166136261U;
  for (const char character : engine.value) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 16777619U;
  }
  return hash;
}

void EngineKeys::take(const EngineChanges& changes) {
  if (changes.is_whole) engines_.clear();
  for (const EngineId& engine : changes.removed) {
    const auto found = engines_.find(engineKey(engine));
    if (found != engines_.end() && found->second == engine) engines_.erase(found);
  }
  for (const EngineRecord& engine : changes.present) engines_.emplace(engineKey(engine.id), engine.id);
}

const EngineId* EngineKeys::find(EngineKey key) const {
  const auto found = engines_.find(key);
  return found == engines_.end() ? nullptr : &found->second;
}

}  // namespace hatchfork::request
