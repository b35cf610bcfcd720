#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "process/batch/batch_types.hpp"
#include "process/batch/byte_arena.hpp"

namespace hatchfork::batch {

/// Number of a job within its group, starting at 1.
using JobNumber = std::uint64_t;

/// Maximum number of items in a job.
constexpr std::uint32_t kMaxItemsPerJob = 370'000;
/// Maximum number of parts in a job.
constexpr std::uint32_t kMaxPartsPerJob = 10'000;
/// Maximum total size of the item names and bodies of a job, in bytes.
constexpr std::size_t kMaxBytesPerJob = std::size_t{1} << 30;

/// The gateway session and the attempt that started an unrepeatable item.
struct StartRecord {
  GatewayId gateway;
  std::uint64_t session = 0;
  AttemptNumber attempt = 0;
  bool operator==(const StartRecord&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartRecord, gateway, session, attempt)

/// Returns "job-<group>-<number>".
JobId makeJobId(GroupId group, JobNumber number);
/// Returns the group that stores a job, parsed from its identifier; absent if the identifier is malformed.
std::optional<GroupId> groupOfJob(const JobId& job);
/// Returns the number of a job within its group; absent if the identifier is malformed.
std::optional<JobNumber> numberOfJob(const JobId& job);

/// One batch job: its numbered parts, then its items in part order with their states and results. Items are stored
/// in byte arenas with fixed-size records, not as one object each. Invariant: an item's terminal state never changes.
/// Deterministic; threading: control thread only.
class Job {
 public:
  Job() = default;
  Job(JobId id, JobNumber number, JobSpec spec, WallMillis created_at);

  const JobId& id() const { return id_; }
  JobNumber number() const { return number_; }
  const JobSpec& spec() const { return spec_; }
  JobState state() const { return state_; }
  /// True once a cancellation was accepted, also after the job has finished.
  bool cancelled() const { return cancelled_; }
  /// Position in the order in which the jobs of the group were sealed, starting at 1; zero until sealed.
  std::uint64_t sealSequence() const { return seal_sequence_; }
  JobStatus status() const;

  /// Number of items; zero until sealed.
  ItemIndex itemCount() const { return static_cast<ItemIndex>(records_.size()); }
  ItemState itemState(ItemIndex index) const { return records_[index].state; }
  /// Returns the first pending item at or after `from`, or `itemCount()` if there is none.
  ItemIndex nextPending(ItemIndex from) const;
  /// Returns the name and body of an item. The body is empty once all items of its part are terminal.
  Item item(ItemIndex index) const;
  ItemResult result(ItemIndex index) const;
  /// Items in state `kStarted`, in index order.
  const std::map<ItemIndex, StartRecord>& started() const { return started_; }
  /// Returns the memory used by this job in bytes, without allocator overhead.
  std::size_t memoryBytes() const;

  Status addPart(std::uint32_t part, const std::vector<Item>& items);
  Status seal(std::uint32_t parts, std::uint64_t seal_sequence, WallMillis now);
  /// Cancels the job: all pending items become cancelled; started items wait for the outcome of their attempt.
  void cancel(WallMillis now);
  /// Starts an unrepeatable item. Returns true if the item was pending or was already started by the same attempt.
  bool start(ItemIndex index, const StartRecord& record);
  /// Moves an item to its terminal state. Returns false, and changes nothing, if the outcome is not accepted.
  bool complete(const ItemOutcome& outcome, const GatewayId& gateway, std::uint64_t session, WallMillis now);

  nlohmann::json toSnapshot() const;
  /// Throws `nlohmann::json::exception` or `std::out_of_range` on damaged input.
  static Job fromSnapshot(const nlohmann::json& json);

 private:
  struct Part {
    std::string digest;
    /// Names and bodies: name 0, body 0, name 1, body 1, …; only the names after `dropBodies`.
    std::string text;
    /// End offset of each piece in `text`.
    std::vector<std::uint32_t> ends;
    bool has_bodies = true;
    /// Index of the first item; set when the job is sealed.
    ItemIndex first = 0;
    std::uint32_t items = 0;
    /// Items that are not terminal.
    std::uint32_t open = 0;

    std::string_view piece(std::size_t number) const;
    std::string_view name(std::uint32_t item) const;
    void dropBodies();
  };

  struct ItemRecord {
    ArenaSlice result;
    ItemState state = ItemState::kPending;
  };

  const Part& partOf(ItemIndex index) const;
  Part& partOf(ItemIndex index);
  Status checkNewPart(std::uint32_t part, const std::vector<Item>& items, std::size_t bytes) const;
  bool outcomeCounts(const ItemOutcome& outcome, const GatewayId& gateway, std::uint64_t session) const;
  void end(ItemIndex index, ItemState state, std::string_view result);
  void finishIfDone(WallMillis now);

  JobId id_;
  JobNumber number_ = 0;
  JobSpec spec_;
  JobState state_ = JobState::kReceiving;
  bool cancelled_ = false;
  std::uint64_t seal_sequence_ = 0;
  WallMillis created_at_ = 0;
  WallMillis finished_at_ = 0;
  JobCounts counts_;
  std::map<std::uint32_t, Part> parts_;
  /// First item index of each part, in part order; filled by `seal`.
  std::vector<ItemIndex> part_firsts_;
  std::size_t received_items_ = 0;
  std::size_t received_bytes_ = 0;
  std::vector<ItemRecord> records_;
  ByteArena results_;
  std::map<ItemIndex, StartRecord> started_;
};

}  // namespace hatchfork::batch
