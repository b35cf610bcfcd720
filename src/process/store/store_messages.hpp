#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "request/crash/request_fingerprint.hpp"
#include "version/batch_submission.hpp"

/// Requests of gateways to stores, and the stores' answers.
namespace hatchfork::store {

struct SubmitJobRequest {
  static constexpr std::string_view kKind = "submit";
  JobSubmission job;
  WaitingLimit limit;
  /// Identifies this attempt of the submitter; all copies of an attempt have the same outcome.
  std::uint64_t attempt = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitJobRequest, job, limit, attempt)

/// `tenant`, here and below: the tenant of the caller. Jobs of other tenants are reported as unknown.
struct ReadResultsRequest {
  static constexpr std::string_view kKind = "results";
  JobId job;
  std::uint64_t from = 0;
  /// Maximum time for which the reply may be delayed until there is a result.
  std::uint32_t wait_ms = 0;
  TenantId tenant;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReadResultsRequest, job, from, wait_ms, tenant)

struct ReadItemRequest {
  static constexpr std::string_view kKind = "item";
  JobId job;
  std::string item;
  TenantId tenant;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReadItemRequest, job, item, tenant)

struct EndJobRequest {
  static constexpr std::string_view kKind = "end";
  JobId job;
  TenantId tenant;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndJobRequest, job, tenant)

/// Requests the lease to run once a request that is likely to crash its engine, or ends it; only the leader grants it.
/// Repeating it is harmless.
struct TrialRequest {
  static constexpr std::string_view kKind = "trial";
  request::RequestFingerprint content;
  /// Names the run, uniquely in the fleet.
  std::string holder;
  /// The run was never sent to an engine: the lease ends. Older releases leave this out, and let the lease expire.
  bool is_unused = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TrialRequest, content, holder, is_unused)

using StoreRequest = std::variant<SubmitJobRequest, ReadResultsRequest, ReadItemRequest, EndJobRequest, TrialRequest>;

/// The submission or the end of a job was committed.
struct DoneReply {
  static constexpr std::string_view kKind = "done";
};
inline void to_json(nlohmann::json& json, const DoneReply&) {
  json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json&, DoneReply&) {}

struct ResultsReply {
  static constexpr std::string_view kKind = "results";
  std::uint64_t total = 0;
  std::uint64_t next = 0;
  std::vector<ItemResult> results;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResultsReply, total, next, results)

struct ItemReply {
  static constexpr std::string_view kKind = "item";
  std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ItemReply, body)

/// There certainly is no such job or item, or the job belongs to another tenant. To a submission: another tenant's job
/// has this identifier, or the job was ended before.
struct UnknownReply {
  static constexpr std::string_view kKind = "unknown";
};
inline void to_json(nlohmann::json& json, const UnknownReply&) {
  json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json&, UnknownReply&) {}

/// Not served by this store. `may_apply` is false only if the request certainly has no effect, now or later.
struct UnavailableReply {
  static constexpr std::string_view kKind = "unavailable";
  bool may_apply = false;
  std::string cause;
  /// True if no other store can serve the request now either.
  bool is_final = false;
};
/// Older releases send no `is_final`.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UnavailableReply, may_apply, cause, is_final)

/// The job exceeds the limit of waiting tokens on its route. Final: no copy of this attempt takes effect.
struct OverLimitReply {
  static constexpr std::string_view kKind = "over_limit";
  /// Tokens already waiting on the route, and tokens of the refused job.
  std::uint64_t waiting_tokens = 0;
  std::uint64_t job_tokens = 0;
  /// Estimated time until the job fits, from the progress of the route, in milliseconds.
  std::uint32_t come_back_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OverLimitReply, waiting_tokens, job_tokens, come_back_ms)

/// The leader's decision on a trial lease.
struct TrialReply {
  static constexpr std::string_view kKind = "trial";
  bool is_granted = false;
  /// Time after which the lease may be free, in milliseconds; zero if it is granted.
  std::int64_t wait_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TrialReply, is_granted, wait_ms)

using StoreReply =
    std::variant<DoneReply, ResultsReply, ItemReply, UnknownReply, UnavailableReply, OverLimitReply, TrialReply>;

}  // namespace hatchfork::store
