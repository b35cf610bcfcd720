#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "process/store/stored_crashes.hpp"
#include "version/batch_submission.hpp"

/// The commands of a store group's log.
namespace hatchfork::store {

/// Keeps a job, unless it does not fit beside what waits on its route. The same identifier again changes nothing. A
/// refusal holds for all copies of the try, since the submitter may have been told.
struct SubmitJob {
  static constexpr std::string_view kKind = "submit";
  JobSubmission job;
  WaitingLimit limit;
  /// Zero: not named, and never remembered.
  std::uint64_t attempt = 0;
};
/// Entries that older programs logged have neither a limit nor a try.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubmitJob, job, limit, attempt)

/// What `JobState::apply` answers.
inline constexpr std::string_view kApplyChanged = "changed";
inline constexpr std::string_view kApplyUnchanged = "unchanged";
inline constexpr std::string_view kApplyOverLimit = "over_limit";
inline constexpr std::string_view kApplyUnknown = "unknown_job";

struct JobResult {
  JobId job;
  /// The text, or what follows on the progress that is kept up to `after_event`.
  ItemResult result;
  /// Zero: the text is whole.
  std::uint64_t after_event = 0;
  /// The chain of runs whose progress is kept up to there.
  std::uint64_t after_chain = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobResult, job, result, after_event, after_chain)

/// How far an open item has got: the text that follows on what is kept up to `after_event` by the chain `after_chain`.
/// A chain is one run and the runs before it, each of which was asked to go on after the last event of the one before;
/// it is named by its last run. Texts of different chains are never joined in the middle.
struct ItemProgress {
  JobId job;
  std::string item;
  std::uint64_t after_event = 0;
  std::uint64_t after_chain = 0;
  std::uint64_t last_event = 0;
  std::uint64_t chain = 0;
  std::string text;
  /// Runs that ended with a failure of the item itself, over all leaders.
  std::uint32_t failures = 0;
  /// Runs of which that is told here. Each one counts once, however often and by how many leaders it is told.
  std::vector<std::uint64_t> failed_runs;
};
/// Entries that older programs logged do not name the runs.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ItemProgress, job, item, after_event, after_chain, last_event, chain,
                                                text, failures, failed_runs)

/// Keeps progress, so that a new leader goes on where the last one was. What does not follow on what is kept is passed
/// over.
struct SaveProgress {
  static constexpr std::string_view kKind = "progress";
  std::vector<ItemProgress> items;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SaveProgress, items)

/// Adds results to the lists of their jobs. An item that is listed already, or whose job is unknown, is passed over,
/// and so is a text that does not follow on the progress that is kept.
struct ListResults {
  static constexpr std::string_view kKind = "list";
  std::vector<JobResult> results;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListResults, results)

/// Ends a job: nothing more of it is run. Answers `kApplyUnknown` for a job of another tenant.
struct EndJob {
  static constexpr std::string_view kKind = "end";
  JobId job;
  /// Of the caller; a job of another one is not ended.
  TenantId tenant;
};
/// Logs of older programs have no tenants.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndJob, job, tenant)

/// Forgets jobs whose results nobody may ask for any more.
struct DropJobs {
  static constexpr std::string_view kKind = "drop";
  std::vector<JobId> jobs;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DropJobs, jobs)

using JobCommand = std::variant<SubmitJob, ListResults, SaveProgress, EndJob, DropJobs, SaveCrashes>;

}  // namespace hatchfork::store
