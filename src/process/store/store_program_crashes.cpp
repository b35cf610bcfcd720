#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/store/store_program.hpp"

// Requests that end the engines they run on: what the group keeps of them, and what goes to other processes.
namespace hatchfork::store {

using fleet::ProposalOutcome;
using fleet::ProposalResult;

namespace {

/// News of requests that end engines are passed on together after this long. An engine that ends takes a dozen requests
/// along; callers come again after 200 ms and more.
constexpr Duration kCrashNewsDelay = fromMillis(10);
/// Crashes kept by one command, of some 160 bytes each: logs free the payloads of larger commands, and a store that
/// starts recalls what its log still holds in memory.
constexpr std::size_t kMostCrashesOfCommand = 5;

}  // namespace

void StoreProgram::tellCrashesSoon() {
  if (std::exchange(crash_timer_armed_, true)) return;
  crash_timer_.expires_after(kCrashNewsDelay);
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crash_timer_armed_ = false;
    crash_relay_.flush();
  });
}

void StoreProgram::takeKeptCrashes(Instant now, const std::vector<StoredCrash>& crashes) {
  const WallMillis wall = connection::wallNow();
  fleet::CrashNotesFrame notes;
  for (const StoredCrash& crash : crashes) {
    notes.crashes.push_back(
        {crash.content, crash.engine, std::max<std::int64_t>(0, wall - crash.ended_at), crash.ran_ms});
  }
  crash_relay_.takeStored(now, notes);
}

/// An engine has ended whether or not the group agreed to keep it. Gateways serve before the stores have a leader: 0.4
/// to 0.8 s in which refused requests were sent up to four times, by the logs of a fleet that was killed as a whole.
void StoreProgram::recallCrashes(Instant now) {
  std::size_t recalled = 0;
  takeKeptCrashes(now, state_->keptCrashes().all());
  group_->visitUnapplied([&](std::string_view command) {
    if (command.find(SaveCrashes::kKind) == std::string_view::npos) return;
    const Result<JobCommand> decoded = decodeTagged<JobCommand>(command);
    const auto* kept = isOk(decoded) ? std::get_if<SaveCrashes>(&valueOf(decoded)) : nullptr;
    if (kept == nullptr) return;
    recalled += kept->crashes.size();
    takeKeptCrashes(now, kept->crashes);
  });
  if (recalled > 0) logEvent(LogLevel::kInfo, "crashes_recalled", {{"count", recalled}});
}

/// Where all processes end at once, nobody else remembers: each such request would end three engines more.
void StoreProgram::keepCrashes(Instant now) {
  const StoredCrashes& kept = state_->keptCrashes();
  const WallMillis wall = connection::wallNow();
  if (std::exchange(kept_crashes_taken_, kept.version()) != kept.version()) {
    takeKeptCrashes(now, kept.all());
  }
  const std::uint64_t digest = crashes_.digest();
  if (!executor_->isLeading() || keeping_crashes_ || digest == crashes_looked_at_) return;
  SaveCrashes command;
  for (const request::CrashRecord& record : crashes_.crashesOfConvicted(now)) {
    if (kept.contains(record.content, record.engine)) continue;
    if (command.crashes.size() >= kMostCrashesOfCommand) break;
    command.crashes.push_back({record.content, record.engine, wall - record.age_ms, record.ran_ms});
  }
  if (command.crashes.empty()) {
    crashes_looked_at_ = digest;
    return;
  }
  keeping_crashes_ = true;
  const bool is_complete = command.crashes.size() < kMostCrashesOfCommand;
  auto done = [this, digest, is_complete](const ProposalOutcome& outcome) {
    keeping_crashes_ = false;
    if (outcome.result == ProposalResult::kApplied && is_complete) crashes_looked_at_ = digest;
  };
  group_->propose(encodeTagged(JobCommand(std::move(command))), kProposalTimeout, std::move(done));
}

}  // namespace hatchfork::store
