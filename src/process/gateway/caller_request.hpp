#pragma once

#include <optional>
#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "connection/http_types.hpp"
#include "version/gateway_version.hpp"
#include "version/policy/policy_types.hpp"

namespace hatchfork::gateway {

/// An online request after its checks.
struct CallerRequest {
  const Tenant* tenant = nullptr;
  const Service* service = nullptr;
  std::string path;
  /// The caller's body, as JSON text.
  std::string body;
  /// The prompt as one text, for affinity.
  std::string prompt;
  std::string adapter;
  bool is_chat = false;
  bool stream = false;
  bool unrepeatable = false;
  std::string idempotency_key;
  PolicyUrgency urgency = PolicyUrgency::kNormal;
  std::optional<Instant> deadline;
};

/// The key of `Authorization: Bearer KEY`; empty without one.
std::string_view apiKeyOf(const connection::HttpRequest& request);
/// Finds the tenant of a request by its API key.
Result<const Tenant*> authenticate(const GatewayVersion& version, const connection::HttpRequest& request);
/// Checks headers and body of a completions request and finds its service. All errors have executed "no".
Result<CallerRequest> parseCallerRequest(Instant now, const GatewayVersion& version,
                                         const connection::HttpRequest& request);
/// The urgency of `X-Hatchfork-Urgency`: low, normal, high; absent is normal.
Result<PolicyUrgency> urgencyOf(const connection::HttpRequest& request);
/// Holds a completions body to the policy's limit of tokens: one that asks for more is refused, one that asks for no
/// number is given the limit. Zero is no limit.
Status limitTokens(std::string& body, std::uint32_t max_tokens);
/// The prompt text of a completions body, or the error that names the field at fault.
Result<std::string> promptOfBody(const nlohmann::json& body, bool is_chat);

}  // namespace hatchfork::gateway
