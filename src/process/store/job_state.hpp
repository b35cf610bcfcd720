#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/consensus/state_machine.hpp"
#include "process/store/job_commands.hpp"
#include "process/store/job_snapshot.hpp"
#include "process/store/store_messages.hpp"
#include "process/store/stored_crashes.hpp"
#include "process/store/stored_job.hpp"

namespace hatchfork::store {

/// Replicated state of a store group: jobs, their items and their lists of results. An item enters the list once, at a
/// position that never changes. Threading: control thread only.
class JobState final : public consensus::StateMachine {
 public:
  /// What has changed since the last call; for the executor and for held reads.
  using ChangeHandler = std::function<void(const JobId& job)>;

  explicit JobState(ChangeHandler on_change = nullptr) : on_change_(std::move(on_change)) {}

  std::string apply(consensus::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  Status restore(std::string_view bytes) override;
  void beginSnapshot() override;
  std::optional<std::string> nextSnapshotPiece() override;
  void abandonSnapshot() override { cut_.reset(); }
  std::size_t snapshotBytesHeld() const override { return cut_ ? cut_->bytesHeld() : 0; }
  void beginRestore() override;
  Status restorePiece(std::string piece) override;
  Status endRestore() override;

  const std::map<JobId, StoredJob>& jobs() const { return jobs_; }
  /// Null for an unknown job.
  const StoredJob* find(const JobId& job) const;
  /// Whether a failure of an open item in that run is counted.
  bool isFailureCounted(const JobId& job, const std::string& item, std::uint64_t run) const;
  /// Tokens of the open items of the tenant's jobs on the limit's route that are not ended.
  std::uint64_t waitingTokens(const WaitingLimit& limit) const;
  /// Tokens of all open items.
  std::uint64_t waitingTokens() const;
  /// Tokens of all items that were listed here so far; only grows.
  std::uint64_t listedTokens() const { return listed_tokens_; }
  /// Ends of engines under requests that are refused for them.
  const StoredCrashes& keptCrashes() const { return kept_crashes_; }
  /// Bytes of bodies and texts that are held.
  std::uint64_t heldBytes() const { return held_bytes_; }
  /// What the state takes in memory, with headers and tables, by the number of its items.
  std::uint64_t memoryBytes() const;
  /// What it will take once the open items have results of the size that results have here.
  std::uint64_t expectedBytes() const;

 private:
  std::string_view applyOne(const SubmitJob& command);
  bool exceedsLimit(const SubmitJob& command) const;
  void rememberRefusal(std::uint64_t attempt);
  bool applyOne(const ListResults& command);
  bool listResult(StoredJob& job, const JobResult& entry);
  bool applyOne(const SaveProgress& command);
  std::string_view applyOne(const EndJob& command);
  bool applyOne(const DropJobs& command);
  bool applyOne(const SaveCrashes& command);
  void addJob(JobSubmission submission);
  /// An open item has become a listed one.
  void noteListed(const ItemResult& result);
  SnapshotTail tail() const;
  void clear();
  void takeUp(JobSnapshot entry);
  void takeUp(const SnapshotTail& tail);
  void changed(const JobId& job) const;

  ChangeHandler on_change_;
  std::map<JobId, StoredJob> jobs_;
  /// Tries that were refused, the newest last.
  std::deque<std::uint64_t> refused_attempts_;
  StoredCrashes kept_crashes_;
  std::uint64_t held_bytes_ = 0;
  std::uint64_t listed_tokens_ = 0;
  /// Items of the jobs that are kept: open ones, and listed ones with the bytes of their texts.
  std::uint64_t open_items_ = 0;
  std::uint64_t listed_items_ = 0;
  std::uint64_t listed_bytes_ = 0;
  /// The snapshot under way.
  std::optional<JobSnapshotCut> cut_;
  /// What has come of a snapshot that is being taken up, where it is not in pieces of whole jobs: an older program's.
  std::string uncut_;
  bool restoring_in_pieces_ = false;
  bool tail_taken_up_ = false;
};

/// Events whose data a text joins by line feeds.
std::uint64_t eventsIn(std::string_view text);

/// Bytes of the bodies of all items of a job.
std::size_t bodyBytesOf(const JobSubmission& job);

/// Tokens of all items of a job.
std::uint64_t tokensOf(const JobSubmission& job);

/// The results of a job from a position on, at most about `most_bytes` of text but at least one where there is one.
ResultsReply resultsFrom(const StoredJob& job, std::uint64_t from, std::size_t most_bytes);

}  // namespace hatchfork::store
