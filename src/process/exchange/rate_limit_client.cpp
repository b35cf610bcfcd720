#include "process/exchange/rate_limit_client.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "common/log.hpp"
#include "request/limits/limit_owner_choice.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// How long a request waits for its owner's answer, which takes a few milliseconds where all is well.
constexpr Duration kPatience = fromMillis(60);
/// The same where it was not asked yet, since an earlier question is under way or questions are being gathered.
constexpr Duration kPatienceUnasked = fromMillis(120);
/// Most requests that one question names; the others are named by the next one.
constexpr std::size_t kMostAsks = 64;
constexpr Duration kShortestWait = fromMillis(1);
constexpr Duration kShortestReturn = fromMillis(5);
/// When a caller comes back that could not be told whether it is over its limit.
constexpr Duration kComeBackWhenAnswered = fromMillis(400);

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
    ask(arrived, id, entry);
    ++counters_.admitted;
    co_return okStatus();
  }
  Waiter waiter{limited, limited.ask, connection::Timer(context_), arrived};
  if (options_.appointments) {
    writer.watchPeer([&waiter] {
      waiter.has_left = true;
      waiter.timer.cancel();
    });
  }
  entry.waiting.push_back(&waiter);
  const Status admitted = co_await waitForCredit(id, entry, waiter);
  std::erase(entry.waiting, &waiter);
  // The waiter ends here.
  if (options_.appointments) writer.watchPeer(nullptr);
  const Instant now = monotonicNow();
  if (now > arrived) counters_.wait.observe(now - arrived);
  if (isOk(admitted)) ++counters_.admitted;
  co_return admitted;
}

Awaitable<Status> RateLimitClient::waitForCredit(const TenantId& tenant, Entry& entry, Waiter& waiter) {
  while (true) {
    const Instant now = monotonicNow();
    if (waiter.has_left) {
      ++counters_.left;
      co_return Error{
          ErrorKind::kCancelled, "the caller left while the request waited for a credit", "", Executed::kNo, {}};
    }
    if (waiter.reply) {
      std::optional<Status> followed = co_await followReply(tenant, entry, waiter);
      if (followed) co_return *followed;
      continue;
    }
    if (!waiter.asked_at && entry.account.tryTake(now)) co_return okStatus();
    const bool is_late = now >= waiter.since + (waiter.asked_at ? kPatience : kPatienceUnasked);
    if (is_late) entry.account.noteNoResponse(now, entry.limits);
    if (entry.account.isOwnerUnreachable(now)) co_return admitAlone(now, tenant, entry);
    if (entry.account.isOverLimit(now)) {
      ++counters_.over_limit;
      co_return overLimit(now, tenant, entry, entry.account.retryDelay(now, entry.limits));
    }
    ask(now, tenant, entry);
    if (!entry.account.isOwnerUnreachable(now)) co_await waitForAnswer(now, waiter, entry);
  }
}

void RateLimitClient::ask(Instant now, const TenantId& tenant, Entry& entry) {
  std::vector<Waiter*> unasked;
  for (Waiter* waiter : entry.waiting) {
    if (!waiter->asked_at && !waiter->reply && unasked.size() < kMostAsks) unasked.push_back(waiter);
  }
  std::optional<request::CreditRequest> question = entry.account.nextRequest(now, unasked.size());
  if (!question) return;
  ++counters_.questions;
  for (Waiter* waiter : unasked) {
    waiter->asked_at = now;
    waiter->since = now;
    if (options_.appointments) question->asks.push_back(waiter->ask);
  }
  const ReplicaId owner = request::limitOwnerOf(tenant, owners_);
  if (!owner.empty() && send_(owner, fleet::CreditQuestionFrame{tenant, *question})) return;
  entry.account.noteNoResponse(now, entry.limits);
  logEvent(LogLevel::kInfo, "rate_limit_owner_lost",
           {{"tenant", tenant.value}, {"owner", owner.value}, {"cause", "no connection"}});
}

Awaitable<void> RateLimitClient::waitForAnswer(Instant now, Waiter& waiter, const Entry& entry) {
  Instant until = waiter.since + (waiter.asked_at ? kPatience : kPatienceUnasked);
  if (!waiter.asked_at && !entry.account.isRequestInFlight()) {
    until = std::min(until, entry.account.nextRequestAt());
  }
  waiter.timer.expires_at(std::max(until, now + kShortestWait));
  boost::system::error_code ignored;
  co_await waiter.timer.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
}

Awaitable<std::optional<Status>> RateLimitClient::followReply(const TenantId& tenant, Entry& entry, Waiter& waiter) {
  const Instant now = monotonicNow();
  const request::CreditDecision reply = *waiter.reply;
  if (reply.outcome == request::CreditOutcome::kGranted) {
    entry.account.noteGranted(now);
    co_return okStatus();
  }
  if (reply.outcome != request::CreditOutcome::kWait) {
    ++counters_.over_limit;
    co_return sentAway(now, tenant, entry, reply);
  }
  const request::PendingReservation place(holds_, waiter.limited.bytes);
  if (!place.entered()) {
    ++counters_.over_limit;
    logWait(tenant, entry, waiter, "no_room");
    co_return sentAway(now, tenant, entry, reply);
  }
  waiter.timer.expires_at(now + reply.after);
  boost::system::error_code ignored;
  co_await waiter.timer.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
  logWait(tenant, entry, waiter, waiter.has_left ? "caller_left" : "asks_again");
  if (!waiter.has_left) ++counters_.admitted_held;
  waiter.reply.reset();
  waiter.asked_at.reset();
  waiter.since = monotonicNow();
  // What it has waited is gone from what it can still use.
  const Duration waited = waiter.since - now;
  for (Duration* left : {&waiter.ask.max_timely_wait, &waiter.ask.max_useful_wait})
    *left = std::max(Duration::zero(), *left - waited);
  co_return std::nullopt;
}

Status RateLimitClient::admitAlone(Instant now, const TenantId& tenant, Entry& entry) {
  const bool has_part = entry.account.tryTakeLocalShare(now);
  logEvent(LogLevel::kInfo, "rate_limit_unanswered", {{"tenant", tenant.value}, {"admitted", has_part}});
  if (has_part) {
    ++counters_.admitted_alone;
    return okStatus();
  }
  ++counters_.unanswered;
  return Error{ErrorKind::kUnavailable,
               "the store that keeps the rate limit of tenant " + tenant.value +
                   " does not answer, and this gateway's part of it is used up",
               "come back at the given time", Executed::kNo, kComeBackWhenAnswered};
}

Error RateLimitClient::overLimit(Instant now, const TenantId& tenant, Entry& entry, Duration come_back_after) const {
  const auto answered = entry.account.lastResponseAt();
  return Error{ErrorKind::kRateLimited,
               fmt::format("tenant {} is over its limit of {:g} requests a second: {:.1f} lately, as told {} ms ago",
                           tenant.value, entry.limits.online_requests_per_second,
                           entry.account.lastResponse().used_per_second, answered ? toMillis(now - *answered) : -1),
               "come back at the given time, or ask the operators for a higher limit", Executed::kNo, come_back_after};
}

Error RateLimitClient::sentAway(Instant now, const TenantId& tenant, Entry& entry,
                                const request::CreditDecision& reply) {
  Error error = overLimit(now, tenant, entry, std::max(reply.after, kShortestReturn));
  const bool is_kept =
      reply.outcome == request::CreditOutcome::kRetryReserved || reply.outcome == request::CreditOutcome::kWait;
  if (is_kept) ++counters_.appointments;
  const std::string_view agreed = is_kept ? "a credit is kept for it in"
                                  : reply.outcome == request::CreditOutcome::kRetryUnreserved
                                      ? "none is free while its caller stays away, for"
                                      : "none comes while it is of use to its caller; looked ahead";
  error.message += fmt::format("; {} {} ms", agreed, toMillis(reply.after));
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
            {"in_time_ms", toMillis(waiter.ask.max_timely_wait)},
            {"at_all_ms", toMillis(waiter.ask.max_useful_wait)},
            {"level", fmt::format("{:.2f}", entry.account.lastResponse().level)},
            {"answer_age_ms", answered ? toMillis(monotonicNow() - *answered) : -1},
            {"held_requests", holds_.requests()}});
}

void RateLimitClient::take(const fleet::CreditAnswerFrame& frame) {
  const auto found = entries_.find(frame.tenant);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const Instant now = monotonicNow();
  if (frame.is_owner) {
    entry.account.noteResponse(now, frame.answer);
    takeReplies(frame.answer, entry);
  } else {
    entry.account.noteNoResponse(now, entry.limits);
    logEvent(LogLevel::kInfo, "rate_limit_owner_lost", {{"tenant", frame.tenant.value}, {"cause", "not the owner"}});
  }
  for (Waiter* waiter : entry.waiting) {
    // Who waits for the time of a kept credit is not woken by what others are told.
    if (!waiter->reply || waiter->is_new_reply) waiter->timer.cancel();
    waiter->is_new_reply = false;
  }
}

void RateLimitClient::takeReplies(const request::CreditResponse& answer, Entry& entry) {
  for (const request::CreditDecision& reply : answer.replies) {
    const auto waiter = std::find_if(entry.waiting.begin(), entry.waiting.end(), [&](const Waiter* one) {
      return one->asked_at && !one->reply && one->ask.content == reply.content;
    });
    if (waiter == entry.waiting.end()) continue;
    (*waiter)->reply = reply;
    (*waiter)->is_new_reply = true;
  }
  // Without appointments, credits are for those who wait alike.
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
