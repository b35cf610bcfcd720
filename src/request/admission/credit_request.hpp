#pragma once

#include <cstdint>

#include "common/time.hpp"
#include "request/crash/request_fingerprint.hpp"
#include "request/limits/rate_credit.hpp"

/// Derives what a request over its tenant's rate limit can still use. During a surge, a retry time that lies beyond its
/// caller's deadline is of no use to the caller.
namespace hatchfork::request {

/// Computes how long a request can wait at the gateway and how long its caller can be sent away. `objective` is the
/// latency objective of the route, `left` the time until the gateway gives up the request, `caller_left` the time until
/// its caller gives up.
CreditRequestEntry creditRequestFor(Duration objective, Duration left, Duration caller_left);

/// Returns a 64-bit hash of the content, equal for each attempt of one caller with the same content at any gateway. A
/// request with the hash of another request can use the credit reserved for that other request, but only within the
/// limit of its own tenant.
std::uint64_t contentHash(const RequestContent& content);

}  // namespace hatchfork::request
