#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "process/batch/job.hpp"
#include "process/batch/run_claims.hpp"
#include "process/consensus/state_machine.hpp"
#include "process/control/control_messages.hpp"

namespace hatchfork::batch {

/// Maximum number and maximum size in bytes of the results in one `ResultsReply`. A page may exceed the size
/// limit by its last result.
constexpr std::uint32_t kMaxResultsPerPage = 5000;
constexpr std::size_t kMaxResultBytesPerPage = 4u << 20;

/// The batch jobs of one replicated group. Commands: `CreateJobRequest`, `AddPartRequest`, `SealJobRequest`,
/// `CancelJobRequest`, `StartItemsRequest`, `CompleteItemsRequest`, `ClaimRunRequest`; replies: the matching
/// `ControlReply` or `ErrorReply`. Every command may be resent: jobs are identified by (tenant, idempotency key), parts
/// by number and content, outcomes by the item, whose first terminal state wins. A resent `CreateJobRequest` is
/// compared without its deadline, which gateways compute from the time of receipt; the first deadline applies.
/// Threading: control thread only.
class BatchStateMachine : public consensus::StateMachine {
 public:
  explicit BatchStateMachine(GroupId group) : group_(group) {}

  std::string apply(consensus::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  Status restore(std::string_view bytes) override;

  /// Returns `JobReply`, or `ErrorReply` with `kNotFound` if the job is unknown or belongs to another tenant.
  control::ControlReply getJob(const control::GetJobRequest& request) const;
  /// Returns `JobReply`, or `ErrorReply` with `kNotFound`.
  control::ControlReply findNamedJob(const control::FindJobRequest& request) const;
  /// Returns `ResultsReply` with the terminal items from `from` up to the first item that is not terminal or the page
  /// limit; a reader of a running job polls from `next`. A job that is not sealed gives `kConflict`.
  control::ControlReply getResults(const control::GetResultsRequest& request) const;

  /// Null for an unknown job. The pointer is valid until the next `apply` or `restore`.
  const Job* findJob(const JobId& id) const;
  const Job* findJob(JobNumber number) const;
  /// Returns the sealed, unfinished jobs with a seal sequence above `sequence`, in ascending order. The cost does not
  /// depend on the number of finished jobs.
  std::vector<const Job*> runningJobsAfter(std::uint64_t sequence) const;
  bool hasRunningJobs() const { return !running_.empty(); }
  /// Running jobs that have items in state `kStarted`.
  std::vector<const Job*> jobsWithStartedItems() const;
  GroupId group() const { return group_; }
  std::size_t jobCount() const { return jobs_.size(); }
  /// Returns the memory used by all jobs in bytes, without allocator overhead. Iterates over all jobs.
  std::size_t memoryBytes() const;

 private:
  struct JobName {
    TenantId tenant;
    std::string idempotency_key;
    auto operator<=>(const JobName&) const = default;
  };

  struct Applier;

  control::ControlReply create(const control::CreateJobRequest& request);
  control::ControlReply addPart(const control::AddPartRequest& request);
  control::ControlReply seal(const control::SealJobRequest& request);
  control::ControlReply cancel(const control::CancelJobRequest& request);
  control::ControlReply start(const control::StartItemsRequest& request);
  control::ControlReply complete(const control::CompleteItemsRequest& request);
  Job* mutableJob(const JobId& id);
  void index(const Job& job);

  GroupId group_;
  JobNumber last_number_ = 0;
  std::uint64_t last_seal_sequence_ = 0;
  /// Highest wall time of the commands applied so far, so that recorded times never decrease.
  WallMillis latest_time_ = 0;
  std::map<JobNumber, Job> jobs_;
  RunClaims claims_;
  // Indexes, rebuilt by `restore`.
  std::map<JobName, JobNumber> by_name_;
  std::map<std::uint64_t, JobNumber> running_;
  std::set<JobNumber> with_started_;
};

}  // namespace hatchfork::batch
