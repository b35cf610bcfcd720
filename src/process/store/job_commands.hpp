#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "process/consensus/state_machine.hpp"
#include "process/store/stored_crashes.hpp"
#include "version/batch_submission.hpp"

/// Commands of a store group's replicated log.
namespace hatchfork::store {

/// Stores a job, unless it was ended before, or would exceed the limit of waiting work on its route. A second
/// submission with the same identifier changes nothing. A refusal is final for all copies of the attempt, since it may
/// have reached the submitter already.
struct SubmitJob {
  static constexpr std::string_view kKind = "submit";
  JobSubmission job;
  WaitingLimit limit;
  /// Identifies the attempt. Zero: unnamed, its refusal is not recorded.
  std::uint64_t attempt = 0;
};
/// Entries that were logged by older versions have neither a limit nor an attempt.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubmitJob, job, limit, attempt)

/// Values that `JobState::apply` returns.
inline constexpr std::string_view kApplyChanged = "changed";
inline constexpr std::string_view kApplyUnchanged = "unchanged";
inline constexpr std::string_view kApplyOverLimit = "over_limit";
inline constexpr std::string_view kApplyUnknown = "unknown_job";
/// Of `EndJob`: there is no such job, and its end is kept, or not.
inline constexpr std::string_view kApplyEndKept = "end_kept";
inline constexpr std::string_view kApplyNoJob = "no_job";
/// Of `SubmitJob`: the job was ended before it was submitted, and is not stored.
inline constexpr std::string_view kApplyEndedBefore = "ended_before";

/// Result of one item of a job.
struct JobResult {
  JobId job;
  /// Contains the whole text, or the part after the progress that is stored up to `after_event`.
  ItemResult result;
  /// Zero: the text is whole.
  std::uint64_t after_event = 0;
  /// Chain of runs of which progress is stored up to `after_event`.
  std::uint64_t after_chain = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobResult, job, result, after_event, after_chain)

/// Progress of an open item: the text after the part that is stored up to `after_event` by the chain `after_chain`.
/// A chain is a run together with the runs before it, each of which resumed after the last event of its predecessor;
/// a chain is named by its last run. Texts of different chains are never joined in the middle.
struct ItemProgress {
  JobId job;
  std::string item;
  std::uint64_t after_event = 0;
  std::uint64_t after_chain = 0;
  std::uint64_t last_event = 0;
  std::uint64_t chain = 0;
  std::string text;
  /// Number of runs that ended with a failure of the item itself, over all leaders.
  std::uint32_t failures = 0;
  /// Failed runs that this entry reports. Each run counts once, no matter how often and by how many leaders it is
  /// reported.
  std::vector<std::uint64_t> failed_runs;
  /// Build of the engines that wrote the text; empty if it is not known.
  EngineBuild build;
};
/// Entries that were logged by older versions name neither the runs nor the build.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ItemProgress, job, item, after_event, after_chain, last_event, chain,
                                                text, failures, failed_runs, build)

/// Stores progress, so that a new leader resumes items where its predecessor was. Progress that does not continue what
/// is stored is skipped.
struct SaveProgress {
  static constexpr std::string_view kKind = "progress";
  std::vector<ItemProgress> items;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SaveProgress, items)

/// Adds results to the lists of their jobs. An item that is listed already, or whose job is unknown, is skipped, and so
/// is a text that does not continue the stored progress.
struct ListResults {
  static constexpr std::string_view kKind = "list";
  std::vector<JobResult> results;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListResults, results)

/// Ends a job: no further item of it is run. Returns `kApplyUnknown` for a job of another tenant. The end of a job that
/// the group does not have is kept, if all stores do so, so that a later submission of it is not accepted.
struct EndJob {
  static constexpr std::string_view kKind = "end";
  JobId job;
  /// Tenant of the caller; a job of another tenant is not ended.
  TenantId tenant;
};
/// Logs of older versions have no tenants.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndJob, job, tenant)

/// Removes jobs whose results may no longer be requested, and kept ends that no submission can be under way for.
struct DropJobs {
  static constexpr std::string_view kKind = "drop";
  std::vector<JobId> jobs;
  /// From this entry on, the group keeps the ends of jobs that it does not have, and of ended jobs that it removes. Set
  /// once all stores are of a release that does so; never by older releases.
  bool begins_to_keep_ends = false;
  /// Kept ends up to this entry of the log are removed.
  consensus::LogIndex ends_through = 0;
};
/// Logs of older versions keep no ends.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DropJobs, jobs, begins_to_keep_ends, ends_through)

using JobCommand = std::variant<SubmitJob, ListResults, SaveProgress, EndJob, DropJobs, SaveCrashes>;

}  // namespace hatchfork::store
