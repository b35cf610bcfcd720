#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "version/engine_record.hpp"

namespace hatchfork {

/// How the engines of the fleet differ from what their receiver holds. Everything that knows engines takes these, so
/// that one changed engine costs one engine, not a walk over all.
struct EngineChanges {
  /// True: what is not named here is gone. False: what is not named here stands.
  bool is_whole = false;
  std::vector<EngineRecord> present;
  std::vector<EngineId> removed;

  bool isEmpty() const { return !is_whole && present.empty() && removed.empty(); }
  /// Adds changes that were made after these.
  void append(EngineChanges later) {
    if (later.is_whole) {
      *this = std::move(later);
      return;
    }
    const std::set<EngineId> gone(later.removed.begin(), later.removed.end());
    if (!gone.empty()) std::erase_if(present, [&](const EngineRecord& engine) { return gone.contains(engine.id); });
    present.insert(present.end(), later.present.begin(), later.present.end());
    removed.insert(removed.end(), later.removed.begin(), later.removed.end());
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineChanges, is_whole, present, removed)

/// Changes after which these engines are known, and no others.
inline EngineChanges wholeListOf(std::vector<EngineRecord> engines) {
  return EngineChanges{true, std::move(engines), {}};
}

}  // namespace hatchfork
