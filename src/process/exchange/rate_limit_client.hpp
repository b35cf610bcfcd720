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
  /// Subset of `admitted`: from the gateway's local share of the limit, since the owner did not answer.
  std::uint64_t admitted_locally = 0;
  /// Number of requests that waited at this gateway for a reserved credit.
  std::uint64_t admitted_held = 0;
  std::uint64_t over_limit = 0;
  /// Subset of `over_limit`: refused with a scheduled retry and a reserved credit.
  std::uint64_t scheduled_retries = 0;
  /// Number of requests whose caller left while they waited.
  std::uint64_t caller_left = 0;
  /// Number of requests rejected because the owner did not answer and the local share was used up.
  std::uint64_t unanswered = 0;
  /// Number of credit requests sent to owners.
  std::uint64_t questions = 0;
  /// Wait for a credit, without the requests that did not wait.
  metrics::LatencyHistogram wait;
};

/// A request that needs a credit.
struct LimitedRequest {
  std::string_view id;
  request::CreditRequestEntry credit_request;
  /// Bytes that the request takes from the pending budget while it waits.
  std::size_t bytes = 0;
};

/// Enforces the rate limits of tenants at one gateway: obtains credits from the stores that own the limits, parks
/// requests whose credit is due soon, and rejects requests over a limit at once. Not thread-safe.
class RateLimitClient {
 public:
  /// Sends a credit request to a store; returns false if there is no connection.
  using SendFunction = std::function<bool(const ReplicaId& to, const fleet::CreditQuestionFrame& question)>;

  RateLimitClient(connection::asio::io_context& context, request::RateLimitOptions options,
                  request::PendingBudget& pending_budget, SendFunction send)
      : context_(context), options_(options), pending_budget_(pending_budget), send_(std::move(send)) {}

  /// Sets the stores that own limits, from the newest membership.
  void setOwners(std::vector<ReplicaId> owners) { owners_ = std::move(owners); }
  /// Admits a request of the tenant or returns an error: `kRateLimited` over the limit, `kUnavailable` if the owner did
  /// not answer and the local share is used up, `kCancelled` if the caller left while the request waited.
  connection::Awaitable<Status> admit(const Tenant& tenant, LimitedRequest limited, connection::ResponseWriter& writer);
  /// Refuses the requests that wait for a credit, and all that would have to from now on, as `kUnavailable`.
  void stop();
  /// Handles an owner's answer.
  void take(const fleet::CreditAnswerFrame& answer);
  /// Removes tenants that have been idle for long. Call about once a second.
  void expire(Instant now);

  const RateLimitCounters& counters() const { return counters_; }
  std::size_t accounts() const { return entries_.size(); }

 private:
  /// A request that waits for a credit; lives in the frame of its coroutine.
  struct Waiter {
    const LimitedRequest& limited;
    /// Credit request with the waits that are still of use now.
    request::CreditRequestEntry credit_request;
    connection::Timer timer;
    /// Start of the current wait: to be included in a credit request, or for the answer.
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

  /// Requests credits from the owner for the waiting requests not requested yet and for expected arrivals.
  void requestCredits(Instant now, const TenantId& tenant, Entry& entry);
  /// Assigns the owner's replies to the waiting requests.
  static void assignReplies(const request::CreditResponse& answer, Entry& entry);
  /// Waits until the owner has answered, the next credit request may be sent, or the wait times out.
  connection::Awaitable<void> waitForAnswer(Instant now, Waiter& waiter, const Entry& entry);
  connection::Awaitable<Status> waitForCredit(const TenantId& tenant, Entry& entry, Waiter& waiter);
  /// Applies the owner's reply to this request. Returns nullopt after a wait, when credit must be requested again.
  connection::Awaitable<std::optional<Status>> applyReply(const TenantId& tenant, Entry& entry, Waiter& waiter);
  Status admitFromLocalShare(Instant now, const TenantId& tenant, Entry& entry);
  Error overLimit(Instant now, const TenantId& tenant, Entry& entry, Duration retry_after_delay) const;
  Error rejectWithRetry(Instant now, const TenantId& tenant, Entry& entry, const request::CreditDecision& reply);
  void logWait(const TenantId& tenant, const Entry& entry, const Waiter& waiter, std::string_view outcome) const;

  connection::asio::io_context& context_;
  request::RateLimitOptions options_;
  request::PendingBudget& pending_budget_;
  SendFunction send_;
  std::vector<ReplicaId> owners_;
  std::map<TenantId, Entry> entries_;
  bool has_stopped_ = false;
  RateLimitCounters counters_;
};

}  // namespace hatchfork::exchange
