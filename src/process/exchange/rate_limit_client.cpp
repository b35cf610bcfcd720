#include "process/exchange/rate_limit_client.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "common/log.hpp"
#include "request/limits/limit_owner_choice.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// Timeout for the owner's answer, which normally takes a few milliseconds.
constexpr Duration kAnswerTimeout = fromMillis(60);
/// Timeout for a request not sent to the owner yet, since an earlier credit request is in flight or requests are being
/// batched.
constexpr Duration kUnsentTimeout = fromMillis(120);
/// Maximum number of entries in one credit request; the rest go into the next one.
constexpr std::size_t kMaxEntriesPerRequest = 64;
constexpr Duration kMinWait = fromMillis(1);
constexpr Duration kMinRetryDelay = fromMillis(5);
/// Retry delay if the owner did not answer and the local share is used up.
constexpr Duration kRetryWhenUnanswered = fromMillis(400);

}  // namespace

Awaitable<Status> RateLimitClient::admit(const Tenant& tenant, LimitedRequest limited,
                                         connection::ResponseWriter& writer) {
  if (tenant.limits.online_requests_per_second <= 0) co_return okStatus();
  const Instant arrived = monotonicNow();
  const TenantId id = tenant.id;
  Entry& entry = entries_.try_emplace(id, Entry{request::RateLimitAccount(options_), {}, {}}).first->second;
  entry.limits = tenant.limits;
  entry.account.noteArrival(arrived);
  if (entry.account.tryTake(arrived)) {
    requestCredits(arrived, id, entry);
    ++counters_.admitted;
    co_return okStatus();
  }
  Waiter waiter{limited, limited.credit_request, connection::Timer(context_), arrived};
  if (options_.appointments) {
    writer.watchPeer([&waiter] {
      waiter.has_left = true;
      waiter.timer.cancel();
    });
  }
  entry.waiting.push_back(&waiter);
  const Status admitted = co_await waitForCredit(id, entry, waiter);
  std::erase(entry.waiting, &waiter);
  // The peer watch refers to the waiter, whose lifetime ends here.
  if (options_.appointments) writer.watchPeer(nullptr);
  const Instant now = monotonicNow();
  if (now > arrived) counters_.wait.observe(now - arrived);
  if (isOk(admitted)) ++counters_.admitted;
  co_return admitted;
}

void RateLimitClient::stop() {
  has_stopped_ = true;
  for (auto& [tenant, entry] : entries_) {
    for (Waiter* waiter : entry.waiting) waiter->timer.cancel();
  }
}

Awaitable<Status> RateLimitClient::waitForCredit(const TenantId& tenant, Entry& entry, Waiter& waiter) {
  while (true) {
    const Instant now = monotonicNow();
    if (has_stopped_) {
      co_return Error{ErrorKind::kUnavailable, "the gateway stops before the request has a credit",
                      "send it again on a new connection", Executed::kNo, kMinRetryDelay};
    }
    if (waiter.has_left) {
      ++counters_.caller_left;
      co_return Error{
          ErrorKind::kCancelled, "the caller left while the request waited for a credit", "", Executed::kNo, {}};
    }
    if (waiter.reply) {
      std::optional<Status> decided = co_await applyReply(tenant, entry, waiter);
      if (decided) co_return *decided;
      continue;
    }
    if (!waiter.asked_at && entry.account.tryTake(now)) co_return okStatus();
    const bool is_late = now >= waiter.since + (waiter.asked_at ? kAnswerTimeout : kUnsentTimeout);
    if (is_late) entry.account.noteNoResponse(now, entry.limits);
    if (entry.account.isOwnerUnreachable(now)) co_return admitFromLocalShare(now, tenant, entry);
    if (entry.account.isOverLimit(now)) {
      ++counters_.over_limit;
      co_return overLimit(now, tenant, entry, entry.account.retryDelay(now, entry.limits));
    }
    requestCredits(now, tenant, entry);
    if (!entry.account.isOwnerUnreachable(now)) co_await waitForAnswer(now, waiter, entry);
  }
}

void RateLimitClient::requestCredits(Instant now, const TenantId& tenant, Entry& entry) {
  std::vector<Waiter*> unsent;
  for (Waiter* waiter : entry.waiting) {
    if (!waiter->asked_at && !waiter->reply && unsent.size() < kMaxEntriesPerRequest) unsent.push_back(waiter);
  }
  std::optional<request::CreditRequest> credit_request = entry.account.nextRequest(now, unsent.size());
  if (!credit_request) return;
  ++counters_.questions;
  for (Waiter* waiter : unsent) {
    waiter->asked_at = now;
    waiter->since = now;
    if (options_.appointments) credit_request->asks.push_back(waiter->credit_request);
  }
  const ReplicaId owner = request::limitOwnerOf(tenant, owners_);
  if (!owner.empty() && send_(owner, fleet::CreditQuestionFrame{tenant, *credit_request})) return;
  entry.account.noteNoResponse(now, entry.limits);
  logEvent(LogLevel::kInfo, "rate_limit_owner_lost",
           {{"tenant", tenant.value}, {"owner", owner.value}, {"cause", "no connection"}});
}

Awaitable<void> RateLimitClient::waitForAnswer(Instant now, Waiter& waiter, const Entry& entry) {
  Instant until = waiter.since + (waiter.asked_at ? kAnswerTimeout : kUnsentTimeout);
  if (!waiter.asked_at && !entry.account.isRequestInFlight()) {
    until = std::min(until, entry.account.nextRequestAt());
  }
  waiter.timer.expires_at(std::max(until, now + kMinWait));
  boost::system::error_code ignored;
  co_await waiter.timer.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
}

Awaitable<std::optional<Status>> RateLimitClient::applyReply(const TenantId& tenant, Entry& entry, Waiter& waiter) {
  const Instant now = monotonicNow();
  const request::CreditDecision reply = *waiter.reply;
  if (reply.outcome == request::CreditOutcome::kGranted) {
    entry.account.noteGranted(now);
    co_return okStatus();
  }
  if (reply.outcome != request::CreditOutcome::kWait) {
    ++counters_.over_limit;
    co_return rejectWithRetry(now, tenant, entry, reply);
  }
  const request::PendingReservation reservation(pending_budget_, waiter.limited.bytes);
  if (!reservation.entered()) {
    ++counters_.over_limit;
    logWait(tenant, entry, waiter, "no_room");
    co_return rejectWithRetry(now, tenant, entry, reply);
  }
  waiter.timer.expires_at(now + reply.after);
  boost::system::error_code ignored;
  co_await waiter.timer.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
  logWait(tenant, entry, waiter, waiter.has_left ? "caller_left" : "asks_again");
  if (!waiter.has_left) ++counters_.admitted_held;
  waiter.reply.reset();
  waiter.asked_at.reset();
  waiter.since = monotonicNow();
  // Subtracts the elapsed wait from the waits that are still of use.
  const Duration waited = waiter.since - now;
  for (Duration* left : {&waiter.credit_request.max_timely_wait, &waiter.credit_request.max_useful_wait})
    *left = std::max(Duration::zero(), *left - waited);
  co_return std::nullopt;
}

Status RateLimitClient::admitFromLocalShare(Instant now, const TenantId& tenant, Entry& entry) {
  const bool has_share = entry.account.tryTakeLocalShare(now);
  logEvent(LogLevel::kInfo, "rate_limit_unanswered", {{"tenant", tenant.value}, {"admitted", has_share}});
  if (has_share) {
    ++counters_.admitted_locally;
    return okStatus();
  }
  ++counters_.unanswered;
  return Error{ErrorKind::kUnavailable,
               "the store that owns the rate limit of tenant " + tenant.value +
                   " does not answer, and this gateway's local share of the limit is used up",
               "retry after the time in Retry-After", Executed::kNo, kRetryWhenUnanswered};
}

Error RateLimitClient::overLimit(Instant now, const TenantId& tenant, Entry& entry, Duration retry_after_delay) const {
  const auto answered = entry.account.lastResponseAt();
  return Error{
      ErrorKind::kRateLimited,
      fmt::format("tenant {} is over its limit of {:g} requests per second: {:.1f} recently, as reported {} ms ago",
                  tenant.value, entry.limits.online_requests_per_second, entry.account.lastResponse().used_per_second,
                  answered ? toMillis(now - *answered) : -1),
      "retry after the time in Retry-After, or ask the operators for a higher limit", Executed::kNo, retry_after_delay};
}

Error RateLimitClient::rejectWithRetry(Instant now, const TenantId& tenant, Entry& entry,
                                       const request::CreditDecision& reply) {
  Error error = overLimit(now, tenant, entry, std::max(reply.after, kMinRetryDelay));
  const bool is_reserved =
      reply.outcome == request::CreditOutcome::kRetryReserved || reply.outcome == request::CreditOutcome::kWait;
  if (is_reserved) ++counters_.scheduled_retries;
  const std::string_view retry_text = is_reserved ? "a credit is reserved for the request in"
                                      : reply.outcome == request::CreditOutcome::kRetryUnreserved
                                          ? "no credit is reserved; retry in"
                                          : "no credit becomes free while the request is still of use; looked ahead";
  error.message += fmt::format("; {} {} ms", retry_text, toMillis(reply.after));
  return error;
}

void RateLimitClient::logWait(const TenantId& tenant, const Entry& entry, const Waiter& waiter,
                              std::string_view outcome) const {
  const auto answered = entry.account.lastResponseAt();
  logEvent(LogLevel::kInfo, "credit_awaited",
           {{"request", waiter.limited.id},
            {"tenant", tenant.value},
            {"outcome", outcome},
            {"kept_after_ms", waiter.reply ? toMillis(waiter.reply->after) : -1},
            {"in_time_ms", toMillis(waiter.credit_request.max_timely_wait)},
            {"at_all_ms", toMillis(waiter.credit_request.max_useful_wait)},
            {"level", fmt::format("{:.2f}", entry.account.lastResponse().level)},
            {"answer_age_ms", answered ? toMillis(monotonicNow() - *answered) : -1},
            {"held_requests", pending_budget_.requests()}});
}

void RateLimitClient::take(const fleet::CreditAnswerFrame& frame) {
  const auto found = entries_.find(frame.tenant);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const Instant now = monotonicNow();
  if (frame.is_owner) {
    entry.account.noteResponse(now, frame.answer);
    assignReplies(frame.answer, entry);
  } else {
    entry.account.noteNoResponse(now, entry.limits);
    logEvent(LogLevel::kInfo, "rate_limit_owner_lost", {{"tenant", frame.tenant.value}, {"cause", "not the owner"}});
  }
  for (Waiter* waiter : entry.waiting) {
    // A request that waits for its reserved credit is not woken by replies to other requests.
    if (!waiter->reply || waiter->is_new_reply) waiter->timer.cancel();
    waiter->is_new_reply = false;
  }
}

void RateLimitClient::assignReplies(const request::CreditResponse& answer, Entry& entry) {
  for (const request::CreditDecision& reply : answer.replies) {
    const auto waiter = std::find_if(entry.waiting.begin(), entry.waiting.end(), [&](const Waiter* candidate) {
      return candidate->asked_at && !candidate->reply && candidate->credit_request.content == reply.content;
    });
    if (waiter == entry.waiting.end()) continue;
    (*waiter)->reply = reply;
    (*waiter)->is_new_reply = true;
  }
  // Owners without scheduled retries grant credits to all waiting requests alike, so unserved ones request again.
  if (answer.supports_scheduled_retries) return;
  for (Waiter* waiter : entry.waiting) {
    if (!waiter->reply) waiter->asked_at.reset();
  }
}

void RateLimitClient::expire(Instant now) {
  std::erase_if(entries_,
                [now](const auto& item) { return item.second.waiting.empty() && item.second.account.isIdle(now); });
}

}  // namespace hatchfork::exchange
