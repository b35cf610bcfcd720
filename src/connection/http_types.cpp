#include "connection/http_types.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include "common/codec.hpp"

namespace hatchfork::connection {
namespace {

bool isIpNumber(const std::string& host) {
  in6_addr storage;
  return inet_pton(AF_INET, host.c_str(), &storage) == 1 || inet_pton(AF_INET6, host.c_str(), &storage) == 1;
}

}  // namespace

bool isSameHeader(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string toString(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.host, endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Endpoint endpoint;
  endpoint.host = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc() || end != port.data() + port.size() || endpoint.port == 0) return std::nullopt;
  if (!isIpNumber(endpoint.host)) return std::nullopt;
  return endpoint;
}

std::string_view bearerToken(std::string_view authorization) {
  constexpr std::string_view kBearer = "Bearer ";
  return authorization.starts_with(kBearer) ? authorization.substr(kBearer.size()) : std::string_view();
}

std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (isSameHeader(header.name, name)) return header.value;
  }
  return {};
}

std::string_view HttpRequest::header(std::string_view name) const {
  return findHeader(headers, name);
}
std::string_view HttpRequest::queryValue(std::string_view name) const {
  return findHeader(query, name);
}
std::string_view HttpResponse::header(std::string_view name) const {
  return findHeader(headers, name);
}

HttpResponse jsonResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back(HttpHeader{"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

unsigned httpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kProtocol:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kPermissionDenied:
    case ErrorKind::kPolicyDenied:
    case ErrorKind::kPolicyFailed:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
    case ErrorKind::kCancelled:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kRateLimited:
      return 429;
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kOutcomeUnknown:
      return 502;
    case ErrorKind::kOverloaded:
    case ErrorKind::kUnavailable:
    case ErrorKind::kNotLeader:
    case ErrorKind::kConfigurationStale:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kStorageFailed:
    case ErrorKind::kStorageCorrupt:
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

HttpResponse errorResponse(const Error& error) {
  nlohmann::json body = nlohmann::json::object();
  body["error"] = error;
  HttpResponse response =
      jsonResponse(httpStatusOf(error.kind), body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (error.retry_after) {
    const std::int64_t seconds = std::max<std::int64_t>(1, (toMillis(*error.retry_after) + 999) / 1000);
    response.headers.push_back(HttpHeader{"Retry-After", std::to_string(seconds)});
  }
  return response;
}

Error errorFromResponse(unsigned status, std::string_view body) {
  const Error fallback{ErrorKind::kUpstreamFailed,
                       fmt::format("the peer answered with status {}", status),
                       "see the peer's log",
                       Executed::kUnknown,
                       {}};
  const Result<nlohmann::json> json = parseJsonText(body);
  if (!isOk(json) || !valueOf(json).is_object() || !valueOf(json).contains("error")) return fallback;
  try {
    return valueOf(json).at("error").get<Error>();
  } catch (const nlohmann::json::exception&) {
    return fallback;
  }
}

}  // namespace hatchfork::connection
