#include <algorithm>
#include <set>
#include <utility>

#include "common/log.hpp"
#include "process/store/store_program.hpp"

// Requests that crash the engines they run on: the crashes that the group keeps, and the reports to other processes.
namespace hatchfork::store {

using connection::monotonicNow;
using fleet::ProposalOutcome;
using fleet::ProposalResult;

namespace {

/// Reports of engine crashes are batched for this long. A crash ends a dozen requests at once; callers retry after 200
/// ms or later.
constexpr Duration kCrashReportDelay = fromMillis(10);
/// Maximum number of crashes in a command, of about 160 bytes each. Logs release the payloads of larger commands, and a
/// store that starts recovers crashes only from payloads that its log still has in memory.
constexpr std::size_t kMaxCrashesPerCommand = 5;

}  // namespace

void StoreProgram::scheduleCrashReport() {
  if (std::exchange(crash_timer_armed_, true)) return;
  crash_timer_.expires_after(kCrashReportDelay);
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crash_timer_armed_ = false;
    crash_relay_.flush();
  });
}

void StoreProgram::applyKeptCrashes(Instant now, const std::vector<StoredCrash>& crashes) {
  const WallMillis wall = connection::wallNow();
  fleet::CrashNotesFrame notes;
  for (const StoredCrash& crash : crashes) {
    notes.crashes.push_back(
        {crash.content, crash.engine, std::max<std::int64_t>(0, wall - crash.ended_at), crash.ran_ms});
  }
  crash_relay_.takeStored(now, notes);
}

/// An engine crash is a fact whether or not its entry is committed, and after a restart of the whole fleet gateways
/// serve before the stores have a leader.
void StoreProgram::recoverCrashes(Instant now) {
  std::size_t recovered = 0;
  applyKeptCrashes(now, state_->keptCrashes().all());
  group_->visitUnapplied([&](std::string_view command) {
    if (command.find(SaveCrashes::kKind) == std::string_view::npos) return;
    const Result<JobCommand> decoded = decodeTagged<JobCommand>(command);
    const auto* kept = isOk(decoded) ? std::get_if<SaveCrashes>(&valueOf(decoded)) : nullptr;
    if (kept == nullptr) return;
    recovered += kept->crashes.size();
    applyKeptCrashes(now, kept->crashes);
  });
  if (recovered > 0) logEvent(LogLevel::kInfo, "crashes_recalled", {{"count", recovered}});
}

/// If all processes end at once, only the group's state preserves the crashes; without it, each crashing request would
/// crash further engines in each life of the fleet.
void StoreProgram::proposeCrashes(Instant now) {
  const StoredCrashes& kept = state_->keptCrashes();
  if (std::exchange(kept_crashes_applied_, kept.version()) != kept.version()) {
    applyKeptCrashes(now, kept.all());
  }
  const std::uint64_t digest = crashes_.digest();
  if (!executor_->isLeading() || crash_proposal_in_flight_ || digest == crashes_compared_) return;
  SaveCrashes command = missingCrashes(now);
  if (command.crashes.empty() && command.cleared.empty()) {
    crashes_compared_ = digest;
    return;
  }
  crash_proposal_in_flight_ = true;
  const bool is_complete = command.crashes.size() < kMaxCrashesPerCommand && command.cleared.empty();
  auto done = [this, now, digest, is_complete, crashes = command.crashes.size(),
               cleared = command.cleared.size()](const ProposalOutcome& outcome) {
    crash_proposal_in_flight_ = false;
    const bool is_applied = outcome.result == ProposalResult::kApplied;
    logEvent(is_applied ? LogLevel::kInfo : LogLevel::kWarning, "crashes_kept",
             {{"applied", is_applied},
              {"crashes", crashes},
              {"cleared", cleared},
              {"took_ms", toMillis(monotonicNow() - now)},
              {"requests", state_->keptCrashes().requests()}});
    if (is_applied && is_complete) crashes_compared_ = digest;
  };
  group_->propose(encodeTagged(JobCommand(std::move(command))), kProposalTimeout, std::move(done));
}

SaveCrashes StoreProgram::missingCrashes(Instant now) {
  const StoredCrashes& kept = state_->keptCrashes();
  const WallMillis wall = connection::wallNow();
  std::set<request::RequestFingerprint> cleared;
  for (const StoredCrash& crash : kept.all()) {
    if (cleared.size() >= kMaxCrashesPerCommand) break;
    if (crashes_.isCleared(now - fromMillis(wall - crash.ended_at), crash.content)) cleared.insert(crash.content);
  }
  SaveCrashes command;
  command.cleared.assign(cleared.begin(), cleared.end());
  for (const request::CrashRecord& record : crashes_.crashesToKeep(now)) {
    if (kept.contains(record.content, record.engine)) continue;
    if (command.crashes.size() >= kMaxCrashesPerCommand) break;
    command.crashes.push_back({record.content, record.engine, wall - record.age_ms, record.ran_ms});
  }
  return command;
}

}  // namespace hatchfork::store
