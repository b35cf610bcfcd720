#include "process/store/run_table.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::store {

namespace {

/// The upper bits of a run's number are its term.
constexpr unsigned kTermShift = 32;

}  // namespace

void RunTable::startTerm(Instant now, std::uint64_t term) {
  clear();
  // Numbers continue to increase if the same term begins again.
  last_number_ = std::max(last_number_, term << kTermShift);
  announced_until_ = now + limits_.announcement_time;
  next_lease_ = now;
  next_reminder_ = announced_until_;
}

void RunTable::setRunners(std::map<ReplicaId, ZoneId> runners) {
  runners_ = std::move(runners);
}

std::size_t RunTable::runningAt(const ReplicaId& runner) const {
  const auto found = stores_.find(runner);
  return found == stores_.end() ? 0 : found->second.runs.size();
}

bool RunTable::isAvoided(Instant now, const ReplicaId& runner) const {
  const auto avoided = avoided_until_.find(runner);
  return avoided != avoided_until_.end() && now < avoided->second;
}

std::optional<ReplicaId> RunTable::storeWithFewestRuns(Instant now, const ZoneId* zone, std::size_t limit) const {
  std::optional<ReplicaId> best;
  std::size_t fewest = limit;
  for (const auto& [runner, its_zone] : runners_) {
    if (zone != nullptr && its_zone != *zone) continue;
    if (runner != self_ && isAvoided(now, runner)) continue;
    const std::size_t runs = runningAt(runner);
    if (runs >= fewest) continue;
    best = runner;
    fewest = runs;
  }
  return best;
}

std::optional<ReplicaId> RunTable::chooseRunner(Instant now, const ZoneId& zone) const {
  const std::size_t here = runningAt(self_);
  if (runs_.size() < limits_.local_runs && here < limits_.max_runs) return self_;
  const double mean = static_cast<double>(runs_.size()) / std::max<double>(1, static_cast<double>(runners_.size()));
  const auto even_share = static_cast<std::size_t>(limits_.max_ratio_to_mean * mean) + limits_.slack_above_mean;
  if (auto near = storeWithFewestRuns(now, &zone, std::min(even_share, limits_.max_runs))) return near;
  if (auto any = storeWithFewestRuns(now, nullptr, limits_.max_runs)) return any;
  if (here < limits_.max_runs) return self_;
  return std::nullopt;
}

std::uint64_t RunTable::begin(Instant now, const ReplicaId& runner) {
  const std::uint64_t number = ++last_number_;
  runs_[number] = Run{runner, now, 0};
  Runner& entry = stores_[runner];
  if (entry.runs.empty()) entry.last_report_at = now;
  entry.runs.insert(number);
  return number;
}

void RunTable::adopt(Instant now, const ReplicaId& runner, std::uint64_t number, std::uint64_t sequence) {
  runs_[number] = Run{runner, now, sequence};
  Runner& entry = stores_[runner];
  entry.last_report_at = now;
  entry.runs.insert(number);
}

void RunTable::setSequence(std::uint64_t number, std::uint64_t sequence) {
  const auto run = runs_.find(number);
  if (run != runs_.end()) run->second.sequence = sequence;
}

void RunTable::avoid(Instant now, const ReplicaId& runner) {
  avoided_until_[runner] = now + limits_.avoidance_time;
}

std::int64_t RunTable::reportStampOf(const ReplicaId& runner) const {
  const auto stamp = report_stamps_.find(runner);
  return stamp == report_stamps_.end() ? 0 : stamp->second;
}

CheckedReport RunTable::check(Instant now, const fleet::RunReport& report) {
  CheckedReport checked;
  report_stamps_[report.from] = report.stamp;
  for (const std::uint64_t number : report.running) {
    const auto run = runs_.find(number);
    if (run == runs_.end() || run->second.runner != report.from) refuse(report.from, number);
  }
  const auto runner = stores_.find(report.from);
  if (runner == stores_.end()) {
    checked.ignored = report.news;
    return checked;
  }
  runner->second.last_report_at = now;
  std::set<std::uint64_t> reported(report.running.begin(), report.running.end());
  for (const fleet::RunNews& news : report.news) {
    const auto run = runs_.find(news.number);
    if (run == runs_.end() || run->second.runner != report.from) {
      checked.ignored.push_back(news);
      continue;
    }
    if (news.sequence != run->second.sequence + 1) {
      checked.ignored.push_back(news);
      reported.erase(news.number);
      continue;
    }
    run->second.sequence = news.sequence;
    checked.news.push_back(news);
    if (news.ended) forget(news.number);
  }
  const auto current = stores_.find(report.from);
  if (current == stores_.end()) return checked;
  for (const std::uint64_t number : current->second.runs) {
    const bool is_recent = now < runs_.at(number).ordered_at + limits_.order_timeout;
    if (reported.contains(number) || (is_recent && runs_.at(number).sequence == 0)) continue;
    checked.lost.push_back(number);
  }
  for (const std::uint64_t number : checked.lost) stop(number);
  return checked;
}

std::vector<std::uint64_t> RunTable::takeLost(Instant now) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, runner] : stores_) {
    if (id == self_ || now <= runner.last_report_at + limits_.silence_timeout) continue;
    lost.insert(lost.end(), runner.runs.begin(), runner.runs.end());
    avoid(now, id);
  }
  for (const std::uint64_t number : lost) stop(number);
  return lost;
}

void RunTable::stop(std::uint64_t number) {
  const auto run = runs_.find(number);
  if (run == runs_.end()) return;
  next_leases_[run->second.runner].stopped.push_back(number);
  forget(number);
}

void RunTable::forget(std::uint64_t number) {
  const auto run = runs_.find(number);
  if (run == runs_.end()) return;
  const auto runner = stores_.find(run->second.runner);
  if (runner != stores_.end()) {
    runner->second.runs.erase(number);
    if (runner->second.runs.empty()) stores_.erase(runner);
  }
  runs_.erase(run);
}

std::map<ReplicaId, LeaseContent> RunTable::takeLeases(Instant now) {
  std::map<ReplicaId, LeaseContent> leases = std::exchange(next_leases_, {});
  if (now < next_lease_) return leases;
  const bool is_announcing = now < announced_until_;
  const bool is_reminder_due = now >= next_reminder_;
  if (is_reminder_due) next_reminder_ = now + limits_.reminder_interval;
  next_lease_ = now + (is_announcing ? limits_.announce_interval : limits_.lease_interval);
  for (const auto& [id, runner] : stores_) leases.try_emplace(id);
  for (auto& [id, numbers] : std::exchange(listed_, {})) leases[id].listed = std::move(numbers);
  if (!is_announcing && !is_reminder_due) return leases;
  for (const auto& [runner, zone] : runners_) leases.try_emplace(runner);
  return leases;
}

void RunTable::clear() {
  runs_.clear();
  stores_.clear();
  next_leases_.clear();
  listed_.clear();
  report_stamps_.clear();
}

}  // namespace hatchfork::store
