#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/start_timeline.hpp"
#include "process/exchange/gateway_program.hpp"

// Exchange of reports about requests that crash engines between this gateway and the stores.
namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// Maximum time that a starting gateway waits for the known crashes. A reachable store answers within about 20 ms.
constexpr Duration kCrashNotesWait = fromMillis(300);
/// Initial pause between requests for the known crashes; doubles with each request sent.
constexpr Duration kCrashRequestPause = fromMillis(10);
/// Batching interval of crash reports, since one crash breaks many streams at once.
constexpr Duration kCrashReportDelay = fromMillis(3);
constexpr std::size_t kCrashReportStores = 2;

}  // namespace

void GatewayProgram::onCrashNotes(const ReplicaId& from, const fleet::CrashNotesFrame& notes) {
  const Instant now = monotonicNow();
  crashes_.take(now, notes);
  // Only the answer to a request with `wants_all` contains all crashes that a store has.
  has_crash_reports_ = has_crash_reports_ || notes.wants_all;
  start_gate_.recheck();
  if (notes.wants_all && notes.digest != crashes_.digest()) stores_.send(from, crashes_.everything(now));
}

/// Reports to `kCrashReportStores` stores, so that the report survives the failure of one.
void GatewayProgram::scheduleCrashReport() {
  if (std::exchange(crash_timer_armed_, true)) return;
  crash_timer_.expires_after(kCrashReportDelay);
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crash_timer_armed_ = false;
    const fleet::CrashNotesFrame report = crashes_.takeNews();
    std::size_t sent = 0;
    for (const ReplicaId& store : loads_.aggregators()) {
      if (sent < kCrashReportStores && stores_.send(store, report)) ++sent;
    }
  });
}

/// Without the known crashes, a starting gateway would send requests that all other gateways refuse.
Awaitable<void> GatewayProgram::fetchKnownCrashes() {
  fleet::CrashNotesFrame hello = crashes_.hello();
  hello.wants_all = true;
  Duration pause = kCrashRequestPause;
  std::size_t turn = 0;
  while (!has_crash_reports_ && monotonicNow() < first_view_at_ + kCrashNotesWait) {
    const std::size_t next = sendToNextStore(turn, hello);
    co_await connection::sleepFor(pause);
    // After a power loss all gateways send this request at once; the backoff avoids overloading the stores.
    if (next > turn) pause *= 2;
    turn = next;
  }
  const Duration waited = monotonicNow() - first_view_at_;
  logEvent(
      has_crash_reports_ ? LogLevel::kInfo : LogLevel::kWarning, "crash_notes_awaited",
      {{"told", has_crash_reports_}, {"after_ms", toMillis(waited)}, {"requests_known", crashes_.requestsKnown()}});
  noteStartStep("crash_notes_awaited");
  has_crash_reports_ = true;
  start_gate_.recheck();
}

std::size_t GatewayProgram::sendToNextStore(std::size_t turn, const fleet::CrashNotesFrame& request) {
  const std::vector<ReplicaId> stores = loads_.aggregators();
  for (std::size_t offset = 0; offset < stores.size(); ++offset) {
    if (stores_.send(stores[(turn + offset) % stores.size()], request)) return turn + offset + 1;
  }
  return turn;
}

void GatewayProgram::subscribeToCrashes() {
  crash_reporter_ = loads_.current();
  if (!crash_reporter_.empty() && !stores_.send(crash_reporter_, crashes_.hello())) crash_reporter_ = ReplicaId();
}

}  // namespace hatchfork::exchange
