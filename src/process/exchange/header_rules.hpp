#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "common/time.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::exchange {

/// Carries the caller's API key.
inline constexpr std::string_view kKeyHeader = "Authorization";

/// The fields of a message that are passed on: all but those that concern one connection or the framing of the body.
std::vector<connection::HttpHeader> endToEndHeaders(const std::vector<connection::HttpHeader>& headers);

/// True for two header names that differ in case at most.
bool isSameHeader(std::string_view left, std::string_view right);

/// A number of milliseconds, fractions allowed; absent if the text is none.
std::optional<Duration> readMilliseconds(std::string_view text);

/// Sets `Retry-After` in seconds with a fraction, replacing one that is there.
void setRetryAfter(connection::HttpResponse& response, Duration after);

}  // namespace hatchfork::exchange
