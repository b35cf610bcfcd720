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

/// One request of a batch job, to be run later. Its content is not interpreted.
struct OpaqueItem {
  /// Chosen by the submitter; unique within the job.
  std::string id;
  std::string target;
  std::vector<ItemHeader> headers;
  std::string body;
  /// Prompt tokens plus the maximum number of output tokens.
  std::uint64_t tokens = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OpaqueItem, id, target, headers, body, tokens)

/// A complete job as submitted. Submitting again under the same identifier refers to the same job.
struct JobSubmission {
  JobId id;
  /// Tenant whose API key submitted the job; only this tenant may read the job. Empty if the configuration has no
  /// tenants.
  TenantId tenant;
  /// Host and path of the submission; they select the route of the items.
  std::string host;
  std::string path;
  /// Wall clock of the accepting gateway, in milliseconds, minus the time that the caller had already waited.
  std::int64_t submitted_at = 0;
  /// Version of the configuration under which the gateway accepted the job; zero if it is not known.
  std::uint64_t configuration_version = 0;
  std::vector<OpaqueItem> items;
};
/// Defaults apply because logs of older releases have neither tenants nor versions of configurations.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSubmission, id, tenant, host, path, submitted_at,
                                                configuration_version, items)

/// Limit of the tokens of one tenant's unfinished items on one route.
struct WaitingLimit {
  std::string host;
  std::string prefix;
  /// Maximum number of tokens; zero means unlimited.
  std::uint64_t most_tokens = 0;
  /// Empty if the configuration has no tenants.
  TenantId tenant;
};
/// Defaults apply because logs of older releases have no tenants.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WaitingLimit, host, prefix, most_tokens, tenant)

enum class ItemOutcome : std::uint8_t { kCompleted, kErrored };
NLOHMANN_JSON_SERIALIZE_ENUM(ItemOutcome, {{ItemOutcome::kCompleted, 0}, {ItemOutcome::kErrored, 1}})

/// One entry of a job's list of results. Its position in the list never changes.
struct ItemResult {
  std::string id;
  ItemOutcome outcome = ItemOutcome::kCompleted;
  std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ItemResult, id, outcome, text)

}  // namespace hatchfork
