#pragma once

#include <cstdint>
#include <vector>

#include "common/time.hpp"

/// Messages of the fleet-wide rate limit. The rate limit of a tenant applies to the sum of all gateways. One process
/// owns the token bucket of the tenant, and gateways request credits from the owner ahead of their requests. A credit
/// admits one request at one gateway until the credit expires. Hence the requests admitted in any time window are at
/// most the credits granted within that window and within one credit lifetime before it.
namespace hatchfork::request {

/// Precision of the rate limits. All processes of a fleet use the same values.
struct RateLimitOptions {
  /// Length of the window in which a limit must hold.
  Duration window = std::chrono::seconds(5);
  /// Number of requests above a limit that are tolerated per window. One half is added to the bucket for bursts of
  /// small tenants, the other half covers changes of the owner.
  double slack = 0;
  /// True if callers over a limit get a scheduled retry: a time at which a credit is reserved for them.
  bool appointments = false;

  /// Validity of a credit, counted from when it was requested. Unused credits expire and are not returned to the
  /// bucket: the bucket may have refilled meanwhile and would count them twice. The lifetime bounds the excess over a
  /// limit to rate x lifetime, a tenth of the requests that the rate allows in a window.
  Duration creditLifetime() const { return window / 10; }
};

/// Entry of a `CreditRequest` for one request that waits at a gateway for a credit.
struct CreditRequestEntry {
  /// Hash of caller and content: equal for all attempts of one caller with the same content, at any gateway.
  std::uint64_t content = 0;
  /// Rank of the route; zero is the most urgent.
  std::uint32_t rank = 0;
  /// Longest wait at the gateway with which the request still meets its latency target.
  Duration max_timely_wait{};
  /// Longest wait at the gateway with which a late answer is still useful.
  Duration max_useful_wait{};
  /// Longest retry delay that the caller accepts.
  Duration away{};

  bool operator==(const CreditRequestEntry&) const = default;
};

/// Decision of the owner on one pending request. The values are sent between processes.
enum class CreditOutcome : std::uint8_t {
  /// No credit is available within the waits and retry delays that the caller accepts.
  kRefused = 0,
  kGranted = 1,
  /// A credit is reserved for a time so close that the request waits at its gateway and then requests the credit again.
  kWait = 2,
  /// The caller is to retry later; a credit is reserved for the retry.
  kRetryReserved = 3,
  /// The caller is to retry after the longest delay that it accepts; no credit is reserved.
  kRetryUnreserved = 4,
};

/// Decision of the owner on one `CreditRequestEntry`.
struct CreditDecision {
  std::uint64_t content = 0;
  CreditOutcome outcome = CreditOutcome::kRefused;
  /// Delay before the next credit request of the gateway (`kWait`) or the retry of the caller (`kRetryReserved`).
  Duration after{};

  bool operator==(const CreditDecision&) const = default;
};

/// Request of a gateway to the owner of a limit.
struct CreditRequest {
  /// Number of credits requested, for pending and expected requests; includes those of `asks`.
  double wanted = 0;
  /// Number of requests of the tenant that arrived at the gateway since its last `CreditRequest`.
  double arrivals = 0;
  /// Pending requests; empty from gateways that do not support scheduled retries.
  std::vector<CreditRequestEntry> asks = {};

  bool operator==(const CreditRequest&) const = default;
};

/// Response of the owner of a limit to a `CreditRequest`.
struct CreditResponse {
  /// Number of credits granted in addition to those granted to `asks`.
  double granted = 0;
  /// Recent rate of credits granted to all gateways together, per second.
  double used_per_second = 0;
  /// Fill level of the bucket of the tenant, from zero to one.
  double level = 0;
  /// Time until the next credit is available; zero if one is available now.
  Duration wait{};
  /// True if the owner replies to each entry of `asks`; false for an owner that does not support scheduled retries.
  bool supports_scheduled_retries = false;
  /// True if credits are so scarce that the owner grants them to pending requests only, none ahead.
  bool is_scarce = false;
  std::vector<CreditDecision> replies = {};
};

}  // namespace hatchfork::request
