#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "process/store/waiting_queue.hpp"
#include "request/exchange/engine_selector.hpp"

namespace hatchfork::store {

/// Engines that a pass over the waiting items found without room. Runs that the pass starts only take more room, so
/// they need not be examined again before its end.
class FullEngines {
 public:
  /// Records that no engine of the query has room for an item of its urgency.
  void note(const request::EngineQuery& query);
  /// True if an item at least as urgent found no room at these engines.
  bool contains(const request::EngineQuery& query) const;
  /// True if the engines of this build had no room for an item that only they may continue.
  bool containsBuild(const ServiceId& service, const EngineBuild& build) const {
    return builds_.contains({service, build});
  }

 private:
  using Engines = std::pair<ServiceId, std::optional<std::set<ZoneId>>>;

  /// Highest urgency for which there was no room.
  std::map<Engines, double> urgencies_;
  std::set<std::pair<ServiceId, EngineBuild>> builds_;
};

/// One walk over the waiting items, in their order. What holds up one lane is no reason to end it for the others.
class StartPass {
 public:
  using ItemPtr = WaitingQueue::ItemPtr;

  /// The lanes of `queue` must not be built anew during the pass.
  explicit StartPass(const WaitingQueue& queue);
  /// Returns the next item that waits, null at the end.
  ItemPtr next();
  /// Leaves out the rest of the lane of the last item.
  void closeLane() { current_.reset(); }
  /// Counts that the last item could not start for a reason of its own, and closes its lane after many of them.
  void noteHeldUp();

 private:
  /// Position in a lane.
  struct Cursor {
    const WaitingQueue::Lane* lane = nullptr;
    std::size_t position = 0;
    std::size_t held_up = 0;
  };
  static std::uint64_t rankOf(const Cursor& cursor) { return (*cursor.lane)[cursor.position]->rank; }
  struct IsBehind {
    bool operator()(const Cursor& left, const Cursor& right) const { return rankOf(left) > rankOf(right); }
  };
  /// Moves the cursor to the first item from its position on that waits, and keeps it unless there is none.
  void keep(Cursor cursor);

  std::priority_queue<Cursor, std::vector<Cursor>, IsBehind> cursors_;
  /// Lane of the last item; empty if it is closed.
  std::optional<Cursor> current_;
};

}  // namespace hatchfork::store
