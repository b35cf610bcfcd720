#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/time.hpp"
#include "request/limits/rate_credit.hpp"
#include "request/limits/rate_meter.hpp"
#include "request/limits/token_bucket.hpp"
#include "version/configuration_objects.hpp"

namespace hatchfork::request {

/// What one gateway knows of one tenant's limit: its credits, what it lately asked, and what it may admit on its own
/// while the owner does not answer. That is the gateway's own part of what all gateways lately used, of the whole
/// limit, so that the parts of all gateways add up to the limit. No I/O, no clock. Belongs to one thread.
class RateLimitAccount {
 public:
  explicit RateLimitAccount(RateLimitOptions options = {});

  void noteArrival(Instant now);
  /// Uses a credit if there is one.
  bool tryTake(Instant now);
  /// The credit_request that should go to the owner now, for `waiting` requests and those to come; nothing while one is
  /// under way or there are credits enough.
  std::optional<CreditRequest> nextRequest(Instant now, std::size_t waiting);
  void noteResponse(Instant now, const CreditResponse& answer);
  /// The credit_request that is in flight has found no owner, or no answer in time.
  void noteNoResponse(Instant now, const TenantLimits& limits);
  /// A request has got its credit as the reply to its own ask.
  void noteGranted(Instant now) { admitted_.note(now, 1); }
  /// From when the owner may be asked again: while credits are few, questions are gathered.
  Instant nextRequestAt() const { return ask_again_at_; }
  bool isRequestInFlight() const { return asked_at_.has_value(); }
  /// True while the owner is known to have no credit.
  bool isOverLimit(Instant now) const { return now < over_limit_until_; }
  /// True while the owner is taken for out of reach.
  bool isOwnerUnreachable(Instant now) const { return now < cut_off_until_; }
  /// Admits a request without the owner, from this gateway's own part of the limit.
  bool tryTakeLocalShare(Instant now);
  /// When a caller that is over the limit has a chance; later for each further one, so that they do not come at once.
  Duration retryDelay(Instant now, const TenantLimits& limits);

  bool isIdle(Instant now) const;
  /// When the owner last answered; nothing before it did.
  std::optional<Instant> lastResponseAt() const { return answered_at_; }
  const CreditResponse& lastResponse() const { return last_answer_; }

 private:
  struct Lot {
    double credits = 0;
    Instant expires_at{};
  };

  void dropExpired(Instant now);
  double stock() const;
  /// Own part of the use of all gateways, zero to one.
  double ownPart() const;

  RateLimitOptions options_;
  std::deque<Lot> lots_;
  RateMeter arrivals_;
  RateMeter admitted_;
  Instant arrived_at_{};
  std::optional<Instant> asked_at_;
  Instant ask_again_at_{};
  /// Arrivals that the owner has not been told of.
  double arrivals_untold_ = 0;
  std::optional<Instant> answered_at_;
  CreditResponse last_answer_;
  /// What this gateway admitted a second when the owner last told what all of them do.
  double admitted_at_answer_ = 0;
  Instant over_limit_until_{};
  Instant cut_off_until_{};
  TokenBucket own_bucket_;
  Instant own_bucket_until_{};
  Instant next_return_{};
};

}  // namespace hatchfork::request
