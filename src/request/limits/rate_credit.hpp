#pragma once

#include <cstdint>
#include <vector>

#include "common/time.hpp"

/// A tenant's rate limit holds over all gateways together. One owner keeps the tenant's bucket; gateways ask it for
/// credits ahead of their requests. A credit admits one request, at one gateway, until it expires. So no window of time
/// sees more requests than the owner granted within that window and the lifetime of a credit before it.
namespace hatchfork::request {

/// How exactly limits are held; the same for all processes of a fleet.
struct RateLimitOptions {
  /// Time over which limits are judged.
  Duration window = std::chrono::seconds(5);
  /// Requests above a limit that are tolerated in a window: half of them are for bursts of small tenants, the other
  /// half for changes of owner.
  double slack = 0;
  /// Callers over a limit get times at which credits are kept for them.
  bool appointments = false;

  /// A credit counts for this long from when it was asked for; what is unused then is lost. It never goes back: the
  /// bucket may have filled meanwhile, and would hold it twice. It bounds what a limit may be exceeded by, its rate
  /// times this: a tenth of what the rate gives in a window.
  Duration creditLifetime() const { return window / 10; }
};

/// A request that waits at a gateway for a credit, as the owner of the limit has to know it.
struct CreditRequestEntry {
  /// Equal for each try of one caller with the same content, at whatever gateway.
  std::uint64_t content = 0;
  /// Rank of its route; zero is the most urgent.
  std::uint32_t rank = 0;
  /// How long it may wait at its gateway and still be in time.
  Duration max_timely_wait{};
  /// How long it may wait at its gateway for an answer that is late, but of use.
  Duration max_useful_wait{};
  /// For how long its caller lets itself be sent away.
  Duration away{};

  bool operator==(const CreditRequestEntry&) const = default;
};

enum class CreditOutcome : std::uint8_t {
  /// There is none for it within what its caller can still use.
  kRefused = 0,
  kGranted = 1,
  /// One is kept for it, so soon that it waits at its gateway and asks again then.
  kWait = 2,
  /// Its caller is to come back: a credit is kept for it.
  kRetryReserved = 3,
  /// Its caller is to come back as late as it lets itself be sent away; no credit is kept for it.
  kRetryUnreserved = 4,
};

/// What the owner says to one `CreditRequestEntry`.
struct CreditDecision {
  std::uint64_t content = 0;
  CreditOutcome outcome = CreditOutcome::kRefused;
  /// When to ask again, or to come back.
  Duration after{};

  bool operator==(const CreditDecision&) const = default;
};

/// What a gateway asks for.
struct CreditRequest {
  /// Credits for requests that wait or are likely soon; those of `asks` count among them.
  double wanted = 0;
  /// Requests of the tenant that came to the gateway since it last asked.
  double arrivals = 0;
  /// Requests that wait; none from gateways that know no appointments.
  std::vector<CreditRequestEntry> asks = {};

  bool operator==(const CreditRequest&) const = default;
};

/// What the owner answers.
struct CreditResponse {
  /// Beside what is granted to `asks`.
  double granted = 0;
  /// Requests a second that all gateways together have lately been granted.
  double used_per_second = 0;
  /// Filled part of the tenant's bucket, zero to one.
  double level = 0;
  /// When there will be a credit again; zero where there is one.
  Duration wait{};
  /// The owner answers each ask; false for one that knows no appointments.
  bool supports_scheduled_retries = false;
  /// Credits are so few that they go to requests that wait alone, none ahead.
  bool is_scarce = false;
  std::vector<CreditDecision> replies = {};
};

}  // namespace hatchfork::request
