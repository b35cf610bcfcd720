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

/// Work that a request is expected to need at an engine, as far as it is known at scheduling time.
struct ExpectedWork {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t tokens_out = 0;
  /// Time for which the request occupies its slot; used instead of `tokens_out` if it is not zero.
  Duration slot_time{};
};

struct FairShareLimits {
  /// Prompt tokens and output tokens that cost as much as a millisecond of a slot. Only their ratio to each other and
  /// to known slot times matters.
  double prompt_tokens_per_ms = 80;
  double tokens_out_per_ms = 0.3;
  /// Length of the windows in which a tenant's usual work is measured, and the half-life of a window's weight.
  Duration window_length = std::chrono::seconds(1);
  Duration usual_half_life = std::chrono::seconds(60);
  /// Bounds the work counted in one window to this multiple of the usual work, so that a surge does not become the
  /// usual work while it lasts.
  double max_window_factor = 2;
  /// A tenant is within its usual work while it requests no more than `usual_margin` times that work per second. Since
  /// requests of one tenant arrive in bursts, its token bucket also covers work in advance: that of the time `burst`,
  /// or of the time in which its usual work amounts to `burst_requests` requests of the current size if that is longer.
  double usual_margin = 1.25;
  Duration burst = std::chrono::seconds(1);
  double burst_requests = 4;
  /// Tenants idle for this long are evicted, and above `max_tenants` the tenants that have been idle longest.
  Duration evicted_after = std::chrono::minutes(3);
  std::size_t max_tenants = 65536;
};

/// Scheduling position of a request among the requests of all tenants.
struct Turn {
  /// Requests with a lower start go first; zero for requests within their tenant's usual work. Constant while the
  /// request waits; comparable between all requests of one `FairShare`.
  double start = 0;
  /// Virtual time charged to the tenant, and the work requested.
  double charged = 0;
  double work = 0;
};

/// Orders requests of several tenants when slots are scarce. If one tenant sends many times its usual load, possibly
/// while engines are lost, requests of tenants within their usual work go before its surplus.
///
/// Each tenant has a token bucket that fills at its weight: requests that the bucket covers go first, with equal rank.
/// The others are ordered by start-time fair queueing: the virtual time of their tenant grows by the requested work
/// over its weight, and the tenant with the least virtual time goes first, so that the remaining capacity is shared by
/// weight. The weight is the configured weight of the tenant times its usual work, and at least times the mean usual
/// work of all tenants. Usual work is measured over the configured weight, so that tenants with a constant backlog
/// converge to shares by configured weight. A tenant that was idle has a full bucket and starts at the common virtual
/// time: it gets no other credit for the past. This class decides only the order; it never keeps a free slot empty.
/// State is not persisted: a new instance assumes the same usual work for all tenants. No I/O, no clock. Not
/// thread-safe.
///
/// Usage: call `enter` for each request, also for a request that gets a slot at once; order waiting requests by
/// `Turn::start`; call `serve` for a request that gets a slot and `leave` for a request that leaves without one.
class FairShare {
 public:
  explicit FairShare(FairShareLimits limits = {});

  /// Adds a request of the tenant. `work` is in milliseconds, as returned by `workOf`.
  Turn enter(Instant now, const TenantId& tenant, double work, double configured_weight = 1);
  /// Records that the request got a slot.
  void serve(Instant now, const TenantId& tenant, const Turn& turn);
  /// Refunds a request that left without a slot.
  void leave(const TenantId& tenant, const Turn& turn);
  /// Returns the start that a request of `work` would get now, after `more_work` of the same tenant.
  double startAfter(Instant now, const TenantId& tenant, double more_work, double work,
                    double configured_weight = 1) const;
  /// Corrects the charge of a served request: `more_work` is the actual minus the expected work, and may be negative.
  void correct(const TenantId& tenant, double more_work);

  double workOf(const ExpectedWork& expected) const;
  /// Usual work of the tenant per second, over its configured weight.
  double usual(Instant now, const TenantId& tenant) const;
  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct Tenant {
    /// Virtual time of the requests that the bucket does not cover.
    double virtual_time = 0;
    /// Time until which the bucket is used up, in seconds since the epoch of `Instant`.
    double paid_until = 0;
    /// Weights at the last request.
    double weight = 1;
    double configured_weight = 1;
    /// Work per second over the configured weight, up to the start of `window`.
    double usual = 0;
    std::int64_t window = 0;
    std::uint32_t windows_seen = 0;
    double in_window = 0;
    Instant used_at{};
    std::list<std::string>::iterator use_position;
  };

  std::int64_t windowOf(Instant now) const { return now.time_since_epoch() / limits_.window_length; }
  /// Usual work at the start of the window if no work has been counted since `tenant.window`.
  double usualAt(const Tenant& tenant, std::int64_t window) const;
  double meanUsual() const;
  /// Folds the work of completed windows into the usual work.
  void closeWindows(Instant now);
  void learnUsual(Tenant& tenant, double mean) const;
  double weightOf(double usual, double configured_weight) const;
  /// True if the bucket covers `all_work`, the last part of which is a request of `work`.
  bool covers(Instant now, const Tenant& tenant, double weight, double all_work, double work) const;
  Tenant& markUsed(Instant now, const TenantId& id);
  void evictIdle(Instant now);

  FairShareLimits limits_;
  std::unordered_map<std::string, Tenant> tenants_;
  /// Ordered by last use, the tenant idle for longest first.
  std::list<std::string> by_use_;
  /// Tenants with work in the current window.
  std::vector<std::string> in_window_;
  std::int64_t window_ = 0;
  /// Weight of one window in the usual work.
  double learning_rate_ = 0;
  double virtual_time_ = 1;
  double usual_sum_ = 0;
  /// Moving mean of the work of a request.
  double mean_work_ = 0;
};

}  // namespace hatchfork::request
