#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "common/time.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::exchange {

/// Header that carries the caller's API key.
inline constexpr std::string_view kKeyHeader = "Authorization";

/// Returns the end-to-end headers of a message: all except those that concern one connection or the body framing.
std::vector<connection::HttpHeader> endToEndHeaders(const std::vector<connection::HttpHeader>& headers);

using connection::isSameHeader;

/// Parses a number of milliseconds, fractions allowed. Returns nullopt if the text does not start with a number.
std::optional<Duration> readMilliseconds(std::string_view text);

/// Sets `Retry-After` in seconds with a fraction, replacing an existing value.
void setRetryAfter(connection::HttpResponse& response, Duration after);

}  // namespace hatchfork::exchange
