#include "process/store/waiting_queue.hpp"

namespace hatchfork::store {

std::uint32_t WaitingQueue::laneOf(LaneKey key) {
  const auto next = static_cast<std::uint32_t>(lane_numbers_.size());
  return lane_numbers_.emplace(std::move(key), next).first->second;
}

void WaitingQueue::push(const ItemPtr& run) {
  if (run->is_waiting) return;
  // The item itself may be among those that were taken out.
  compact();
  run->is_waiting = true;
  items_.push_back(run);
  ++size_;
  is_sorted_ = false;
}

void WaitingQueue::remove(const ItemPtr& run) {
  if (!run->is_waiting) return;
  run->is_waiting = false;
  --size_;
}

void WaitingQueue::clear() {
  for (const ItemPtr& run : items_) run->is_waiting = false;
  items_.clear();
  lanes_.clear();
  size_ = 0;
  is_sorted_ = true;
}

void WaitingQueue::compact() {
  if (items_.size() == size_) return;
  std::erase_if(items_, [](const ItemPtr& run) { return !run->is_waiting; });
}

}  // namespace hatchfork::store
