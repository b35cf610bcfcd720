#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork::request {

/// What a request takes of an engine, as far as it is known when its turn is decided.
struct ExpectedWork {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t tokens_out = 0;
  /// How long it holds its place; goes before the tokens out where it is known.
  Duration place_time{};
};

struct FairShareLimits {
  /// Prompt tokens and tokens out that are worth as much as a millisecond of a place. Only their ratio to each other
  /// and to known place times counts.
  double prompt_tokens_per_ms = 80;
  double tokens_out_per_ms = 0.3;
  /// A tenant's usual work is counted in pieces of this length, and counts half after the second.
  Duration usual_window = std::chrono::seconds(1);
  Duration usual_half_life = std::chrono::seconds(60);
  /// What one window shows counts for no more than so many times the usual: a surge doesn't become the usual while it
  /// lasts.
  double most_surprise = 2;
  /// A tenant may run ahead of its share by this much of its usual work, and by so many requests, before it goes behind
  /// others: requests of one tenant come in clumps.
  Duration allowance = std::chrono::seconds(1);
  double allowed_requests = 4;
  /// No tenant is further ahead of its allowance than this much of its usual work.
  Duration most_ahead = std::chrono::seconds(4);
  /// A tenant that sent nothing for this long is forgotten, and so are the longest silent ones above this many.
  Duration forgotten_after = std::chrono::minutes(3);
  std::size_t most_tenants = 65536;
};

/// Whose turn it is when room is short. Answers the load of one tenant that sends many times its usual, maybe while
/// engines are lost: those who stay at their usual go before it.
///
/// Weighted max-min by start-time fair queueing: each tenant has a virtual time that grows by the work it is given over
/// its weight; who is behind goes first. The weight is the tenant's configured weight times its usual work, and at
/// least times the mean usual work of all tenants. A tenant that was idle starts at the common virtual time, so it has
/// no credit for the past. Says only who goes first, never that a free place stays empty. What is known is soft: it
/// starts with nothing, and then all tenants are equal. No I/O, no clock. Belongs to one thread.
class FairShare {
 public:
  explicit FairShare(FairShareLimits limits = {});

  /// How far the tenant is ahead of its share: zero within it, and the greater the later its turn. Comparable between
  /// tenants at one moment. Among equals the order is the caller's.
  double ahead(Instant now, const TenantId& tenant, double configured_weight = 1) const;
  /// A request of the tenant is given a place. `work` in milliseconds, of `workOf`.
  void begin(Instant now, const TenantId& tenant, double work, double configured_weight = 1);
  /// The request took so much more, or less if negative, than was expected at its begin.
  void correct(const TenantId& tenant, double more_work);

  double workOf(const ExpectedWork& expected) const;
  /// The tenant's usual work a second, over its configured weight.
  double usual(Instant now, const TenantId& tenant) const;
  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct Tenant {
    double virtual_time = 0;
    /// Weight of the last request, and its work.
    double weight = 1;
    double last_work = 0;
    double configured_weight = 1;
    /// Work a second over the configured weight, up to the begin of `window`.
    double usual = 0;
    std::int64_t window = 0;
    std::uint32_t windows_seen = 0;
    double in_window = 0;
    Instant used_at{};
    std::list<std::string>::iterator place;
  };

  std::int64_t windowOf(Instant now) const { return now.time_since_epoch() / limits_.usual_window; }
  /// The usual work at the begin of the window, if nothing came since it was counted last.
  double usualAt(const Tenant& tenant, std::int64_t window) const;
  double meanUsual() const;
  /// Counts what came in windows that are over.
  void closeWindows(Instant now);
  void learnUsual(Tenant& tenant, double mean) const;
  double weightOf(double usual, double configured_weight) const;
  double allowanceOf(const Tenant& tenant, double weight) const;
  /// The tenant's virtual time, which no change of its weight leaves far ahead of all others.
  double boundedTime(const Tenant& tenant, double allowance) const;
  Tenant& touch(Instant now, const TenantId& id);
  void forget(Instant now);

  FairShareLimits limits_;
  std::unordered_map<std::string, Tenant> tenants_;
  /// Longest silent first.
  std::list<std::string> by_use_;
  /// Tenants with work in the window.
  std::vector<std::string> in_window_;
  std::int64_t window_ = 0;
  /// Share of a window's work in the usual.
  double learning_rate_ = 0;
  double virtual_time_ = 0;
  double usual_sum_ = 0;
  /// Mean work of a request.
  double typical_work_ = 0;
};

}  // namespace hatchfork::request
