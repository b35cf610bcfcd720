#include "request/admission/zone_queue.hpp"

#include <algorithm>
#include <iterator>
#include <optional>

namespace hatchfork::request {

bool ZoneQueue::enter(Instant now, QueueEntryId number, const QueuedRequest& request) {
  if (queued_.size() >= limits_.max_queued || queued_.contains(number)) return false;
  const SortKey key(request.has_returned, request.share, request.latest_start, ++last_sequence_);
  queued_.emplace(number, Queued{request, key, now});
  classes_[request.priority].emplace(key, number);
  by_latest_start_.emplace(request.latest_start, number);
  return true;
}

bool ZoneQueue::leave(QueueEntryId number) {
  const auto found = queued_.find(number);
  if (found == queued_.end()) return false;
  const Queued& member = found->second;
  const auto class_entry = classes_.find(member.request.priority);
  class_entry->second.erase(member.key);
  if (class_entry->second.empty()) classes_.erase(class_entry);
  by_latest_start_.erase({member.request.latest_start, number});
  queued_.erase(found);
  return true;
}

void ZoneQueue::noteServed(QueueEntryId number) {
  const auto found = queued_.find(number);
  if (found == queued_.end()) return;
  const bool is_urgent = found->second.request.priority == classes_.begin()->first;
  const bool less_urgent_wait = classes_.size() > 1;
  given_to_urgent_ = is_urgent && less_urgent_wait ? given_to_urgent_ + 1 : 0;
  leave(number);
}

void ZoneQueue::visit(const std::function<bool(QueueEntryId)>& visit) const {
  std::optional<QueueEntryId> floor;
  if (isFloorDue()) floor = classes_.rbegin()->second.begin()->second;
  if (floor && !visit(*floor)) return;
  for (const auto& [priority, members] : classes_) {
    for (const auto& [key, number] : members) {
      if (number != floor && !visit(number)) return;
    }
  }
}

std::vector<QueueEntryId> ZoneQueue::first(std::size_t most) const {
  std::vector<QueueEntryId> numbers;
  visit([&](QueueEntryId number) {
    if (numbers.size() < most) numbers.push_back(number);
    return numbers.size() < most;
  });
  return numbers;
}

std::vector<QueueEntryId> ZoneQueue::late(Instant now) const {
  std::vector<QueueEntryId> numbers;
  for (const auto& [latest_start, number] : by_latest_start_) {
    if (latest_start > now) break;
    numbers.push_back(number);
  }
  return numbers;
}

std::size_t ZoneQueue::ahead(const QueuedRequest& request) const {
  std::size_t count = 0;
  for (const auto& [priority, members] : classes_) {
    if (priority > request.priority) break;
    // Most requests of the class are ahead of a new request, so distances are counted from the end; the count is exact
    // in any case.
    if (priority < request.priority) {
      count += members.size();
      continue;
    }
    const SortKey key(request.has_returned, request.share, request.latest_start, last_sequence_ + 1);
    const auto behind = members.lower_bound(key);
    count += members.size() - static_cast<std::size_t>(std::distance(behind, members.end()));
  }
  return count;
}

std::size_t ZoneQueue::aheadOf(QueueEntryId number) const {
  const auto found = queued_.find(number);
  if (found == queued_.end()) return 0;
  std::size_t count = 0;
  for (const auto& [priority, members] : classes_) {
    if (priority == found->second.request.priority) {
      return count + static_cast<std::size_t>(std::distance(members.begin(), members.find(found->second.key)));
    }
    count += members.size();
  }
  return count;
}

}  // namespace hatchfork::request
