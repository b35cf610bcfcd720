#include <utility>

#include "common/log.hpp"
#include "process/store/store_program.hpp"

// Loads of processes: those that report here, and those of the executor's own runs.
namespace hatchfork::store {

using connection::monotonicNow;
using fleet::FleetMessage;

void StoreProgram::onLoadReport(const fleet::LoadReportFrame& report, const ConnectionPtr& from) {
  LoadReceiver receiver{from.get(), [from](const std::string& frame) { from->send(frame); }};
  aggregator_.take(monotonicNow(), report, std::move(receiver));
}

void StoreProgram::onReturnedFrame(const std::string& body) {
  const Result<FleetMessage> message = decodeTagged<FleetMessage>(body);
  if (!isOk(message)) {
    logEvent(LogLevel::kWarning, "frame_refused", {{"cause", describe(errorOf(message))}});
    return;
  }
  if (const auto* digest = std::get_if<fleet::LoadDigestFrame>(&valueOf(message))) onDigest(*digest);
}

void StoreProgram::onDigest(const fleet::LoadDigestFrame& digest) {
  const Instant now = monotonicNow();
  if (const auto others = own_load_.take(now, digest)) executor_->noteOthers(now, *others);
}

bool StoreProgram::sendLoadReport(const ReplicaId& to, const fleet::LoadReportFrame& report) {
  if (to != settings_.self()) return links_.send(to, report);
  // Posted, so that the reporter is not called back from within its own call.
  LoadReceiver receiver{this, [this](const std::string& frame) {
                          connection::asio::post(context_, [this, frame] { onReturnedFrame(frame); });
                        }};
  aggregator_.take(monotonicNow(), report, std::move(receiver));
  return true;
}

void StoreProgram::reportOwnLoad(Instant now) {
  const bool leading = executor_->isLeading();
  if (!leading && !reports_load_) return;
  reports_load_ = leading;
  own_load_.report(now, executor_->ownShares(now));
}

}  // namespace hatchfork::store
