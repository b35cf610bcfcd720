#pragma once

#include <string_view>
#include <vector>

#include "connection/http_types.hpp"

namespace hatchfork::exchange {

/// Carries the caller's API key.
inline constexpr std::string_view kKeyHeader = "Authorization";

/// The fields of a message that are passed on: all but those that concern one connection or the framing of the body.
std::vector<connection::HttpHeader> endToEndHeaders(const std::vector<connection::HttpHeader>& headers);

/// True for two header names that differ in case at most.
bool isSameHeader(std::string_view left, std::string_view right);

/// Sets `Retry-After` in seconds with a fraction, replacing one that is there.
void setRetryAfter(connection::HttpResponse& response, Duration after);

/// The time that a caller still waits, as its header tells it in milliseconds; nothing where it tells none.
std::optional<Duration> remainingTime(std::string_view text);

}  // namespace hatchfork::exchange
