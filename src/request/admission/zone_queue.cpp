#include "request/admission/zone_queue.hpp"

#include <algorithm>
#include <iterator>

namespace hatchfork::request {

bool ZoneQueue::enter(Instant now, QueueEntryId number, const QueuedRequest& standing) {
  if (standing_.size() >= limits_.most_standing || standing_.contains(number)) return false;
  const Place place(standing.has_returned, standing.share, standing.latest_start, ++entered_);
  standing_.emplace(number, Member{standing, place, now});
  classes_[standing.priority].emplace(place, number);
  latest_.emplace(standing.latest_start, number);
  return true;
}

bool ZoneQueue::leave(QueueEntryId number) {
  const auto found = standing_.find(number);
  if (found == standing_.end()) return false;
  const Member& member = found->second;
  const auto its_class = classes_.find(member.standing.priority);
  its_class->second.erase(member.place);
  if (its_class->second.empty()) classes_.erase(its_class);
  latest_.erase({member.standing.latest_start, number});
  standing_.erase(found);
  return true;
}

void ZoneQueue::noteServed(QueueEntryId number) {
  const auto found = standing_.find(number);
  if (found == standing_.end()) return;
  const bool is_urgent = found->second.standing.priority == classes_.begin()->first;
  const bool others_wait = classes_.size() > 1;
  given_to_urgent_ = is_urgent && others_wait ? given_to_urgent_ + 1 : 0;
  leave(number);
}

std::vector<QueueEntryId> ZoneQueue::first(std::size_t most) const {
  std::vector<QueueEntryId> numbers;
  const bool from_floor = isFloorsTurn();
  if (from_floor && most > 0) numbers.push_back(classes_.rbegin()->second.begin()->second);
  for (const auto& [priority, members] : classes_) {
    for (const auto& [place, number] : members) {
      if (numbers.size() >= most) return numbers;
      if (from_floor && number == numbers.front()) continue;
      numbers.push_back(number);
    }
  }
  return numbers;
}

std::vector<QueueEntryId> ZoneQueue::late(Instant now) const {
  std::vector<QueueEntryId> numbers;
  for (const auto& [latest_start, number] : latest_) {
    if (latest_start > now) break;
    numbers.push_back(number);
  }
  return numbers;
}

std::size_t ZoneQueue::ahead(const QueuedRequest& standing) const {
  std::size_t count = 0;
  for (const auto& [priority, members] : classes_) {
    if (priority > standing.priority) break;
    // Within its class most stand before one that has just come; exact where that is not so.
    if (priority < standing.priority) {
      count += members.size();
      continue;
    }
    const Place place(standing.has_returned, standing.share, standing.latest_start, entered_ + 1);
    const auto behind = members.lower_bound(place);
    count += members.size() - static_cast<std::size_t>(std::distance(behind, members.end()));
  }
  return count;
}

std::size_t ZoneQueue::aheadOf(QueueEntryId number) const {
  const auto found = standing_.find(number);
  if (found == standing_.end()) return 0;
  std::size_t count = 0;
  for (const auto& [priority, members] : classes_) {
    if (priority == found->second.standing.priority) {
      return count + static_cast<std::size_t>(std::distance(members.begin(), members.find(found->second.place)));
    }
    count += members.size();
  }
  return count;
}

}  // namespace hatchfork::request
