#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/result.hpp"
#include "process/store/stored_job.hpp"

/// The snapshot of a store group. As a whole it is one CBOR map with the fields `jobs`, `refused_attempts` and
/// `crashes`; map and list of jobs have no length in front, so that the map can be cut into pieces: its head, any
/// number of pieces of whole jobs, and its tail.
namespace hatchfork::store {

/// A job as it travels in snapshots.
struct JobSnapshot {
  JobSubmission submission;
  std::vector<ItemResult> results;
  std::vector<ItemProgress> progress;
  bool ended = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSnapshot, submission, results, progress, ended)

/// What a snapshot holds beside the jobs.
struct SnapshotTail {
  std::vector<std::uint64_t> refused_attempts;
  std::vector<StoredCrash> crashes;
};
/// Snapshots of older programs have no refusals and no crashes.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SnapshotTail, refused_attempts, crashes)

/// The first piece of each snapshot in pieces.
std::string_view snapshotHead();
std::string encodeTail(const SnapshotTail& tail);
bool isTail(std::string_view piece);
/// Malformed pieces are `kProtocol`.
Result<SnapshotTail> decodeTail(std::string_view piece);
Result<std::vector<JobSnapshot>> decodeJobs(std::string_view piece);

/// A job as it was when a snapshot began, as far as it has changed since.
struct JobBefore {
  /// Results are only added, so their number tells which there were.
  std::size_t results = 0;
  bool ended = false;
  /// Items that were listed since, by their position: their bodies are gone from the job.
  std::unordered_map<std::size_t, OpaqueItem> listed;
  /// Progress of items whose progress has changed since; absent for none.
  std::unordered_map<std::size_t, std::optional<ItemRunProgress>> progress;
  /// The job, where it was dropped since.
  std::optional<StoredJob> dropped;
};

/// Appends a job as it is, or as it was before.
void appendJob(std::string& piece, const StoredJob& job, const JobBefore* before);

/// Hands out the jobs as they were when it was made, while they change. Whoever changes a job tells it just before. It
/// keeps only what a change takes away, and hands out changed jobs first.
class JobSnapshotCut {
 public:
  JobSnapshotCut(const std::map<JobId, StoredJob>& jobs, const SnapshotTail& tail);

  /// The next piece; absent after the last one.
  std::optional<std::string> nextPiece(const std::map<JobId, StoredJob>& jobs);
  /// Bytes of bodies and texts that are kept for it alone.
  std::size_t bytesHeld() const { return bytes_held_; }

  /// The item's body and headers are about to be given up; they are taken from it.
  void beforeListing(const StoredJob& job, std::size_t position, OpaqueItem& item);
  void beforeProgress(const StoredJob& job, std::size_t position);
  /// The job is about to be forgotten; it is taken.
  void beforeDrop(StoredJob& job);

 private:
  /// Null for a job that was handed out, is new, or was dropped.
  JobBefore* changing(const JobId& job);
  void appendNext(std::string& piece, const std::map<JobId, StoredJob>& jobs);

  /// Jobs that are to be handed out.
  std::map<JobId, JobBefore> pending_;
  /// Those of them that have changed.
  std::set<JobId> changed_;
  std::string tail_;
  std::size_t bytes_held_ = 0;
  bool head_given_ = false;
  bool tail_given_ = false;
};

}  // namespace hatchfork::store
