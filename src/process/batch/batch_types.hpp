#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::batch {

/// All states except `kPending` and `kStarted` are terminal; an item enters exactly one terminal state, once.
enum class ItemState : std::uint8_t { kPending, kStarted, kCompleted, kFailed, kCancelled, kOutcomeUnknown };
NLOHMANN_JSON_SERIALIZE_ENUM(ItemState, {{ItemState::kPending, "pending"},
                                         {ItemState::kStarted, "started"},
                                         {ItemState::kCompleted, "completed"},
                                         {ItemState::kFailed, "failed"},
                                         {ItemState::kCancelled, "cancelled"},
                                         {ItemState::kOutcomeUnknown, "outcome_unknown"}})

constexpr bool isTerminal(ItemState state) {
  return state != ItemState::kPending && state != ItemState::kStarted;
}

/// A job receives parts, runs once it is sealed, and is finished when every item is terminal.
enum class JobState : std::uint8_t { kReceiving, kRunning, kCancelling, kFinished };
NLOHMANN_JSON_SERIALIZE_ENUM(JobState, {{JobState::kReceiving, "receiving"},
                                        {JobState::kRunning, "running"},
                                        {JobState::kCancelling, "cancelling"},
                                        {JobState::kFinished, "finished"}})

/// Settings shared by all items of a job. `(tenant, idempotency_key)` identifies the job.
struct JobSpec {
  TenantId tenant;
  std::string idempotency_key;
  ServiceId service;
  /// True if no item may run twice: the start of each item is committed before dispatch.
  bool unrepeatable = false;
  /// Wall time by which the job should be finished; zero for none.
  WallMillis deadline = 0;
  bool operator==(const JobSpec&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, tenant, idempotency_key, service, unrepeatable, deadline)

/// One request of a job: the identifier chosen by the caller and the JSON text of the request body.
struct Item {
  std::string custom_id;
  std::string body;
  bool operator==(const Item&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Item, custom_id, body)

/// An item leased to a gateway for one attempt.
struct LeasedItem {
  ItemIndex index = 0;
  AttemptNumber attempt = 0;
  Item item;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeasedItem, index, attempt, item)

/// The outcome of one attempt: `state` is terminal; `result` is the JSON text of the response or of the error.
struct ItemOutcome {
  ItemIndex index = 0;
  AttemptNumber attempt = 0;
  ItemState state = ItemState::kCompleted;
  std::string result;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ItemOutcome, index, attempt, state, result)

struct JobCounts {
  std::uint32_t total = 0;
  std::uint32_t completed = 0;
  std::uint32_t failed = 0;
  std::uint32_t cancelled = 0;
  std::uint32_t outcome_unknown = 0;
  bool operator==(const JobCounts&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobCounts, total, completed, failed, cancelled, outcome_unknown)

/// Status of a job as reported to callers.
struct JobStatus {
  JobId job;
  JobSpec spec;
  JobState state = JobState::kReceiving;
  std::uint32_t parts = 0;
  JobCounts counts;
  WallMillis created_at = 0;
  WallMillis finished_at = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobStatus, job, spec, state, parts, counts, created_at, finished_at)

/// Result of one item as reported to callers.
struct ItemResult {
  ItemIndex index = 0;
  std::string custom_id;
  ItemState state = ItemState::kPending;
  std::string result;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ItemResult, index, custom_id, state, result)

}  // namespace hatchfork::batch
