#pragma once

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

  /// A credit counts for this long from when it was asked for; what is unused then is lost. It never goes back: the
  /// bucket may have filled meanwhile, and would hold it twice. It bounds what a limit may be exceeded by, its rate
  /// times this: a tenth of what the rate gives in a window.
  Duration creditLifetime() const { return window / 10; }
};

/// What a gateway asks for.
struct CreditQuestion {
  /// Credits for requests that wait or are likely soon.
  double wanted = 0;
};

/// What the owner answers.
struct CreditAnswer {
  double granted = 0;
  /// Requests a second that all gateways together have lately been granted.
  double used_per_second = 0;
  /// Filled part of the tenant's bucket, zero to one.
  double level = 0;
  /// When there will be a credit again; zero where there is one.
  Duration wait{};
};

}  // namespace hatchfork::request
