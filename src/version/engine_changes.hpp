#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "version/engine_record.hpp"

namespace hatchfork {

/// Changes of the fleet's engines since the receiver's last update. Each table of engines is updated by these
/// changes, so that the cost follows the number of changed engines and not of all engines.
struct EngineChanges {
  /// True for a full list: engines that are not in `present` are removed. False for an incremental update: all other
  /// engines stay unchanged.
  bool is_whole = false;
  std::vector<EngineRecord> present;
  std::vector<EngineId> removed;

  bool isEmpty() const { return !is_whole && present.empty() && removed.empty(); }
  /// Appends later changes to these.
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

/// Returns a full list: after these changes the receiver has exactly these engines.
inline EngineChanges wholeListOf(std::vector<EngineRecord> engines) {
  return EngineChanges{true, std::move(engines), {}};
}

}  // namespace hatchfork
