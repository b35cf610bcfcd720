#include "process/exchange/start_gate.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

void StartGate::start(Instant now, bool may_hold) {
  decisions_.emplace(now, seed_);
  may_hold_ = may_hold;
}

void StartGate::recheck() {
  for (const std::shared_ptr<Waiter>& waiter : waiting_) {
    if (waiter->is_open()) waiter->timer.cancel();
  }
}

void StartGate::stop() {
  has_stopped_ = true;
  for (const std::shared_ptr<Waiter>& waiter : waiting_) waiter->timer.cancel();
}

Awaitable<StartGate::Result> StartGate::pass(std::function<bool()> is_open, request::EarlyArrival arrival,
                                             std::size_t bytes, connection::ResponseWriter& writer) {
  if (is_open()) co_return Result{};
  const request::StartupDecision decision = decisions_->decide(monotonicNow(), arrival);
  const bool may_wait = may_hold_ && !has_stopped_ && decision.until;
  std::optional<request::PendingReservation> reservation;
  if (may_wait) reservation.emplace(budget_, bytes);
  if (!reservation || !reservation->entered()) {
    ++counters_.refused;
    co_return Result{Outcome::kRefused, decision.come_back_after, false};
  }
  ++counters_.held;
  const Instant until = *decision.until;
  const Outcome outcome = co_await hold(std::move(is_open), until, writer);
  counters_.wait.observe(monotonicNow() - arrival.received_at);
  if (outcome == Outcome::kOpen) ++counters_.served;
  if (outcome == Outcome::kCallerLeft) ++counters_.caller_left;
  if (outcome == Outcome::kRefused) ++counters_.refused;
  co_return Result{outcome, decision.come_back_after, true};
}

Awaitable<StartGate::Outcome> StartGate::hold(std::function<bool()> is_open, Instant until,
                                              connection::ResponseWriter& writer) {
  auto waiter = std::make_shared<Waiter>(Waiter{connection::Timer(context_, until), std::move(is_open)});
  waiting_.push_back(waiter);
  writer.watchPeer([waiter] {
    waiter->caller_left = true;
    waiter->timer.cancel();
  });
  while (!waiter->caller_left && !has_stopped_ && !waiter->is_open() && monotonicNow() < until) {
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
  }
  std::erase(waiting_, waiter);
  writer.watchPeer(nullptr);
  if (waiter->caller_left) co_return Outcome::kCallerLeft;
  co_return waiter->is_open() ? Outcome::kOpen : Outcome::kRefused;
}

}  // namespace hatchfork::exchange
