#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/ids.hpp"

/// Batch jobs whose items are opaque requests to a service.
namespace hatchfork {

/// One header field of an item.
struct ItemHeader {
  std::string name;
  std::string value;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ItemHeader, name, value)

/// A request that is run later.
struct OpaqueItem {
  /// Chosen by the submitter; unique within the job.
  std::string id;
  std::string target;
  std::vector<ItemHeader> headers;
  std::string body;
  /// Prompt tokens and most tokens out together.
  std::uint64_t tokens = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OpaqueItem, id, target, headers, body, tokens)

/// A whole job as submitted. The same identifier always names the same job.
struct JobSubmission {
  JobId id;
  /// Whose key it was submitted with; nobody else sees it. Empty where the configuration has no tenants.
  TenantId tenant;
  /// Host and path it was submitted to; they choose the route of its items.
  std::string host;
  std::string path;
  /// Wall clock of the gateway that took it, less what the caller had waited before.
  std::int64_t submitted_at = 0;
  std::vector<OpaqueItem> items;
};
/// Logs of older programs have no tenants.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSubmission, id, tenant, host, path, submitted_at, items)

/// How many tokens of open items of one tenant may wait on one route.
struct WaitingLimit {
  std::string host;
  std::string prefix;
  /// Zero without a limit.
  std::uint64_t most_tokens = 0;
  /// Empty where the configuration has no tenants.
  TenantId tenant;
};
/// Logs of older programs have no tenants.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WaitingLimit, host, prefix, most_tokens, tenant)

enum class ItemOutcome : std::uint8_t { kCompleted, kErrored };
NLOHMANN_JSON_SERIALIZE_ENUM(ItemOutcome, {{ItemOutcome::kCompleted, 0}, {ItemOutcome::kErrored, 1}})

/// One entry of a job's list of results; its position never changes.
struct ItemResult {
  std::string id;
  ItemOutcome outcome = ItemOutcome::kCompleted;
  std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ItemResult, id, outcome, text)

}  // namespace hatchfork
