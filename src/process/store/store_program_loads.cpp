#include <utility>

#include "common/log.hpp"
#include "process/store/store_program.hpp"

// Loads of the processes that report to this store, and of the executor's own runs.
namespace hatchfork::store {

using connection::monotonicNow;
using fleet::FleetMessage;

void StoreProgram::onLoadReport(const fleet::LoadReportFrame& report, const ConnectionPtr& from) {
  LoadReceiver receiver{from.get(), [from](const std::string& frame) { from->send(frame); }};
  aggregator_.take(monotonicNow(), report, std::move(receiver));
}

void StoreProgram::onReturnedFrame(const std::string& body) {
  const Result<std::optional<FleetMessage>> message = frames_.read(body);
  if (!isOk(message)) {
    logEvent(LogLevel::kWarning, "frame_refused", {{"cause", describe(errorOf(message))}});
    return;
  }
  if (!valueOf(message)) return;
  const FleetMessage& decoded = *valueOf(message);
  if (const auto* digest = std::get_if<fleet::LoadDigestFrame>(&decoded)) onDigest(*digest);
  if (const auto* crashes = std::get_if<fleet::CrashNotesFrame>(&decoded)) {
    crash_relay_.takeAnswer(monotonicNow(), *crashes);
  }
}

void StoreProgram::onDigest(const fleet::LoadDigestFrame& digest) {
  const Instant now = monotonicNow();
  if (const auto others = own_load_.take(now, digest)) executor_->notePeerLoads(now, *others);
}

void StoreProgram::sendBackgroundLoad(const std::vector<request::EngineShare>& shares) {
  request::LoadDigestWriter whole;
  const fleet::BackgroundLoadFrame frame{settings_.self(), executor_->term(), whole.changes(shares)};
  for (const ReplicaId& peer : aggregator_.peers()) links_.send(peer, frame);
  onBackgroundLoad(frame);
}

void StoreProgram::onBackgroundLoad(const fleet::BackgroundLoadFrame& background) {
  if (background.term < background_term_) return;
  background_term_ = background.term;
  background_leader_ = background.from;
  request::LoadDigestReader reader;
  if (reader.take(background.digest, /*is_whole=*/true)) placement_.noteBackground(reader.others(engine_keys_, {}));
}

void StoreProgram::requestPreemption(const EngineId& engine) {
  if (background_leader_.empty()) return;
  if (background_leader_ == settings_.self()) {
    executor_->preemptAt(engine);
  } else {
    links_.send(background_leader_, fleet::GiveWayFrame{engine});
  }
}

bool StoreProgram::sendLoadReport(const ReplicaId& to, const fleet::LoadReportFrame& report) {
  if (to != settings_.self()) return links_.send(to, report);
  // Posted, so that the reporter is not called back during its own call.
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
  const std::vector<request::EngineShare> shares = executor_->ownShares(now);
  if (leading) sendBackgroundLoad(shares);
  own_load_.report(now, shares);
}

}  // namespace hatchfork::store
