#include <utility>

#include "common/log.hpp"
#include "process/store/store_program.hpp"
#include "request/limits/limit_owner_choice.hpp"

// Rate limits of tenants that this store owns.
namespace hatchfork::store {

using connection::monotonicNow;
using fleet::FleetMessage;

void StoreProgram::updateRateLimits(const fleet::FleetView& view) {
  routes_ = view.routes;
  if (view.store_members == limit_owners_) return;
  logEvent(LogLevel::kInfo, "rate_limit_owners",
           {{"owners", view.store_members.size()}, {"before", limit_owners_.size()}});
  limit_owners_ = view.store_members;
  rate_limits_.noteTakeover(monotonicNow());
}

void StoreProgram::onCreditQuestion(const fleet::CreditQuestionFrame& frame, const ConnectionPtr& from) {
  // Without a view after the start, the answer would wrongly deny ownership and send the gateway to another store.
  if (routes_ == nullptr || limit_owners_.empty()) return;
  const Tenant* tenant = routes_->tenants().find(frame.tenant);
  const bool is_owner = tenant != nullptr && tenant->limits.online_requests_per_second > 0 &&
                        request::limitOwnerOf(frame.tenant, limit_owners_) == settings_.self();
  fleet::CreditAnswerFrame answer{frame.tenant, is_owner, {}};
  if (is_owner) answer.answer = rate_limits_.answer(monotonicNow(), frame.tenant, tenant->limits, frame.question);
  from->send(encodeTagged(FleetMessage(answer)));
}

}  // namespace hatchfork::store
