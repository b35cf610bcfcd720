#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "version/batch_submission.hpp"

/// Requests of gateways to stores, and the stores' answers.
namespace hatchfork::store {

struct SubmitJobRequest {
  static constexpr std::string_view kKind = "submit";
  JobSubmission job;
  WaitingLimit limit;
  /// Names this try of the submitter; copies of one try have one outcome.
  std::uint64_t attempt = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitJobRequest, job, limit, attempt)

/// `tenant` of these requests: the caller's; a job of another one is unknown to it.
struct ReadResultsRequest {
  static constexpr std::string_view kKind = "results";
  JobId job;
  std::uint64_t from = 0;
  /// How long the answer may be held until there is a result.
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

using StoreRequest = std::variant<SubmitJobRequest, ReadResultsRequest, ReadItemRequest, EndJobRequest>;

/// Done and kept: a submission or an end.
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

/// Certainly no such job or item.
struct UnknownReply {
  static constexpr std::string_view kKind = "unknown";
};
inline void to_json(nlohmann::json& json, const UnknownReply&) {
  json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json&, UnknownReply&) {}

/// Not answered here. `may_apply` is false only if the request surely has no effect, now or later.
struct UnavailableReply {
  static constexpr std::string_view kKind = "unavailable";
  bool may_apply = false;
  std::string cause;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UnavailableReply, may_apply, cause)

/// The job does not fit beside what waits on its route. Final for this try: no copy of it has an effect.
struct OverLimitReply {
  static constexpr std::string_view kKind = "over_limit";
  /// Tokens that wait, and those of the refused job.
  std::uint64_t waiting_tokens = 0;
  std::uint64_t job_tokens = 0;
  /// When it is likely to fit, as far as the route's progress tells.
  std::uint32_t come_back_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OverLimitReply, waiting_tokens, job_tokens, come_back_ms)

using StoreReply = std::variant<DoneReply, ResultsReply, ItemReply, UnknownReply, UnavailableReply, OverLimitReply>;

}  // namespace hatchfork::store
