#include "process/gateway/batch_item_run.hpp"

#include <utility>

#include "common/log.hpp"

namespace hatchfork::gateway {

void continueAtBuild(BatchItemRun& item, EngineBuild build) {
  if (item.tokens > 0 && build != item.build) {
    logEvent(
        LogLevel::kInfo, "item_text_dropped",
        {{"item", item.request_id}, {"build", item.build.value}, {"next_build", build.value}, {"tokens", item.tokens}});
    item.text.clear();
    item.tokens = 0;
  }
  item.build = std::move(build);
}

}  // namespace hatchfork::gateway
