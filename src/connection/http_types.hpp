#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"

namespace hatchfork::connection {

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Compares names of header fields, ignoring case.
bool isSameHeader(std::string_view left, std::string_view right);

/// A TCP endpoint given by IP number.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

/// "host:port".
std::string toString(const Endpoint& endpoint);
/// Parses "host:port"; nothing where the text is no IP number with a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// A request as received by `HttpServer`, whole.
struct HttpRequest {
  std::string method;
  /// Path and query as received.
  std::string target;
  /// Path without the query, not percent-decoded.
  std::string path;
  std::vector<HttpHeader> query;
  std::vector<HttpHeader> headers;
  std::string body;
  /// IP number that the connection came from; empty where it is not known.
  std::string peer;

  /// First header of that name, in any case; empty if absent.
  std::string_view header(std::string_view name) const;
  /// First query parameter of that name; empty if absent.
  std::string_view queryValue(std::string_view name) const;
};

/// A response sent or received as a whole.
struct HttpResponse {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string_view header(std::string_view name) const;
};

/// JSON response with `Content-Type: application/json`.
HttpResponse jsonResponse(unsigned status, std::string body);
/// `{"error": {...}}` with the status that fits the kind, and Retry-After (whole seconds, rounded up) where it is
/// known.
HttpResponse errorResponse(const Error& error);
/// The HTTP status of an error kind.
unsigned httpStatusOf(ErrorKind kind);
/// Inverse of `errorResponse`: the typed error in a received error body; a body of another shape gives
/// `kUpstreamFailed`.
Error errorFromResponse(unsigned status, std::string_view body);

/// The token of a header value `Bearer TOKEN`; empty where it has another form.
std::string_view bearerToken(std::string_view authorization);

/// First header of that name in any case; empty if absent.
std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

}  // namespace hatchfork::connection
