#include "process/fleet/crash_watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "common/log.hpp"
#include "version/engine_record.hpp"

namespace hatchfork::fleet {

using request::CrashSubjects;
using request::CrashVerdict;
using request::RequestFingerprint;

namespace {

/// From so many ends on, a request is likely to end the next engine too.
constexpr std::size_t kLikelyCrashes = 2;
/// While more requests are suspected, there are no engines to keep those apart under which a single one ended; each of
/// their runs would be told to all processes.
constexpr std::size_t kMostKeptApart = 100;
/// A run whose end is not told, since its process died, counts as over after this long.
constexpr Duration kRunKept = std::chrono::seconds(6);
/// Notes of a run are no longer under way so long after its begin.
constexpr Duration kRunForgotten = std::chrono::minutes(1);
/// Most records of each sort in one message, some 60 bytes each.
constexpr std::size_t kMostRecordsTold = 1000;

/// A node begins fewer runs of suspects than this in a millisecond.
constexpr std::uint64_t kMostRunsPerMillisecond = 16;

std::string joinedNames(const std::vector<RequestFingerprint>& subjects) {
  std::string names;
  for (const RequestFingerprint& subject : subjects) names += (names.empty() ? "" : ",") + subject.value;
  return names;
}

}  // namespace

CrashWatch::CrashWatch(std::string node, WallMillis started_at)
    : node_(std::move(node)), last_run_(static_cast<std::uint64_t>(started_at) * kMostRunsPerMillisecond) {}

bool CrashWatch::isCurrent(Instant now, const RunAt& run) {
  return !run.has_ended && now < run.began_at + kRunKept;
}

bool CrashWatch::mustWait(Instant now, const CrashSubjects& subjects) {
  const CrashVerdict verdict = judge(subjects);
  if (verdict.crashes < kLikelyCrashes) return false;
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    return entry.first.first == verdict.decisive && isCurrent(now, entry.second);
  });
}

bool CrashWatch::needsTrial(Instant now, const CrashSubjects& subjects) {
  const CrashVerdict verdict = judge(subjects);
  return !verdict.isRefused(now) && (verdict.requires_lease || verdict.crashes >= kLikelyCrashes);
}

bool CrashWatch::isKeptApart(const CrashSubjects& subjects) {
  if (judge(subjects).crashes >= kLikelyCrashes) return true;
  // A part that was in flight once is in many requests, and most such parts are sound.
  return judge(subjects.content).isSuspect() && ledger_.requests() <= kMostKeptApart;
}

std::vector<EngineId> CrashWatch::enginesToAvoid(Instant now, const CrashSubjects& subjects) {
  const bool is_suspect = isKeptApart(subjects);
  std::vector<EngineId> engines;
  for (const auto& [key, run] : runs_) {
    const bool is_likely = run.crashes >= kLikelyCrashes;
    const bool is_of_other = !subjects.contains(key.first);
    if (is_of_other && isCurrent(now, run) && (is_suspect || is_likely)) engines.push_back(run.engine);
  }
  return engines;
}

RequestFingerprint CrashWatch::nameOfRun(const CrashSubjects& subjects) {
  const CrashVerdict verdict = judge(subjects);
  return verdict.crashes >= kLikelyCrashes ? verdict.decisive : subjects.content;
}

std::string CrashWatch::newTrialHolder() {
  return fmt::format("{}/trial-{}", node_, ++last_run_);
}

RequestFingerprint CrashWatch::noteBegun(Instant now, const CrashSubjects& subjects, const EngineId& engine) {
  const SuspectRun run{node_, nameOfRun(subjects), engine, judge(subjects).crashes, false, ++last_run_, 0};
  takeRun(now, run);
  news_.runs.push_back(run);
  tell();
  return run.content;
}

void CrashWatch::noteEnded(Instant now, const RequestFingerprint& subject, const EngineId& engine) {
  const auto found = runs_.find({subject, node_});
  if (found == runs_.end() || found->second.engine != engine || found->second.has_ended) return;
  const SuspectRun run{node_, subject, engine, 0, true, found->second.number, 0};
  takeRun(now, run);
  news_.runs.push_back(run);
  tell();
}

/// True if it was not known.
bool CrashWatch::takeRun(Instant now, const SuspectRun& run) {
  RunAt& known = runs_[{run.content, run.node}];
  const bool is_newer = run.number > known.number;
  const bool is_its_end = run.number == known.number && run.has_ended && !known.has_ended;
  if (!is_newer && !is_its_end) return false;
  known = RunAt{run.engine, run.crashes, run.number, now - fromMillis(run.age_ms), run.has_ended};
  return true;
}

void CrashWatch::noteCrash(Instant now, Instant began_at, const CrashSubjects& subjects, const EngineId& engine,
                           WallMillis born) {
  const bool is_serving = !is_serving_ || is_serving_(engine);
  const EngineId life = incarnationId(engine, born);
  std::vector<RequestFingerprint> attributed = {subjects.content};
  for (const RequestFingerprint& part : subjects.parts) {
    if (!isAnswering(part)) attributed.push_back(part);
  }
  std::size_t counted = 0;
  for (const RequestFingerprint& subject : attributed) {
    if (!is_serving || !ledger_.noteCrash(now, now - began_at, subject, life)) continue;
    news_.crashes.push_back({subject, life, 0, toMillis(now - began_at)});
    ++counted;
  }
  const CrashVerdict verdict = judge(subjects);
  logEvent(LogLevel::kInfo, "crash_noted",
           {{"content", subjects.content.value},
            {"parts", joinedNames(subjects.parts)},
            {"parts_answering", subjects.parts.size() + 1 - attributed.size()},
            {"engine", engine.value},
            {"counted", counted},
            {"leaving", !is_serving},
            {"unexplained", verdict.crashes},
            {"decisive", verdict.decisive.value},
            {"refused_for_ms", verdict.isRefused(now) ? toMillis(verdict.refused_until - now) : 0}});
  if (counted == 0) return;
  ++counters_.crashes_seen;
  tell();
}

void CrashWatch::noteAnswerBegun(Instant now, const std::vector<RequestFingerprint>& parts) {
  for (const RequestFingerprint& part : parts) clear(now, part);
}

void CrashWatch::clear(Instant now, const RequestFingerprint& subject) {
  if (!ledger_.hasCrashes(subject) || !ledger_.noteCompleteAnswer(now, subject)) return;
  logEvent(LogLevel::kInfo, "request_cleared", {{"content", subject.value}});
  news_.innocents.push_back({subject, 0});
  tell();
}

bool CrashWatch::isAnswering(const RequestFingerprint& subject) const {
  return is_answering_ && request::isPromptPart(subject) && is_answering_(subject);
}

void CrashWatch::noteRefused(Instant now, const CrashSubjects& subjects, std::string_view request) {
  ++counters_.refused;
  const CrashVerdict verdict = judge(subjects);
  logEvent(LogLevel::kInfo, "request_quarantined",
           {{"request", request},
            {"content", subjects.content.value},
            {"decisive", verdict.decisive.value},
            {"engines_ended", verdict.crashes},
            {"for_ms", verdict.isRefused(now) ? toMillis(verdict.refused_until - now) : 0}});
}

CrashNotesFrame CrashWatch::take(Instant now, const CrashNotesFrame& notes) {
  CrashNotesFrame fresh;
  for (const request::CompleteAnswerRecord& record : notes.innocents) {
    if (ledger_.noteCompleteAnswer(now - fromMillis(record.age_ms), record.content)) fresh.innocents.push_back(record);
  }
  for (const request::CrashRecord& record : notes.crashes) {
    const bool is_new =
        ledger_.noteCrash(now - fromMillis(record.age_ms), fromMillis(record.ran_ms), record.content, record.engine);
    if (!is_new) continue;
    fresh.crashes.push_back(record);
    if (isAnswering(record.content)) clear(now, record.content);
  }
  for (const SuspectRun& run : notes.runs) {
    // Nobody else knows more of the runs of this node.
    if (run.node != node_ && takeRun(now, run)) fresh.runs.push_back(run);
  }
  if (!fresh.crashes.empty() || !fresh.innocents.empty()) {
    logEvent(LogLevel::kInfo, "crash_notes_heard",
             {{"crashes", fresh.crashes.size()},
              {"innocents", fresh.innocents.size()},
              {"requests_known", ledger_.requests()},
              {"refused", ledger_.refusedRequests(now)}});
  }
  return fresh;
}

CrashNotesFrame CrashWatch::hello() const {
  CrashNotesFrame notes;
  notes.is_hello = true;
  notes.digest = digest();
  return notes;
}

CrashNotesFrame CrashWatch::everything(Instant now) const {
  CrashNotesFrame notes;
  notes.crashes = ledger_.crashes(now, kMostRecordsTold);
  notes.innocents = ledger_.innocents(now, kMostRecordsTold);
  for (const auto& [key, run] : runs_) {
    if (!isCurrent(now, run)) continue;
    notes.runs.push_back(
        {key.second, key.first, run.engine, run.crashes, false, run.number, toMillis(now - run.began_at)});
  }
  notes.digest = digest();
  return notes;
}

void CrashWatch::expire(Instant now) {
  ledger_.expire(now);
  std::erase_if(runs_, [now](const auto& entry) { return now > entry.second.began_at + kRunForgotten; });
}

}  // namespace hatchfork::fleet
