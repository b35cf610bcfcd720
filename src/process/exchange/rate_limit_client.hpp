#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "process/metrics/metrics_page.hpp"
#include "request/admission/pending_budget.hpp"
#include "request/limits/rate_limit_account.hpp"
#include "version/configuration_objects.hpp"

namespace hatchfork::exchange {

struct RateLimitCounters {
  std::uint64_t admitted = 0;
  /// Of these, on the gateway's own part of the limit, since the owner did not answer.
  std::uint64_t admitted_alone = 0;
  /// Of these, after a wait here for a credit that was kept for them.
  std::uint64_t admitted_held = 0;
  std::uint64_t over_limit = 0;
  /// Of these, sent away with a time at which a credit is kept for them.
  std::uint64_t appointments = 0;
  /// Their caller left while they waited.
  std::uint64_t left = 0;
  /// Rejected since neither the owner answered nor the own part sufficed.
  std::uint64_t unanswered = 0;
  std::uint64_t questions = 0;
  /// How long requests waited for a credit; those that waited not at all are left out.
  metrics::LatencyHistogram wait;
};

/// A request that needs a credit.
struct LimitedRequest {
  std::string_view id;
  request::CreditRequestEntry ask;
  /// What it takes of the memory for requests that wait.
  std::size_t bytes = 0;
};

/// Holds the rate limits of tenants at one gateway: takes credits from the stores that own the limits, lets requests
/// wait whose credit comes soon, and rejects what is over a limit at once. Belongs to one thread.
class RateLimitClient {
 public:
  /// Sends a question to a store; false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::CreditQuestionFrame& question)>;

  RateLimitClient(connection::asio::io_context& context, request::RateLimitOptions options,
                  request::PendingBudget& holds, SendFunction send)
      : context_(context), options_(options), holds_(holds), send_(std::move(send)) {}

  /// The stores that own limits, as the newest membership names them.
  void setOwners(std::vector<ReplicaId> owners) { owners_ = std::move(owners); }
  /// Admits a request of the tenant, or tells why not: `kRateLimited` over the limit, `kUnavailable` where that can't
  /// be told, `kCancelled` if its caller left while it waited.
  connection::Awaitable<Status> admit(const Tenant& tenant, LimitedRequest limited, connection::ResponseWriter& writer);
  void take(const fleet::CreditAnswerFrame& answer);
  /// Forgets tenants that sent nothing for long. Call about once a second.
  void expire(Instant now);

  const RateLimitCounters& counters() const { return counters_; }
  std::size_t accounts() const { return entries_.size(); }

 private:
  /// A request that waits for a credit; lives in the frame of its coroutine.
  struct Waiter {
    const LimitedRequest& limited;
    /// What it can use now.
    request::CreditRequestEntry ask;
    connection::Timer timer;
    /// Since when it waits for what it waits for now: to be asked for, or for the answer.
    Instant since;
    std::optional<Instant> asked_at = std::nullopt;
    std::optional<request::CreditDecision> reply = std::nullopt;
    bool is_new_reply = false;
    bool has_left = false;
  };

  struct Entry {
    request::RateLimitAccount account;
    TenantLimits limits;
    /// Requests that wait for a credit.
    std::vector<Waiter*> waiting;
  };

  /// Asks the owner for those who wait and were not asked for yet, and for those that are likely soon.
  void ask(Instant now, const TenantId& tenant, Entry& entry);
  /// Until the owner has answered, or may be asked, or is given up.
  static void takeReplies(const request::CreditResponse& answer, Entry& entry);
  connection::Awaitable<void> waitForAnswer(Instant now, Waiter& waiter, const Entry& entry);
  connection::Awaitable<Status> waitForCredit(const TenantId& tenant, Entry& entry, Waiter& waiter);
  /// What the owner's reply to the request itself means; nothing if it is to wait and ask again.
  connection::Awaitable<std::optional<Status>> followReply(const TenantId& tenant, Entry& entry, Waiter& waiter);
  Status admitAlone(Instant now, const TenantId& tenant, Entry& entry);
  Error overLimit(Instant now, const TenantId& tenant, Entry& entry, Duration come_back_after) const;
  Error sentAway(Instant now, const TenantId& tenant, Entry& entry, const request::CreditDecision& reply);
  void logWait(const TenantId& tenant, const Entry& entry, const Waiter& waiter, std::string_view outcome) const;

  connection::asio::io_context& context_;
  request::RateLimitOptions options_;
  request::PendingBudget& holds_;
  SendFunction send_;
  std::vector<ReplicaId> owners_;
  std::map<TenantId, Entry> entries_;
  RateLimitCounters counters_;
};

}  // namespace hatchfork::exchange
