#include "process/exchange/trial_client.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "common/log.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

constexpr Duration kTimeout = fromMillis(1000);
constexpr Duration kStoreTimeout = fromMillis(400);
/// A healthy leader needs one round trip to a quorum.
constexpr Duration kHedgeDelay = fromMillis(160);
constexpr Duration kRefuseAfter = fromMillis(90);
constexpr Duration kRetryWhenUnanswered = fromMillis(1000);
/// A trial that ends well releases the request for all callers long before its lease expires.
constexpr Duration kLongestDenial = fromMillis(500);

}  // namespace

Awaitable<TrialAnswer> TrialClient::request(request::RequestFingerprint content, std::string holder,
                                            std::string request) {
  const Instant asked_at = monotonicNow();
  const auto denied = denied_until_.find(content);
  if (denied != denied_until_.end() && asked_at < denied->second) {
    ++counters_.denied;
    co_return TrialAnswer{false, true, denied->second - asked_at};
  }
  const store::StoreRequest question = store::TrialRequest{content, holder};
  const store::StoreReply reply = co_await stores_.call(question, limitsFrom(asked_at));
  const Instant now = monotonicNow();
  const TrialAnswer answer = take(now, content, reply);
  logEvent(LogLevel::kInfo, "trial_requested",
           {{"request", request},
            {"content", content.value},
            {"holder", holder},
            {"answered", answer.is_answered},
            {"granted", answer.is_granted},
            {"ask_again_ms", toMillis(answer.ask_again)},
            {"took_ms", toMillis(now - asked_at)}});
  co_return answer;
}

StoreCallLimits TrialClient::limitsFrom(Instant now) {
  return {now + kTimeout, kStoreTimeout, kHedgeDelay, now + kRefuseAfter};
}

void TrialClient::endUnused(request::RequestFingerprint content, std::string holder) {
  auto call = [](StoreClient& stores, store::StoreRequest notice) -> Awaitable<void> {
    // Without an answer the lease ends by its time.
    co_await stores.call(notice, limitsFrom(monotonicNow()));
  };
  store::StoreRequest notice = store::TrialRequest{std::move(content), std::move(holder), /*is_unused=*/true};
  connection::asio::co_spawn(context_, call(stores_, std::move(notice)), connection::asio::detached);
}

TrialAnswer TrialClient::take(Instant now, const request::RequestFingerprint& content, const store::StoreReply& reply) {
  const auto* decided = std::get_if<store::TrialReply>(&reply);
  if (decided == nullptr) {
    ++counters_.unanswered;
    return TrialAnswer{false, false, kRetryWhenUnanswered};
  }
  if (decided->is_granted) {
    ++counters_.granted;
    return TrialAnswer{true, true, {}};
  }
  ++counters_.denied;
  const Duration wait = fromMillis(std::max<std::int64_t>(1, decided->wait_ms));
  const Duration ask_again = std::min(wait, kLongestDenial);
  denied_until_[content] = now + ask_again;
  return TrialAnswer{false, true, ask_again};
}

void TrialClient::expire(Instant now) {
  std::erase_if(denied_until_, [now](const auto& item) { return now >= item.second; });
}

}  // namespace hatchfork::exchange
