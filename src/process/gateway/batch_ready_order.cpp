#include "process/gateway/batch_ready_order.hpp"

#include <algorithm>

namespace hatchfork::gateway {
namespace {

using ItemPtr = std::shared_ptr<BatchItemRun>;

}  // namespace

void pushByUrgency(ReadyItems& ready, ItemPtr item) {
  const auto less_urgent = std::find_if(ready.begin(), ready.end(),
                                        [&](const ItemPtr& waiting) { return waiting->urgency < item->urgency; });
  ready.insert(less_urgent, std::move(item));
}

void pushBackToFront(ReadyItems& ready, ItemPtr item) {
  const auto not_more_urgent = std::find_if(ready.begin(), ready.end(),
                                            [&](const ItemPtr& waiting) { return waiting->urgency <= item->urgency; });
  ready.insert(not_more_urgent, std::move(item));
}

}  // namespace hatchfork::gateway
