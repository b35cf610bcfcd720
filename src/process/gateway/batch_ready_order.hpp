#pragma once

#include <deque>
#include <memory>

#include "process/gateway/batch_item_run.hpp"

namespace hatchfork::gateway {

/// Items of one service that wait at this gateway, the more urgent first.
using ReadyItems = std::deque<std::shared_ptr<BatchItemRun>>;

/// Puts an item behind all waiting items of its urgency.
void pushByUrgency(ReadyItems& ready, std::shared_ptr<BatchItemRun> item);
/// Puts an item before all waiting items of its urgency: what has begun is finished first.
void pushBackToFront(ReadyItems& ready, std::shared_ptr<BatchItemRun> item);

}  // namespace hatchfork::gateway
