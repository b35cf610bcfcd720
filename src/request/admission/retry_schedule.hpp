#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "common/time.hpp"
#include "request/admission/urgency_order.hpp"
#include "request/limits/rate_credit.hpp"
#include "request/limits/rate_meter.hpp"

/// Reserves rate-limit credits for retries of refused requests. If a tenant sends many times its usual load for some
/// seconds, each refused caller has one retry. The retry must not arrive during the surge while credits remain unused
/// after it.
namespace hatchfork::request {

struct RetryScheduleLimits {
  /// Part of the limit that is reserved ahead while fresh requests alone use the whole limit, so that refused callers
  /// are not starved. Small, because a fresh request is worth more to its caller than a request that was refused
  /// before.
  double floor_share = 0.05;
  /// Part of the rate left by fresh requests that is reserved for each of: refused callers, and retried requests that
  /// wait for a late answer. The rest fills the bucket, which serves the next rise of fresh requests.
  double spare_share = 0.5;
  /// How long a reserved credit is kept for a caller that does not come.
  Duration kept_for = fromMillis(400);
  /// A caller that is early by no more than this waits at its gateway.
  Duration max_early = fromMillis(250);
  /// Bound on the refused callers that are remembered. Above it the oldest are dropped, and count as fresh when they
  /// retry.
  std::size_t max_expected = 4096;
  /// Averaging time of the rate of fresh requests.
  Duration demand_averaging_time = fromMillis(200);
  /// A bucket that holds the credits of this time is taken to have spare credits, whatever rate of fresh requests was
  /// measured.
  Duration plenty_time = fromMillis(100);
};

struct RetryCounters {
  /// Reservations made.
  std::uint64_t promised = 0;
  /// Of these, reservations used by the request they were made for, and reservations that expired because the request
  /// did not come.
  std::uint64_t used = 0;
  std::uint64_t lapsed = 0;
  /// Callers refused without a reservation, and those of them that were refused again.
  std::uint64_t unkept = 0;
  std::uint64_t refused_again = 0;
};

/// Reservations of future credits of one tenant's limit, in order of time. Reserved credits come out of the tenant's
/// own bucket: from its due time on, a reservation is a part of the bucket level that no other request may use. So no
/// reservation raises what the bucket grants, and the credit of an expired reservation becomes available to all
/// requests. Due times are spaced so that the bucket fills between them. No I/O, no clock. Not thread-safe.
///
/// Cost: one look-up per request. Memory is bounded by `max_expected` and by time.
class RetrySchedule {
 public:
  explicit RetrySchedule(RetryScheduleLimits limits = {});

  /// Records fresh and retried requests that arrived at gateways.
  void noteArrivals(Instant now, double arrivals);
  /// Returns the number of credits of the bucket reserved for callers that are due. `rate` is the limit in credits per
  /// second, `capacity` the size of the bucket.
  std::size_t kept(Instant now, double rate, double capacity);
  /// Decides on a request while the bucket holds `level` credits. The caller takes one credit from the bucket if the
  /// outcome is `kGranted`.
  CreditDecision judge(Instant now, const CreditRequestEntry& ask, double rate, double capacity, double level);
  /// Assumes until `until` that fresh requests use the whole limit; only `floor_share` is reserved until then.
  void assumeFullUntil(Instant until) { full_until_ = until; }

  const RetryCounters& counters() const { return counters_; }
  std::size_t promised() const { return reserved_.size(); }
  std::size_t expected() const { return expected_.size(); }

 private:
  /// Due time and a sequence number.
  using Key = std::pair<Instant, std::uint64_t>;
  using Timeline = std::map<Key, std::uint64_t>;
  struct Entry {
    Key key;
    bool is_reserved = false;
  };

  void expire(Instant now);
  void addEntry(Instant due, std::uint64_t content, bool is_reserved);
  void removeEntry(Timeline::iterator entry, bool is_reserved);
  /// Removes and returns the entry of a caller that has come back.
  std::optional<Entry> takeEntry(std::uint64_t content);
  double spare(Instant now, double rate) const;
  /// Advances `last_due`, the last due time of a sequence that grows at `rate`, and returns the new due time; empty,
  /// and `last_due` unchanged, if it is later than `longest` from now.
  static std::optional<Instant> nextDue(Instant now, Instant& last_due, double rate, Duration longest);
  CreditDecision judgeReserved(Instant now, const CreditRequestEntry& ask, Instant due, double rate, double level);
  CreditDecision judgeFresh(Instant now, const CreditRequestEntry& ask, double rate);
  CreditDecision judgeRetried(Instant now, const CreditRequestEntry& ask, double rate);

  RetryScheduleLimits limits_;
  RateMeter fresh_;
  UrgencyOrder order_;
  Instant full_until_{};
  /// Callers with a reservation, and refused callers without one, by due time.
  Timeline reserved_;
  Timeline expected_;
  std::unordered_multimap<std::uint64_t, Entry> by_content_;
  std::uint64_t last_number_ = 0;
  /// Last reserved due time of refused callers, and of requests that wait for a late answer.
  Instant last_refused_due_{};
  Instant last_late_due_{};
  RetryCounters counters_;
};

}  // namespace hatchfork::request
