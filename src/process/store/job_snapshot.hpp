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
#include "process/store/kept_ends.hpp"
#include "process/store/stored_job.hpp"

/// Snapshot of a store group: one CBOR map with the fields `jobs`, `refused_attempts`, `crashes`, `keeps_ends` and
/// `kept_ends`. The map and the list of jobs have indefinite length, so that the map can be split into pieces: the
/// head, any number of pieces with whole jobs, and the tail.
namespace hatchfork::store {

/// A job as encoded in snapshots.
struct JobSnapshot {
  JobSubmission submission;
  std::vector<ItemResult> results;
  std::vector<ItemProgress> progress;
  bool ended = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSnapshot, submission, results, progress, ended)

/// Content of a snapshot besides the jobs.
struct SnapshotTail {
  std::vector<std::uint64_t> refused_attempts;
  std::vector<StoredCrash> crashes;
  bool keeps_ends = false;
  std::vector<KeptEnd> kept_ends;
};
/// Snapshots of older releases have no refused attempts, no crashes and no kept ends.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SnapshotTail, refused_attempts, crashes, keeps_ends, kept_ends)

/// The first piece of each split snapshot.
std::string_view snapshotHead();
std::string encodeTail(const SnapshotTail& tail);
bool isTail(std::string_view piece);
/// Malformed pieces are `kProtocol`.
Result<SnapshotTail> decodeTail(std::string_view piece);
Result<std::vector<JobSnapshot>> decodeJobs(std::string_view piece);

/// State of a job at the start of a snapshot, limited to the parts that have changed since (copy on write).
struct JobPreImage {
  /// Number of results at the start of the snapshot; results are only appended.
  std::size_t results = 0;
  bool ended = false;
  /// Items listed since, by position; listing releases the bodies of the items in the job.
  std::unordered_map<std::size_t, OpaqueItem> listed;
  /// Former progress of items whose progress has changed since, by position; absent if an item had no progress.
  std::unordered_map<std::size_t, std::optional<ItemRunProgress>> progress;
  /// The whole job, if dropped since.
  std::optional<StoredJob> dropped;
};

/// Appends a job in the present state, or in the state of `before` if not null.
void appendJob(std::string& piece, const StoredJob& job, const JobPreImage* before);

/// Writes a consistent snapshot of the jobs at the time of construction, piece by piece, while the jobs change. The
/// owner of the jobs calls a `before...` function before each change. The writer keeps only the data that a change
/// replaces, and writes changed jobs first to release that data early.
class JobSnapshotWriter {
 public:
  JobSnapshotWriter(const std::map<JobId, StoredJob>& jobs, const SnapshotTail& tail);

  /// Returns the next piece; absent after the last piece.
  std::optional<std::string> nextPiece(const std::map<JobId, StoredJob>& jobs);
  /// Bytes of bodies and texts that are kept for the snapshot alone.
  std::size_t bytesHeld() const { return bytes_held_; }

  /// To be called before an item is listed; moves the body and the headers out of the item.
  void beforeListing(const StoredJob& job, std::size_t position, OpaqueItem& item);
  void beforeProgress(const StoredJob& job, std::size_t position);
  /// To be called before a job is dropped; moves the job.
  void beforeDrop(StoredJob& job);

 private:
  /// Returns null for a job that was written already, is new, or was dropped.
  JobPreImage* preImageOf(const JobId& job);
  void appendNext(std::string& piece, const std::map<JobId, StoredJob>& jobs);

  /// Jobs that are not written yet.
  std::map<JobId, JobPreImage> pending_;
  /// Jobs in `pending_` that have changed.
  std::set<JobId> changed_;
  std::string tail_;
  std::size_t bytes_held_ = 0;
  bool head_written_ = false;
  bool tail_written_ = false;
};

}  // namespace hatchfork::store
