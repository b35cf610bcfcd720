#include "request/crash/crash_ledger.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hatchfork::request {
namespace {

/// Tolerance for comparing the times of crashes and answers, because processes record the same crash with different
/// delays. A crash that is recorded up to this long after a complete answer counts as earlier than the answer.
constexpr Duration kCrashTimeTolerance = fromMillis(20);

}  // namespace

std::size_t CrashLedger::countUnexplained(const Crashes& crashes, const std::set<EngineId>& explained) {
  // Most subjects have a single crash.
  if (crashes.size() == 1) return explained.contains(crashes.begin()->first) ? 0 : 1;
  std::vector<Crash> open;
  for (const auto& [engine, crash] : crashes) {
    if (!explained.contains(engine)) open.push_back(crash);
  }
  std::sort(open.begin(), open.end(),
            [](const Crash& left, const Crash& right) { return left.ended_at < right.ended_at; });
  std::size_t count = 0;
  Instant last = Instant::min();
  for (const Crash& crash : open) {
    if (last != Instant::min() && crash.began_at + kCrashTimeTolerance < last) continue;
    last = crash.ended_at;
    ++count;
  }
  return count;
}

std::set<EngineId> CrashLedger::unexplainedEngines(const Crashes& crashes, const std::set<EngineId>& explained) {
  std::set<EngineId> engines;
  for (const auto& [engine, crash] : crashes) {
    if (!explained.contains(engine)) engines.insert(engine);
  }
  return engines;
}

CrashRecord CrashLedger::makeRecord(Instant now, const RequestFingerprint& content, const Crashes::value_type& crash) {
  const auto& [engine, run] = crash;
  return {content, engine, toMillis(now - run.ended_at), toMillis(run.ended_at - run.began_at)};
}

bool CrashLedger::clears(const Entry& entry, Instant crashed_at) {
  return entry.cleared_at != Instant::min() && crashed_at <= entry.cleared_at + kCrashTimeTolerance;
}

bool CrashLedger::noteCrash(Instant at, Duration ran, const RequestFingerprint& content, const EngineId& engine) {
  Entry& entry = entries_[content];
  if (clears(entry, at) || !entry.crashes.emplace(engine, Crash{at - ran, at}).second) return false;
  entry.last_crash = std::max(entry.last_crash, at);
  evictExcess();
  is_up_to_date_ = false;
  return true;
}

bool CrashLedger::noteCompleteAnswer(Instant at, const RequestFingerprint& content) {
  const auto found = entries_.find(content);
  if (found == entries_.end() || at <= found->second.cleared_at) return false;
  Entry& entry = found->second;
  entry.cleared_at = at;
  std::erase_if(entry.crashes, [&](const auto& crash) { return crash.second.ended_at <= at + kCrashTimeTolerance; });
  entry.last_crash = Instant::min();
  for (const auto& [engine, crash] : entry.crashes) entry.last_crash = std::max(entry.last_crash, crash.ended_at);
  is_up_to_date_ = false;
  return true;
}

CrashVerdict CrashLedger::judge(const CrashSubjects& subjects) {
  if (!std::exchange(is_up_to_date_, true)) updateVerdicts();
  CrashVerdict verdict;
  verdict.decisive = subjects.content;
  std::map<std::size_t, std::size_t> members_of_group;
  const auto add = [&](const RequestFingerprint& subject) {
    const auto found = entries_.find(subject);
    if (found == entries_.end()) return;
    const SubjectVerdict& own = found->second.verdict;
    if (own.crashes > verdict.crashes) {
      verdict.crashes = own.crashes;
      verdict.decisive = subject;
    }
    verdict.refused_until = std::max(verdict.refused_until, own.refused_until);
    verdict.requires_lease = verdict.requires_lease || own.requires_lease;
    if (own.group == 0 || ++members_of_group[own.group] < own.group_size) return;
    verdict.refused_until = std::max(verdict.refused_until, own.group_refused_until);
    verdict.requires_lease = true;
  };
  // Parts first: of subjects with equally many crashes, the one that more requests share is decisive.
  for (const RequestFingerprint& part : subjects.parts) add(part);
  add(subjects.content);
  return verdict;
}

Duration CrashLedger::quarantineOf(std::size_t crashes) const {
  Duration quarantine = limits_.first_quarantine;
  for (std::size_t further = limits_.quarantine_threshold; further < crashes; ++further) {
    quarantine = std::min(limits_.longest_quarantine, quarantine * limits_.quarantine_growth);
  }
  return quarantine;
}

/// A part runs at many engines at once, and all may crash before the first crash is known. Then one run at a time tells
/// whether the part is the cause.
std::size_t CrashLedger::weigh(const RequestFingerprint& subject, const Crashes& crashes,
                               const std::set<EngineId>& explained) const {
  const std::size_t in_series = countUnexplained(crashes, explained);
  if (!isPromptPart(subject) || crashes.size() < limits_.serial_part_threshold) return in_series;
  const std::size_t engines = unexplainedEngines(crashes, explained).size();
  const bool is_confirmed = in_series > 1 && engines > limits_.many_engines_threshold;
  const std::size_t least = is_confirmed ? limits_.quarantine_threshold : limits_.serial_part_threshold;
  return std::max(in_series, std::min(engines, least));
}

/// Greedy approximation of the smallest set of subjects that explains all crashes: repeatedly takes the subject with
/// the most unexplained crashes.
void CrashLedger::updateVerdicts() {
  std::set<EngineId> explained;
  // Subjects with fewer crashes explain none.
  std::vector<Entries::value_type*> open;
  for (auto& item : entries_) {
    item.second.verdict = {};
    if (item.second.crashes.size() >= limits_.quarantine_threshold) open.push_back(&item);
  }
  for (std::size_t group = 1; !open.empty(); ++group) {
    std::size_t most = 0;
    std::set<EngineId> engines;
    for (const Entries::value_type* item : open) {
      const std::size_t crashes = weigh(item->first, item->second.crashes, explained);
      if (crashes <= most) continue;
      most = crashes;
      engines = unexplainedEngines(item->second.crashes, explained);
    }
    if (most < limits_.quarantine_threshold) break;
    std::vector<Entries::value_type*> members;
    for (Entries::value_type* item : open) {
      if (unexplainedEngines(item->second.crashes, explained) == engines) members.push_back(item);
    }
    judgeGroup(members, most, group);
    for (Entries::value_type* member : members) std::erase(open, member);
    explained.insert(engines.begin(), engines.end());
  }
  for (auto& [subject, entry] : entries_) {
    if (entry.crashes.empty() || entry.verdict.group != 0) continue;
    entry.verdict.crashes = weigh(subject, entry.crashes, explained);
    entry.verdict.requires_lease =
        !isPromptPart(subject) && countUnexplained(entry.crashes, {}) >= limits_.quarantine_threshold;
  }
}

void CrashLedger::judgeGroup(const std::vector<Entries::value_type*>& members, std::size_t crashes,
                             std::size_t group) const {
  for (Entries::value_type* member : members) {
    Entry& entry = member->second;
    const bool is_part = isPromptPart(member->first);
    const bool is_conclusive = members.size() == 1 || (!is_part && crashes >= limits_.ambiguous_threshold);
    SubjectVerdict& verdict = entry.verdict;
    verdict.crashes = crashes;
    verdict.group = group;
    verdict.group_size = members.size();
    verdict.group_refused_until = entry.last_crash + quarantineOf(countUnexplained(entry.crashes, {}));
    if (is_conclusive) verdict.refused_until = verdict.group_refused_until;
    verdict.requires_lease = is_conclusive || !is_part;
  }
}

Instant CrashLedger::expiresAt(const Entry& entry) const {
  const Instant last = std::max(entry.last_crash, entry.cleared_at);
  const std::size_t crashes = countUnexplained(entry.crashes, {});
  const bool is_quarantined = crashes >= limits_.quarantine_threshold;
  const Duration kept = is_quarantined ? std::max(limits_.retention, 2 * quarantineOf(crashes)) : limits_.retention;
  return last + kept;
}

void CrashLedger::expire(Instant now) {
  const std::size_t forgotten = std::erase_if(entries_, [&](const auto& item) { return now > expiresAt(item.second); });
  if (forgotten > 0) is_up_to_date_ = false;
}

void CrashLedger::evictExcess() {
  while (entries_.size() > limits_.max_requests) {
    const auto least = std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
      return std::pair(left.second.crashes.size(), left.second.last_crash) <
             std::pair(right.second.crashes.size(), right.second.last_crash);
    });
    entries_.erase(least);
  }
}

std::size_t CrashLedger::refusedRequests(Instant now) {
  if (!std::exchange(is_up_to_date_, true)) updateVerdicts();
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [now](const auto& item) { return item.second.verdict.isRefused(now); }));
}

std::vector<CrashRecord> CrashLedger::crashes(Instant now, std::size_t most) const {
  std::vector<CrashRecord> repeated;
  std::vector<CrashRecord> single;
  for (const auto& [content, entry] : entries_) {
    std::vector<CrashRecord>& records = entry.crashes.size() > 1 ? repeated : single;
    for (const auto& crash : entry.crashes) records.push_back(makeRecord(now, content, crash));
  }
  const auto is_newer = [](const CrashRecord& left, const CrashRecord& right) { return left.age_ms < right.age_ms; };
  std::sort(repeated.begin(), repeated.end(), is_newer);
  std::sort(single.begin(), single.end(), is_newer);
  repeated.insert(repeated.end(), single.begin(), single.end());
  if (repeated.size() > most) repeated.resize(most);
  return repeated;
}

std::vector<CrashRecord> CrashLedger::crashesToKeep(Instant now) {
  if (!std::exchange(is_up_to_date_, true)) updateVerdicts();
  std::vector<const Entries::value_type*> kept;
  for (const auto& item : entries_) {
    const SubjectVerdict& verdict = item.second.verdict;
    if (verdict.requires_lease || verdict.crashes >= limits_.kept_threshold) kept.push_back(&item);
  }
  std::stable_sort(kept.begin(), kept.end(), [](const auto* left, const auto* right) {
    return std::pair(left->second.crashes.size(), left->second.last_crash) >
           std::pair(right->second.crashes.size(), right->second.last_crash);
  });
  if (kept.size() > limits_.max_kept_requests) kept.resize(limits_.max_kept_requests);
  std::vector<CrashRecord> records;
  for (const auto* item : kept) {
    for (const auto& crash : item->second.crashes) records.push_back(makeRecord(now, item->first, crash));
  }
  return records;
}

bool CrashLedger::hasCrashes(const RequestFingerprint& subject) const {
  const auto found = entries_.find(subject);
  return found != entries_.end() && !found->second.crashes.empty();
}

Instant CrashLedger::lastCrashedRunBegan(const RequestFingerprint& subject) const {
  Instant began_at = Instant::min();
  const auto found = entries_.find(subject);
  if (found == entries_.end()) return began_at;
  for (const auto& [engine, crash] : found->second.crashes) began_at = std::max(began_at, crash.began_at);
  return began_at;
}

bool CrashLedger::isCleared(Instant crashed_at, const RequestFingerprint& content) const {
  const auto found = entries_.find(content);
  return found != entries_.end() && clears(found->second, crashed_at);
}

std::vector<CompleteAnswerRecord> CrashLedger::innocents(Instant now, std::size_t most) const {
  std::vector<CompleteAnswerRecord> records;
  for (const auto& [content, entry] : entries_) {
    if (entry.cleared_at == Instant::min() || records.size() >= most) continue;
    records.push_back({content, toMillis(now - entry.cleared_at)});
  }
  return records;
}

std::uint64_t CrashLedger::digest() const {
  std::uint64_t digest = 0;
  for (const auto& [content, entry] : entries_) {
    for (const auto& [engine, crash] : entry.crashes) {
      const std::uint64_t seed = XXH3_64bits(content.value.data(), content.value.size());
      digest ^= XXH3_64bits_withSeed(engine.value.data(), engine.value.size(), seed);
    }
  }
  return digest;
}

}  // namespace hatchfork::request
