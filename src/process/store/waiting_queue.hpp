#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "process/store/item_run.hpp"

namespace hatchfork::store {

/// What decides at which engines an item may run, before its text and its history are considered.
struct LaneKey {
  /// Services that the item's route is split between.
  std::vector<ServiceId> services;
  /// Empty if all zones are allowed.
  std::optional<std::set<ZoneId>> zones;

  auto operator<=>(const LaneKey&) const = default;
};

/// The waiting items of a leader in the order in which they should run, and by lane: items that may run at the same
/// engines, apart from those that are late already, which need no lasting capacity. A pass that finds no engine for a
/// lane leaves out the rest of it in one step, however many items wait there. Not thread-safe.
class WaitingQueue {
 public:
  using ItemPtr = std::shared_ptr<ItemRun>;
  using Lane = std::vector<ItemPtr>;

  /// Returns the number of the lane, for `ItemRun::lane`.
  std::uint32_t laneOf(LaneKey key);
  /// Forgets the numbers of all lanes; call it before they are given again to all items.
  void forgetLanes() { lane_numbers_.clear(); }

  /// Adds an item behind all others, unless it waits already. Takes time in the number of items if others have left.
  void push(const ItemPtr& run);
  /// Takes an item out, if it waits. It stays in memory until the next `compact`.
  void remove(const ItemPtr& run);
  /// Takes out all items for which `predicate` is true.
  template <class Predicate>
  void removeIf(const Predicate& predicate);
  void clear();
  /// Frees the entries of items that were taken out.
  void compact();

  /// True if no item was added since the last call of `sort`.
  bool isSorted() const { return is_sorted_; }
  /// Sorts the items by `precedes`; items of equal rank stay in their order.
  template <class Precedes>
  void sort(const Precedes& precedes);
  /// Builds the lanes from the items in their order. `is_late`: true for items that need no lasting capacity.
  template <class IsLate>
  void buildLanes(const IsLate& is_late);

  std::size_t size() const { return size_; }
  /// Returns the items in their order. Some may have been taken out since the last `compact`; see
  /// `ItemRun::is_waiting`.
  const std::vector<ItemPtr>& items() const { return items_; }
  /// Returns the lanes as of the last `buildLanes`.
  const std::vector<Lane>& lanes() const { return lanes_; }

 private:
  std::map<LaneKey, std::uint32_t> lane_numbers_;
  std::vector<ItemPtr> items_;
  std::vector<Lane> lanes_;
  /// Number of items that wait; the rest of `items_` was taken out.
  std::size_t size_ = 0;
  bool is_sorted_ = true;
};

template <class Predicate>
void WaitingQueue::removeIf(const Predicate& predicate) {
  for (const ItemPtr& run : items_) {
    if (run->is_waiting && predicate(run)) remove(run);
  }
  compact();
}

template <class Precedes>
void WaitingQueue::sort(const Precedes& precedes) {
  compact();
  std::stable_sort(items_.begin(), items_.end(), precedes);
  is_sorted_ = true;
}

template <class IsLate>
void WaitingQueue::buildLanes(const IsLate& is_late) {
  lanes_.clear();
  for (std::size_t i = 0; i < items_.size(); ++i) {
    const ItemPtr& run = items_[i];
    run->rank = i;
    // Two of each number: items with time left, and late ones.
    const std::size_t lane = 2 * std::size_t{run->lane} + (is_late(*run) ? 1 : 0);
    if (lane >= lanes_.size()) lanes_.resize(lane + 1);
    lanes_[lane].push_back(run);
  }
}

}  // namespace hatchfork::store
