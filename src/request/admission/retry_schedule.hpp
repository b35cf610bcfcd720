#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "common/time.hpp"
#include "request/admission/urgency_order.hpp"
#include "request/limits/rate_credit.hpp"
#include "request/limits/rate_meter.hpp"

/// Answers the load of a tenant that sends many times its usual for some seconds: whoever is refused has one return,
/// and must not come back into the surge while credits stand unused after it.
namespace hatchfork::request {

struct RetryScheduleLimits {
  /// Part of the limit that is promised ahead while fresh requests alone take all of it, so that those who were sent
  /// away are not starved. Small: a fresh request is worth more to its caller than one that was sent away before.
  double floor_part = 0.05;
  /// Part of what fresh requests leave that is promised to each of: callers that are sent away, and returned requests
  /// that wait for a late answer. The rest fills the bucket, from which the next wave of fresh requests lives.
  double spare_part = 0.5;
  /// How long a promised credit is kept for a caller that does not come.
  Duration kept_for = fromMillis(400);
  /// A caller that comes earlier than its time by no more than this waits at its gateway.
  Duration early = fromMillis(250);
  /// Callers that were sent away and are still expected: the oldest are forgotten, and taken for fresh when they come.
  std::size_t most_expected = 4096;
  /// Time over which fresh requests are averaged.
  Duration demand_memory = fromMillis(200);
  /// A bucket that holds what its limit gives in this time is not taken up by fresh requests, whatever was measured.
  Duration plenty = fromMillis(100);
};

struct RetryCounters {
  std::uint64_t promised = 0;
  /// Of these, used by the request they were kept for, and fallen to others since it did not come.
  std::uint64_t used = 0;
  std::uint64_t lapsed = 0;
  /// Callers that were sent away without a credit kept for them, and those of them that were refused again.
  std::uint64_t unkept = 0;
  std::uint64_t refused_again = 0;
};

/// Future credits of one tenant's limit, handed out in order. They come out of the tenant's own bucket: a promise is a
/// part of its level that no other request may touch from the promised time on, so that no promise raises what the
/// bucket grants, and a promise that nobody fetches falls to the others by itself. Promised times lie so far apart that
/// the bucket fills between them. No I/O, no clock. Belongs to one thread.
///
/// Cost: a request costs one look-up; what is remembered is bounded by `most_expected`, and by time.
class RetrySchedule {
 public:
  explicit RetrySchedule(RetryScheduleLimits limits = {});

  /// Fresh and returned requests that came to gateways.
  void noteArrivals(Instant now, double arrivals);
  /// Credits of the bucket that are kept for those whose time has come. `rate` is the limit, `capacity` the bucket's.
  std::size_t kept(Instant now, double rate, double capacity);
  /// Judges a request where the bucket holds `level` credits. One is to be taken from it if the outcome is `kGranted`.
  CreditDecision judge(Instant now, const CreditRequestEntry& ask, double rate, double capacity, double level);
  /// Until when fresh requests take the whole limit, as far as is known, nothing but the floor is promised.
  void assumeFullUntil(Instant until) { full_until_ = until; }

  const RetryCounters& counters() const { return counters_; }
  std::size_t promised() const { return promised_.size(); }
  std::size_t expected() const { return expected_.size(); }

 private:
  /// Due time and a running number.
  using Place = std::pair<Instant, std::uint64_t>;
  using Timeline = std::map<Place, std::uint64_t>;
  struct Known {
    Place place;
    bool is_promised = false;
  };

  void expire(Instant now);
  void remember(Instant due, std::uint64_t content, bool is_promised);
  void forget(Timeline::iterator entry, bool is_promised);
  /// What was agreed with a caller that has come back; it is forgotten here.
  std::optional<Known> recall(std::uint64_t content);
  double spare(Instant now, double rate) const;
  /// The next time of a line of promises that goes at `rate`, if it comes within `longest`.
  static std::optional<Instant> nextPlace(Instant now, Instant& line, double rate, Duration longest);
  CreditDecision judgeKept(Instant now, const CreditRequestEntry& ask, Instant due, double rate, double level);
  CreditDecision judgeFresh(Instant now, const CreditRequestEntry& ask, double rate);
  CreditDecision judgeReturned(Instant now, const CreditRequestEntry& ask, double rate);

  RetryScheduleLimits limits_;
  RateMeter fresh_;
  UrgencyOrder order_;
  Instant full_until_{};
  Timeline promised_;
  Timeline expected_;
  std::unordered_multimap<std::uint64_t, Known> known_;
  std::uint64_t last_number_ = 0;
  /// The last promised time of those sent away, and of those that wait for a late answer.
  Instant away_line_{};
  Instant late_line_{};
  RetryCounters counters_;
};

}  // namespace hatchfork::request
