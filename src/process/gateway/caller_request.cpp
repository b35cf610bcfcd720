#include "process/gateway/caller_request.hpp"

#include <charconv>

#include "common/codec.hpp"

namespace hatchfork::gateway {
namespace {

constexpr std::int64_t kMostTokens = 1 << 20;
constexpr std::int64_t kLongestDeadlineMs = 24LL * 3600 * 1000;

Error invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

Result<std::string> promptOfMessages(const nlohmann::json& body) {
  if (!body.contains("messages") || !body.at("messages").is_array() || body.at("messages").empty()) {
    return invalid("the field messages is missing or no array", "send messages: [{role, content}]");
  }
  std::string prompt;
  for (const nlohmann::json& message : body.at("messages")) {
    const bool well_formed = message.is_object() && message.contains("content") && message.at("content").is_string() &&
                             message.contains("role") && message.at("role").is_string();
    if (!well_formed) return invalid("a message lacks role or content", "give each message a role and a text content");
    prompt += message.at("role").get<std::string>() + ": " + message.at("content").get<std::string>() + "\n";
  }
  return prompt;
}

Status checkNumbers(const nlohmann::json& body) {
  if (!body.contains("max_tokens")) return okStatus();
  const nlohmann::json& value = body.at("max_tokens");
  const bool in_range =
      value.is_number_integer() && value.get<std::int64_t>() >= 1 && value.get<std::int64_t>() <= kMostTokens;
  if (!in_range) return invalid("max_tokens is no whole number from 1", "give max_tokens from 1 to 1048576");
  return okStatus();
}

Status readHeaders(Instant now, const connection::HttpRequest& request, CallerRequest& parsed) {
  const std::string_view deadline = request.header("X-Hatchfork-Deadline-Ms");
  if (!deadline.empty()) {
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds);
    const bool whole = error == std::errc() && end == deadline.data() + deadline.size();
    if (!whole || milliseconds < 1 || milliseconds > kLongestDeadlineMs) {
      return invalid("X-Hatchfork-Deadline-Ms is no number of milliseconds", "give 1 to 86400000");
    }
    parsed.deadline = now + fromMillis(milliseconds);
  }
  const Result<PolicyUrgency> urgency = urgencyOf(request);
  if (!isOk(urgency)) return errorOf(urgency);
  parsed.urgency = valueOf(urgency);
  parsed.idempotency_key = std::string(request.header("Idempotency-Key"));
  const std::string_view unrepeatable = request.header("X-Hatchfork-Unrepeatable");
  if (!unrepeatable.empty() && unrepeatable != "true" && unrepeatable != "false") {
    return invalid("X-Hatchfork-Unrepeatable is neither true nor false", "send true or leave the header out");
  }
  parsed.unrepeatable = unrepeatable == "true";
  if (parsed.unrepeatable && parsed.idempotency_key.empty()) {
    return invalid("an unrepeatable request needs an Idempotency-Key",
                   "send a key of your own, and the same one whenever you resend");
  }
  return okStatus();
}

}  // namespace

std::string_view apiKeyOf(const connection::HttpRequest& request) {
  return connection::bearerToken(request.header("Authorization"));
}

Result<const Tenant*> authenticate(const GatewayVersion& version, const connection::HttpRequest& request) {
  return version.tenantOfKey(apiKeyOf(request));
}

Result<PolicyUrgency> urgencyOf(const connection::HttpRequest& request) {
  const std::string_view text = request.header("X-Hatchfork-Urgency");
  if (text.empty() || text == "normal") return PolicyUrgency::kNormal;
  if (text == "low") return PolicyUrgency::kLow;
  if (text == "high") return PolicyUrgency::kHigh;
  return invalid("X-Hatchfork-Urgency is none of low, normal, high", "send one of them or leave the header out");
}

Status limitTokens(std::string& body, std::uint32_t max_tokens) {
  if (max_tokens == 0) return okStatus();
  nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return okStatus();
  if (!json.contains("max_tokens")) {
    json["max_tokens"] = max_tokens;
    body = json.dump();
    return okStatus();
  }
  // Checked to be a whole number when the request was read.
  if (json.at("max_tokens").get<std::int64_t>() <= max_tokens) return okStatus();
  return Error{ErrorKind::kPolicyDenied,
               "the request asks for more tokens than the service's policy allows",
               "ask for at most " + std::to_string(max_tokens) + " max_tokens",
               Executed::kNo,
               {}};
}

Result<std::string> promptOfBody(const nlohmann::json& body, bool is_chat) {
  if (!body.is_object()) return invalid("the body is no JSON object", "send one JSON object");
  const Status numbers = checkNumbers(body);
  if (!isOk(numbers)) return errorOf(numbers);
  if (is_chat) return promptOfMessages(body);
  if (!body.contains("prompt") || !body.at("prompt").is_string()) {
    return invalid("the field prompt is missing or no text", "send prompt as one string");
  }
  return body.at("prompt").get<std::string>();
}

Result<CallerRequest> parseCallerRequest(Instant now, const GatewayVersion& version,
                                         const connection::HttpRequest& request) {
  CallerRequest parsed;
  Result<const Tenant*> tenant = authenticate(version, request);
  if (!isOk(tenant)) return errorOf(tenant);
  parsed.tenant = valueOf(tenant);
  const Status headers = readHeaders(now, request, parsed);
  if (!isOk(headers)) return errorOf(headers);
  parsed.path = request.path;
  parsed.is_chat = request.path == "/v1/chat/completions";
  const Result<nlohmann::json> json = parseJsonText(request.body);
  if (!isOk(json)) return errorOf(json);
  const nlohmann::json& body = valueOf(json);
  Result<std::string> prompt = promptOfBody(body, parsed.is_chat);
  if (!isOk(prompt)) return errorOf(prompt);
  parsed.prompt = std::move(valueOf(prompt));
  if (!body.contains("model") || !body.at("model").is_string()) {
    return invalid("the field model is missing or no text", "GET /v1/models lists the services");
  }
  if (body.contains("stream") && !body.at("stream").is_boolean()) {
    return invalid("the field stream is no boolean", "send stream: true or false");
  }
  parsed.stream = body.value("stream", false);
  if (body.contains("adapter") && body.at("adapter").is_string()) parsed.adapter = body.at("adapter");
  Result<const Service*> service = version.serviceFor(*parsed.tenant, body.at("model").get<std::string>());
  if (!isOk(service)) return errorOf(service);
  parsed.service = valueOf(service);
  parsed.body = request.body;
  return parsed;
}

}  // namespace hatchfork::gateway
