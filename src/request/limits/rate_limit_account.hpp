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

/// State of the rate limit of one tenant at one gateway: the credits held, the credit request in flight and the local
/// share. While the owner does not answer, the gateway admits requests from its local share of the limit: the fraction
/// that this gateway had of the recent usage of all gateways, so that the shares of all gateways add up to the limit.
/// Only credits of owners count as usage on both sides of this fraction: owners do not know what gateways admit from
/// their shares. Usage that an earlier owner reported counts beside that of a new one, which knows only its own grants.
/// Does no I/O; callers pass the current time. Not thread-safe.
class RateLimitAccount {
 public:
  explicit RateLimitAccount(RateLimitOptions options = {});

  void noteArrival(Instant now);
  /// Uses a credit; returns false if there is none.
  bool tryTake(Instant now);
  /// Returns the credit request to send to the owner now, for `waiting` pending requests and for expected ones. Returns
  /// nothing while a request is in flight, while the limit is exhausted or if there are enough credits.
  std::optional<CreditRequest> nextRequest(Instant now, std::size_t waiting);
  void noteResponse(Instant now, const CreditResponse& answer);
  /// Records that the request in flight reached no owner or got no answer in time.
  void noteNoResponse(Instant now, const TenantLimits& limits);
  /// Records that a pending request got its credit directly, as the reply to its own entry.
  void noteGranted(Instant now) { admitted_.note(now, 1); }
  /// Earliest time of the next credit request; while credits are scarce, pending requests are batched.
  Instant nextRequestAt() const { return next_request_at_; }
  bool isRequestInFlight() const { return request_sent_at_.has_value(); }
  /// True while the owner has reported that no credit is left.
  bool isOverLimit(Instant now) const { return now < over_limit_until_; }
  /// True while the owner is considered unreachable.
  bool isOwnerUnreachable(Instant now) const { return now < unreachable_until_; }
  /// Admits a request without the owner, from the local share of this gateway; returns false if the share is used up.
  bool tryTakeLocalShare(Instant now);
  /// Returns the retry delay of a caller that is over the limit. Each call returns a later time than the one before, up
  /// to a maximum, so that callers do not all retry at once.
  Duration retryDelay(Instant now, const TenantLimits& limits);

  bool isIdle(Instant now) const;
  /// Time of the last answer of the owner; empty before the first one.
  std::optional<Instant> lastResponseAt() const { return last_response_at_; }
  const CreditResponse& lastResponse() const { return last_response_; }

 private:
  /// Credits of one answer; they expire together.
  struct CreditBatch {
    double credits = 0;
    Instant expires_at{};
  };

  void dropExpired(Instant now);
  /// Takes over the usage that the owner reports. A report below what the last one has decayed to comes from an owner
  /// that has started anew.
  void noteUsage(Instant now, double used_per_second);
  /// Number of credits held.
  double heldCredits() const;
  /// Fraction of the usage of all gateways that is due to this gateway, from zero to one.
  double localShare() const;

  RateLimitOptions options_;
  std::deque<CreditBatch> batches_;
  RateMeter arrivals_;
  /// Requests admitted by credits of owners.
  RateMeter admitted_;
  Instant arrived_at_{};
  std::optional<Instant> request_sent_at_;
  Instant next_request_at_{};
  /// Arrivals that have not been reported to the owner.
  double unreported_arrivals_ = 0;
  std::optional<Instant> last_response_at_;
  CreditResponse last_response_;
  /// Usage per second that earlier owners had reported when the current one started anew, decayed since.
  double used_at_earlier_owners_ = 0;
  /// Admission rate of this gateway, per second, when the owner last reported the rate of all gateways.
  double admitted_at_response_ = 0;
  Instant over_limit_until_{};
  Instant unreachable_until_{};
  TokenBucket local_bucket_;
  Instant local_bucket_until_{};
  Instant next_retry_at_{};
};

}  // namespace hatchfork::request
