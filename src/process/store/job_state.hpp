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
#include "process/store/kept_ends.hpp"
#include "process/store/store_messages.hpp"
#include "process/store/stored_crashes.hpp"
#include "process/store/stored_job.hpp"

namespace hatchfork::store {

/// Replicated state of a store group: jobs, their items and their lists of results. The result of an item is listed
/// once, at a position that never changes. Threading: control thread only.
class JobState final : public consensus::StateMachine {
 public:
  /// Called for each job that has changed, to notify the executor and the pending reads.
  using ChangeHandler = std::function<void(const JobId& job)>;

  explicit JobState(ChangeHandler on_change = nullptr) : on_change_(std::move(on_change)) {}

  std::string apply(consensus::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  Status restore(std::string_view bytes) override;
  void beginSnapshot() override;
  std::optional<std::string> nextSnapshotPiece() override;
  void abandonSnapshot() override { snapshot_writer_.reset(); }
  std::size_t snapshotBytesHeld() const override { return snapshot_writer_ ? snapshot_writer_->bytesHeld() : 0; }
  void beginRestore() override;
  Status restorePiece(std::string piece) override;
  Status endRestore() override;

  const std::map<JobId, StoredJob>& jobs() const { return jobs_; }
  /// Returns null for an unknown job.
  const StoredJob* find(const JobId& job) const;
  /// True if the failure of the open item in that run has been counted.
  bool isFailureCounted(const JobId& job, const std::string& item, std::uint64_t run) const;
  /// Tokens of open items in the jobs of the limit's tenant and route that have not ended.
  std::uint64_t waitingTokens(const WaitingLimit& limit) const;
  /// Tokens of open items in all jobs that have not ended.
  std::uint64_t waitingTokens() const;
  /// Tokens of all items that this replica has listed so far; never decreases.
  std::uint64_t listedTokens() const { return listed_tokens_; }
  /// True once all stores keep the ends of jobs that the group does not have; then it stays so.
  bool keepsEnds() const { return keeps_ends_; }
  const KeptEnds& keptEnds() const { return kept_ends_; }
  /// Engine crashes that the group keeps, with the content of the request that ran.
  const StoredCrashes& keptCrashes() const { return kept_crashes_; }
  /// Bytes of item bodies, results and progress in memory.
  std::uint64_t heldBytes() const { return held_bytes_; }
  /// Estimated memory of the state in bytes, including headers and tables, from the number of items.
  std::uint64_t memoryBytes() const;
  /// Estimated memory in bytes once all open items have results of the present mean size.
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
  /// Updates the counters when the result of an open item is listed.
  void noteListed(const ItemResult& result);
  SnapshotTail tail() const;
  void clear();
  void restoreJob(JobSnapshot entry);
  void restoreTail(const SnapshotTail& tail);
  void changed(const JobId& job) const;

  ChangeHandler on_change_;
  std::map<JobId, StoredJob> jobs_;
  /// Attempts that were refused, the newest last.
  std::deque<std::uint64_t> refused_attempts_;
  StoredCrashes kept_crashes_;
  bool keeps_ends_ = false;
  KeptEnds kept_ends_;
  /// Entry of the log that is being applied.
  consensus::LogIndex applying_ = 0;
  std::uint64_t held_bytes_ = 0;
  std::uint64_t listed_tokens_ = 0;
  /// Number of open and of listed items in all stored jobs, and the bytes of the listed results.
  std::uint64_t open_items_ = 0;
  std::uint64_t listed_items_ = 0;
  std::uint64_t listed_bytes_ = 0;
  /// The snapshot in progress.
  std::optional<JobSnapshotWriter> snapshot_writer_;
  /// Received part of a snapshot that is not split into pieces of whole jobs, as older releases send.
  std::string unsplit_snapshot_;
  bool is_split_snapshot_ = false;
  bool tail_restored_ = false;
};

/// Returns the number of events in a text that joins their data by line feeds.
std::uint64_t eventsIn(std::string_view text);

/// Returns the bytes of the bodies of all items of a job.
std::size_t bodyBytesOf(const JobSubmission& job);

/// Returns the tokens of all items of a job.
std::uint64_t tokensOf(const JobSubmission& job);

/// Returns the results of a job from a position on, limited to about `max_bytes` of text; at least one result if there
/// is any.
ResultsReply resultsFrom(const StoredJob& job, std::uint64_t from, std::size_t max_bytes);

}  // namespace hatchfork::store
