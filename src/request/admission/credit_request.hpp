#pragma once

#include <cstdint>

#include "common/time.hpp"
#include "request/crash/request_fingerprint.hpp"
#include "request/limits/rate_credit.hpp"

/// What a request can still use, when its tenant is over a limit. Answers the load of a surge: a time to come back that
/// lies beyond what its caller waits for is worth nothing to it.
namespace hatchfork::request {

/// How long a request can wait here or its caller be sent away: `objective` is its route's, `left` what remains until
/// it is given up here, `caller_left` until its caller gives it up.
CreditRequestEntry creditRequestFor(Duration objective, Duration left, Duration caller_left);

/// Names the content of a request by 64 bits, equal for each try of one caller with the same content at whatever
/// gateway. Who sends what bears the same number as another request gets the place that was kept for that one, within
/// its own tenant's limit alone.
std::uint64_t contentHash(const RequestContent& content);

}  // namespace hatchfork::request
