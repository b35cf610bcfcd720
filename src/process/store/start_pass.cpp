#include "process/store/start_pass.hpp"

#include <algorithm>

namespace hatchfork::store {

namespace {

/// Number of items of a lane that may be examined in vain in one pass: the capacity that is free may be of use to a
/// later one, which needs it for less time.
constexpr std::size_t kMaxHeldUpPerLane = 64;

}  // namespace

void FullEngines::note(const request::EngineQuery& query) {
  if (query.build) {
    builds_.insert({query.service, *query.build});
    return;
  }
  double& urgency = urgencies_.emplace(Engines{query.service, query.zones}, query.urgency).first->second;
  urgency = std::max(urgency, query.urgency);
}

bool FullEngines::contains(const request::EngineQuery& query) const {
  if (query.build) return containsBuild(query.service, *query.build);
  const auto found = urgencies_.find(Engines{query.service, query.zones});
  return found != urgencies_.end() && query.urgency <= found->second;
}

StartPass::StartPass(const WaitingQueue& queue) {
  for (const WaitingQueue::Lane& lane : queue.lanes()) keep(Cursor{&lane, 0, 0});
}

void StartPass::keep(Cursor cursor) {
  const WaitingQueue::Lane& lane = *cursor.lane;
  while (cursor.position < lane.size() && !lane[cursor.position]->is_waiting) ++cursor.position;
  if (cursor.position < lane.size()) cursors_.push(cursor);
}

StartPass::ItemPtr StartPass::next() {
  if (current_) {
    ++current_->position;
    keep(*current_);
    current_.reset();
  }
  if (cursors_.empty()) return nullptr;
  current_ = cursors_.top();
  cursors_.pop();
  return (*current_->lane)[current_->position];
}

void StartPass::noteHeldUp() {
  if (current_ && ++current_->held_up >= kMaxHeldUpPerLane) current_.reset();
}

}  // namespace hatchfork::store
