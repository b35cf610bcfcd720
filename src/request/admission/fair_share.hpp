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
  /// A tenant is at its usual up to so many times its usual work, with so much of it, or so many requests, at once:
  /// requests of one tenant come in clumps.
  double usual_margin = 1.25;
  Duration allowance = std::chrono::seconds(1);
  double allowed_requests = 4;
  /// A tenant that sent nothing for this long is forgotten, and so are the longest silent ones above this many.
  Duration forgotten_after = std::chrono::minutes(3);
  std::size_t most_tenants = 65536;
};

/// Where a request stands between those of all tenants.
struct Turn {
  /// Who has less goes first; zero for what its tenant usually sends. Stays as it is while the request waits;
  /// comparable between all requests of one `FairShare`.
  double start = 0;
  /// What it added to its tenant's time, and the work that it asked for.
  double charged = 0;
  double work = 0;
};

/// Whose turn it is when room is short. Answers the load of one tenant that sends many times its usual, maybe while
/// engines are lost: those who stay at their usual go before its surplus.
///
/// Each tenant has a bucket that fills at its weight: requests that it covers go first, all alike. The others go by
/// start-time fair queueing: their tenant's virtual time grows by the work they ask for over its weight, and who is
/// behind goes first, so that what is left is shared by weight. The weight is the tenant's configured weight times its
/// usual work, and at least times the mean usual work of all tenants; usual work counts over the configured weight, so
/// that tenants that always wait come to be served by their configured weights. A tenant that was idle has a full
/// bucket and starts at the common virtual time: no other credit for the past. Says only who goes first, never that a
/// free place stays empty. What is known is soft: it starts with nothing, and then all tenants are equal. No I/O, no
/// clock. Belongs to one thread.
///
/// Use: `enter` each request, also one that finds a place at once; order those who wait by `Turn::start`; `serve` the
/// one that gets a place; `leave` for one that goes without.
class FairShare {
 public:
  explicit FairShare(FairShareLimits limits = {});

  /// A request of the tenant asks for a place. `work` in milliseconds, of `workOf`.
  Turn enter(Instant now, const TenantId& tenant, double work, double configured_weight = 1);
  /// It has got a place.
  void serve(Instant now, const TenantId& tenant, const Turn& turn);
  /// It has left without a place: its tenant has not used what it asked for.
  void leave(const TenantId& tenant, const Turn& turn);
  /// The start that a request of this work would have now, after so much more of its tenant.
  double startAfter(Instant now, const TenantId& tenant, double more_work, double work,
                    double configured_weight = 1) const;
  /// A served request took so much more, or less if negative, than was expected.
  void correct(const TenantId& tenant, double more_work);

  double workOf(const ExpectedWork& expected) const;
  /// The tenant's usual work a second, over its configured weight.
  double usual(Instant now, const TenantId& tenant) const;
  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct Tenant {
    /// Of its surplus.
    double virtual_time = 0;
    /// Until when its bucket is used up, in seconds of the time line.
    double paid_until = 0;
    /// Of the last request.
    double weight = 1;
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
  /// Whether the bucket covers so much work, the last piece of it a request of `work`.
  bool covers(Instant now, const Tenant& tenant, double weight, double all_work, double work) const;
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
  double virtual_time_ = 1;
  double usual_sum_ = 0;
  /// Mean work of a request.
  double typical_work_ = 0;
};

}  // namespace hatchfork::request
