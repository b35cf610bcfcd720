#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/start_timeline.hpp"
#include "process/exchange/gateway_program.hpp"

// Requests that end the engines they run on: what this gateway is told of them and tells.
namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// How long a gateway that has just started waits to be told which requests end engines; a store answers within some
/// 20 ms, unless none is in reach.
constexpr Duration kCrashNotesWait = fromMillis(300);
constexpr Duration kAskAgain = fromMillis(10);
/// Ends of engines that are seen closer together than this are told together: one end breaks many streams at once.
constexpr Duration kCrashNewsDelay = fromMillis(3);
constexpr std::size_t kStoresToldOfCrashes = 2;

}  // namespace

void GatewayProgram::onCrashNotes(const ReplicaId& from, const fleet::CrashNotesFrame& notes) {
  const Instant now = monotonicNow();
  crashes_.take(now, notes);
  // Only the answer to a question holds all that a store knows.
  knows_crashes_ = knows_crashes_ || notes.wants_all;
  start_gate_.look();
  if (notes.wants_all && notes.digest != crashes_.digest()) stores_.send(from, crashes_.everything(now));
}

/// Two stores are told, so that one that has just died takes nothing along.
void GatewayProgram::tellCrashesSoon() {
  if (std::exchange(crash_timer_armed_, true)) return;
  crash_timer_.expires_after(kCrashNewsDelay);
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crash_timer_armed_ = false;
    const fleet::CrashNotesFrame news = crashes_.takeNews();
    std::size_t told = 0;
    for (const ReplicaId& store : loads_.aggregators()) {
      if (told < kStoresToldOfCrashes && stores_.send(store, news)) ++told;
    }
  });
}

/// A gateway that sends at once after its start sends what all others refuse.
Awaitable<void> GatewayProgram::learnCrashes() {
  fleet::CrashNotesFrame hello = crashes_.hello();
  hello.wants_all = true;
  Duration pause = kAskAgain;
  std::size_t turn = 0;
  while (!knows_crashes_ && monotonicNow() < first_view_at_ + kCrashNotesWait) {
    const std::size_t asked = askNextStore(turn, hello);
    co_await connection::sleepFor(pause);
    // All gateways ask at once after a loss of power: a store that is busy with the others is not asked again soon.
    if (asked > turn) pause *= 2;
    turn = asked;
  }
  const Duration waited = monotonicNow() - first_view_at_;
  logEvent(knows_crashes_ ? LogLevel::kInfo : LogLevel::kWarning, "crash_notes_awaited",
           {{"told", knows_crashes_}, {"after_ms", toMillis(waited)}, {"requests_known", crashes_.requestsKnown()}});
  noteStartStep("crash_notes_awaited");
  knows_crashes_ = true;
  start_gate_.look();
}

std::size_t GatewayProgram::askNextStore(std::size_t turn, const fleet::CrashNotesFrame& question) {
  const std::vector<ReplicaId> stores = loads_.aggregators();
  for (std::size_t offset = 0; offset < stores.size(); ++offset) {
    if (stores_.send(stores[(turn + offset) % stores.size()], question)) return turn + offset + 1;
  }
  return turn;
}

void GatewayProgram::askForCrashes() {
  crash_hub_ = loads_.current();
  if (!crash_hub_.empty() && !stores_.send(crash_hub_, crashes_.hello())) crash_hub_ = ReplicaId();
}

}  // namespace hatchfork::exchange
