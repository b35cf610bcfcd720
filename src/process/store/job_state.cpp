#include "process/store/job_state.hpp"

#include <algorithm>
#include <utility>

#include "common/codec.hpp"
#include "common/text_memory.hpp"

namespace hatchfork::store {
namespace {

/// Snapshot that is decoded as a whole.
struct StateSnapshot {
  std::vector<JobSnapshot> jobs;
  std::vector<std::uint64_t> refused_attempts;
  std::vector<StoredCrash> crashes;
  bool keeps_ends = false;
  std::vector<KeptEnd> kept_ends;
};
/// Snapshots of older releases have no refused attempts, no crashes and no kept ends.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StateSnapshot, jobs, refused_attempts, crashes, keeps_ends, kept_ends)

/// Returns true if `entry` adds a failure that was not counted before.
bool noteFailures(ItemRunProgress& progress, const ItemProgress& entry) {
  std::uint32_t failures = progress.failures;
  for (const std::uint64_t run : entry.failed_runs) {
    if (progress.failed_runs.insert(run).second) ++failures;
  }
  failures = std::max(failures, entry.failures);
  return std::exchange(progress.failures, failures) != failures;
}

/// Estimated memory of an item besides its body or text: identifiers, headers, table entries.
constexpr std::uint64_t kOpenItemBytes = 1000;
constexpr std::uint64_t kListedItemBytes = 350;

/// Copies of a refused attempt arrive within seconds, so that only recent refusals are needed.
constexpr std::size_t kMaxRememberedRefusals = 2000;

std::string_view nameOf(bool changed) {
  return changed ? kApplyChanged : kApplyUnchanged;
}
std::string_view nameOf(std::string_view outcome) {
  return outcome;
}

}  // namespace

std::string JobState::apply(consensus::LogIndex index, std::string_view command) {
  applying_ = index;
  Result<JobCommand> decoded = decodeTagged<JobCommand>(command);
  if (!isOk(decoded)) return "malformed";
  return std::string(std::visit([this](const auto& body) { return nameOf(applyOne(body)); }, valueOf(decoded)));
}

std::string_view JobState::applyOne(const SubmitJob& command) {
  if (const StoredJob* job = find(command.job.id)) {
    return job->isVisibleTo(command.job.tenant) ? kApplyUnchanged : kApplyUnknown;
  }
  if (kept_ends_.contains(command.job.id, command.job.tenant)) return kApplyEndedBefore;
  if (exceedsLimit(command)) {
    rememberRefusal(command.attempt);
    return kApplyOverLimit;
  }
  addJob(command.job);
  changed(command.job.id);
  return kApplyChanged;
}

bool JobState::exceedsLimit(const SubmitJob& command) const {
  const auto refused = std::find(refused_attempts_.begin(), refused_attempts_.end(), command.attempt);
  if (command.attempt != 0 && refused != refused_attempts_.end()) return true;
  if (command.limit.most_tokens == 0) return false;
  const std::uint64_t waiting = waitingTokens(command.limit);
  return waiting + tokensOf(command.job) > command.limit.most_tokens;
}

void JobState::rememberRefusal(std::uint64_t attempt) {
  if (attempt == 0) return;
  refused_attempts_.push_back(attempt);
  if (refused_attempts_.size() > kMaxRememberedRefusals) refused_attempts_.pop_front();
}

std::uint64_t JobState::waitingTokens(const WaitingLimit& limit) const {
  std::uint64_t waiting = 0;
  for (const auto& [id, job] : jobs_) {
    const JobSubmission& submission = job.submission;
    const bool counts =
        submission.tenant == limit.tenant && submission.host == limit.host && submission.path.starts_with(limit.prefix);
    if (counts && !job.ended) waiting += job.open_tokens;
  }
  return waiting;
}

std::uint64_t JobState::waitingTokens() const {
  std::uint64_t waiting = 0;
  for (const auto& [id, job] : jobs_) waiting += job.ended ? 0 : job.open_tokens;
  return waiting;
}

std::uint64_t eventsIn(std::string_view text) {
  if (text.empty()) return 0;
  return 1 + static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
}

std::size_t bodyBytesOf(const JobSubmission& job) {
  std::size_t bytes = 0;
  for (const OpaqueItem& item : job.items) bytes += item.body.size();
  return bytes;
}

std::uint64_t tokensOf(const JobSubmission& job) {
  std::uint64_t tokens = 0;
  for (const OpaqueItem& item : job.items) tokens += item.tokens;
  return tokens;
}

void JobState::addJob(JobSubmission submission) {
  StoredJob& job = jobs_[submission.id];
  job.submission = std::move(submission);
  for (std::size_t position = 0; position < job.submission.items.size(); ++position) {
    const OpaqueItem& item = job.submission.items[position];
    if (job.open_items.emplace(item.id, position).second) {
      job.open_tokens += item.tokens;
      ++open_items_;
    }
    held_bytes_ += item.body.size();
  }
}

void JobState::noteListed(const ItemResult& result) {
  --open_items_;
  ++listed_items_;
  listed_bytes_ += result.text.size();
}

std::uint64_t JobState::memoryBytes() const {
  return held_bytes_ + open_items_ * kOpenItemBytes + listed_items_ * kListedItemBytes + kept_ends_.bytes();
}

std::uint64_t JobState::expectedBytes() const {
  const std::uint64_t mean_text = listed_items_ == 0 ? 0 : listed_bytes_ / listed_items_;
  return memoryBytes() + open_items_ * mean_text;
}

bool JobState::applyOne(const ListResults& command) {
  std::set<JobId> touched;
  for (const JobResult& entry : command.results) {
    const auto job = jobs_.find(entry.job);
    if (job == jobs_.end()) continue;
    if (listResult(job->second, entry)) touched.insert(entry.job);
  }
  for (const JobId& job : touched) changed(job);
  return !touched.empty();
}

bool JobState::listResult(StoredJob& job, const JobResult& entry) {
  const auto open = job.open_items.find(entry.result.id);
  if (open == job.open_items.end()) return false;
  const auto progress = job.progress.find(entry.result.id);
  if (entry.after_event != 0) {
    const bool follows = progress != job.progress.end() && progress->second.last_event == entry.after_event &&
                         progress->second.chain == entry.after_chain;
    if (!follows) return false;
  }
  ItemResult result = entry.result;
  if (entry.after_event != 0) {
    result.text = progress->second.text;
    appendExactly(result.text, entry.result.text);
  }
  OpaqueItem& item = job.submission.items[open->second];
  held_bytes_ -= item.body.size();
  if (snapshot_writer_) snapshot_writer_->beforeListing(job, open->second, item);
  if (progress != job.progress.end()) held_bytes_ -= progress->second.text.size();
  held_bytes_ += result.text.size();
  releaseMemory(item.body);
  item.headers = std::vector<ItemHeader>();
  job.open_tokens -= item.tokens;
  listed_tokens_ += item.tokens;
  job.open_items.erase(open);
  noteListed(result);
  job.progress.erase(result.id);
  job.results.push_back(std::move(result));
  return true;
}

bool JobState::isFailureCounted(const JobId& job, const std::string& item, std::uint64_t run) const {
  const StoredJob* stored = find(job);
  if (stored == nullptr) return false;
  const auto progress = stored->progress.find(item);
  return progress != stored->progress.end() && progress->second.failed_runs.contains(run);
}

bool JobState::applyOne(const SaveProgress& command) {
  bool saved = false;
  for (const ItemProgress& entry : command.items) {
    const auto job = jobs_.find(entry.job);
    if (job == jobs_.end()) continue;
    const auto open = job->second.open_items.find(entry.item);
    if (open == job->second.open_items.end()) continue;
    if (snapshot_writer_) snapshot_writer_->beforeProgress(job->second, open->second);
    ItemRunProgress& progress = job->second.progress[entry.item];
    saved = noteFailures(progress, entry) || saved;
    const bool follows = progress.last_event == entry.after_event && progress.chain == entry.after_chain;
    if (!follows || entry.last_event <= entry.after_event) continue;
    progress.last_event = entry.last_event;
    progress.chain = entry.chain;
    progress.build = entry.build;
    appendExactly(progress.text, entry.text);
    held_bytes_ += entry.text.size();
    saved = true;
  }
  return saved;
}

std::string_view JobState::applyOne(const EndJob& command) {
  const auto job = jobs_.find(command.job);
  if (job == jobs_.end()) {
    if (!keeps_ends_) return kApplyNoJob;
    kept_ends_.add({command.job, command.tenant, applying_});
    return kApplyEndKept;
  }
  if (!job->second.isVisibleTo(command.tenant)) return kApplyUnknown;
  if (job->second.ended) return kApplyUnchanged;
  job->second.ended = true;
  changed(command.job);
  return kApplyChanged;
}

bool JobState::applyOne(const DropJobs& command) {
  const bool has_begun = command.begins_to_keep_ends && !std::exchange(keeps_ends_, true);
  const bool has_removed = kept_ends_.removeThrough(command.ends_through);
  bool dropped = has_begun || has_removed;
  for (const JobId& id : command.jobs) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) continue;
    if (keeps_ends_ && job->second.ended) kept_ends_.add({id, job->second.submission.tenant, applying_});
    held_bytes_ -= job->second.textBytes();
    open_items_ -= job->second.open_items.size();
    listed_items_ -= job->second.results.size();
    for (const ItemResult& result : job->second.results) listed_bytes_ -= result.text.size();
    if (snapshot_writer_) snapshot_writer_->beforeDrop(job->second);
    jobs_.erase(job);
    changed(id);
    dropped = true;
  }
  return dropped;
}

bool JobState::applyOne(const SaveCrashes& command) {
  const bool has_removed = kept_crashes_.remove(command.cleared);
  return kept_crashes_.add(command.crashes) || has_removed;
}

void JobState::changed(const JobId& job) const {
  if (on_change_) on_change_(job);
}

const StoredJob* JobState::find(const JobId& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

std::size_t StoredJob::textBytes() const {
  std::size_t bytes = 0;
  for (const OpaqueItem& item : submission.items) bytes += item.body.size();
  for (const ItemResult& result : results) bytes += result.text.size();
  for (const auto& [item, kept] : progress) bytes += kept.text.size();
  return bytes;
}

SnapshotTail JobState::tail() const {
  return SnapshotTail{std::vector<std::uint64_t>(refused_attempts_.begin(), refused_attempts_.end()),
                      kept_crashes_.all(), keeps_ends_, kept_ends_.all()};
}

std::string JobState::snapshot() const {
  std::string bytes(snapshotHead());
  for (const auto& [id, job] : jobs_) appendJob(bytes, job, nullptr);
  return bytes += encodeTail(tail());
}

void JobState::beginSnapshot() {
  snapshot_writer_.emplace(jobs_, tail());
}

std::optional<std::string> JobState::nextSnapshotPiece() {
  if (!snapshot_writer_) return std::nullopt;
  std::optional<std::string> piece = snapshot_writer_->nextPiece(jobs_);
  if (!piece) snapshot_writer_.reset();
  return piece;
}

Status JobState::restore(std::string_view bytes) {
  Result<StateSnapshot> decoded = decodeStruct<StateSnapshot>(bytes);
  if (!isOk(decoded)) return errorOf(decoded);
  StateSnapshot& whole = valueOf(decoded);
  clear();
  restoreTail(SnapshotTail{std::move(whole.refused_attempts), std::move(whole.crashes), whole.keeps_ends,
                           std::move(whole.kept_ends)});
  for (JobSnapshot& entry : whole.jobs) restoreJob(std::move(entry));
  return okStatus();
}

void JobState::clear() {
  snapshot_writer_.reset();
  jobs_.clear();
  held_bytes_ = 0;
  open_items_ = 0;
  listed_items_ = 0;
  listed_bytes_ = 0;
  refused_attempts_.clear();
  kept_crashes_ = {};
  keeps_ends_ = false;
  kept_ends_ = {};
}

void JobState::restoreTail(const SnapshotTail& tail) {
  refused_attempts_.assign(tail.refused_attempts.begin(), tail.refused_attempts.end());
  kept_crashes_ = {};
  kept_crashes_.add(tail.crashes);
  keeps_ends_ = tail.keeps_ends;
  kept_ends_ = {};
  for (const KeptEnd& end : tail.kept_ends) kept_ends_.add(end);
}

void JobState::restoreJob(JobSnapshot entry) {
  const JobId id = entry.submission.id;
  addJob(std::move(entry.submission));
  StoredJob& job = jobs_.at(id);
  job.results = std::move(entry.results);
  job.ended = entry.ended;
  for (const ItemResult& result : job.results) {
    const auto open = job.open_items.find(result.id);
    if (open != job.open_items.end()) {
      job.open_tokens -= job.submission.items[open->second].tokens;
      job.open_items.erase(open);
      noteListed(result);
    }
    held_bytes_ += result.text.size();
  }
  for (ItemProgress& progress : entry.progress) {
    held_bytes_ += progress.text.size();
    job.progress[progress.item] =
        ItemRunProgress{progress.last_event,
                        progress.chain,
                        std::move(progress.text),
                        progress.failures,
                        std::set<std::uint64_t>(progress.failed_runs.begin(), progress.failed_runs.end()),
                        std::move(progress.build)};
  }
  changed(id);
}

void JobState::beginRestore() {
  clear();
  releaseMemory(unsplit_snapshot_);
  is_split_snapshot_ = false;
  tail_restored_ = false;
}

Status JobState::restorePiece(std::string piece) {
  const bool is_first = !is_split_snapshot_ && unsplit_snapshot_.empty();
  if (is_first && piece == snapshotHead()) {
    is_split_snapshot_ = true;
    return okStatus();
  }
  if (!is_split_snapshot_) {
    unsplit_snapshot_ += piece;
    return okStatus();
  }
  if (isTail(piece)) {
    const Result<SnapshotTail> tail = decodeTail(piece);
    if (!isOk(tail)) return errorOf(tail);
    restoreTail(valueOf(tail));
    tail_restored_ = true;
    return okStatus();
  }
  Result<std::vector<JobSnapshot>> jobs = decodeJobs(piece);
  if (!isOk(jobs)) return errorOf(jobs);
  releaseMemory(piece);
  for (JobSnapshot& entry : valueOf(jobs)) restoreJob(std::move(entry));
  return okStatus();
}

Status JobState::endRestore() {
  if (is_split_snapshot_)
    return tail_restored_ ? okStatus() : Status(protocolError("snapshot truncated: the tail piece is missing"));
  const std::string whole = std::exchange(unsplit_snapshot_, {});
  return restore(whole);
}

ResultsReply resultsFrom(const StoredJob& job, std::uint64_t from, std::size_t max_bytes) {
  ResultsReply reply;
  reply.total = job.submission.items.size();
  reply.next = from;
  std::size_t bytes = 0;
  while (reply.next < job.results.size()) {
    const ItemResult& result = job.results[reply.next];
    bytes += result.text.size() + result.id.size();
    if (!reply.results.empty() && bytes > max_bytes) break;
    reply.results.push_back(result);
    ++reply.next;
  }
  return reply;
}

}  // namespace hatchfork::store
