#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "request/admission/credit_request.hpp"
#include "request/limits/rate_limit_account.hpp"
#include "request/limits/rate_limit_owner.hpp"

/// Replays a tenant that sends eight times its usual load for some seconds, on top of periodic load: gateways, one
/// owner of the tenant's limit and callers with one retry each, in virtual time in steps of a millisecond.
namespace hatchfork::request::replay {

struct Settings {
  RateLimitOptions options{std::chrono::seconds(5), 20};
  std::size_t gateways = 55;
  double usual = 83;
  double limit = 248;
  double surge = 8;
  int surge_begins_ms = 9000;
  int surge_ends_ms = 13000;
  int ends_ms = 26000;
  /// Time at which the owner is replaced by a new owner without state; zero for never.
  int owner_replaced_ms = 0;
  /// Requests carry the urgency of their route.
  bool ordered = true;
  std::uint32_t seed = 7;
};

struct Caller {
  int first_ms = 0;
  int attempt_ms = 0;
  bool has_returned = false;
  bool was_refused_early = false;
  bool is_urgent = true;
  std::uint64_t content = 0;

  int objective() const { return is_urgent ? 300 : 400; }
  int deadline() const { return is_urgent ? 5000 : 2000; }
};

struct Outcome {
  int in_time = 0;
  /// Requests refused early, then served within the objective of the second attempt.
  int in_time_returned = 0;
  int late = 0;
  int refused_twice = 0;
  int abandoned = 0;
  int fresh_urgent_asked = 0;
  int fresh_urgent_in_time = 0;
  int fresh_other_asked = 0;
  int fresh_other_in_time = 0;
  /// Credits granted and used in the five seconds after the surge.
  int credits_after = 0;
  int used_after = 0;
  std::size_t most_in_window = 0;
  int questions = 0;
  RetryCounters returns;

  int served() const { return in_time + in_time_returned + late; }
  double unusedShare() const { return 1 - static_cast<double>(used_after) / credits_after; }
};

class Replay {
 public:
  explicit Replay(Settings settings) : settings_(settings), owner_(settings.options), random_(settings.seed) {
    limits_.online_requests_per_second = settings.limit;
    limits_.online_burst = settings.limit;
    for (std::size_t index = 0; index < settings.gateways; ++index) gateways_.emplace_back(settings.options);
  }

  Outcome run() {
    double due = 0;
    for (now_ = 0; now_ < settings_.ends_ms; ++now_) {
      if (settings_.owner_replaced_ms != 0 && now_ == settings_.owner_replaced_ms) replaceOwner();
      due += demand() / 1000;
      for (; due >= 1; due -= 1) arriveFresh();
      returnCallers();
      deliver();
      for (Gateway& gateway : gateways_) settle(gateway);
    }
    outcome_.returns = owner_.returns();
    outcome_.credits_after = static_cast<int>(settings_.limit * 5);
    return outcome_;
  }

 private:
  struct Waiter {
    Caller caller;
    CreditRequestEntry ask;
    int since_ms = 0;
    bool asked = false;
    std::optional<CreditDecision> reply;
    std::optional<int> held_until_ms;
    bool done = false;
  };
  struct Gateway {
    explicit Gateway(RateLimitOptions options) : account(options) {}
    RateLimitAccount account;
    std::deque<Waiter> waiting;
  };
  struct Message {
    std::size_t gateway = 0;
    CreditRequest question;
    CreditResponse answer;
  };

  static constexpr int kTransitMs = 1;
  static constexpr int kServiceMs = 60;

  Instant at(int milliseconds) const { return Instant(std::chrono::seconds(1000) + fromMillis(milliseconds)); }

  double demand() const {
    const int phase = (now_ + 5800 - 3400) % 5800;
    const double cycle_factor = phase < 2400 ? 1.87 : 0.383;
    const bool in_surge = now_ >= settings_.surge_begins_ms && now_ < settings_.surge_ends_ms;
    return settings_.usual * cycle_factor * (in_surge ? settings_.surge : 1);
  }

  void replaceOwner() {
    owner_ = RateLimitOwner(settings_.options);
    owner_.noteTakeover(at(now_));
  }

  void arriveFresh() {
    Caller caller;
    caller.first_ms = caller.attempt_ms = now_;
    caller.is_urgent = random_() % 100 < 79;
    caller.content = ++last_content_ * 0x9e3779b97f4a7c15ULL;
    ++(caller.is_urgent ? outcome_.fresh_urgent_asked : outcome_.fresh_other_asked);
    arrive(caller);
  }

  void arrive(const Caller& caller) {
    Gateway& gateway = gateways_[random_() % gateways_.size()];
    gateway.account.noteArrival(at(now_));
    if (gateway.account.tryTake(at(now_))) {
      admit(caller);
      ask(gateway);
      return;
    }
    const int left = caller.deadline() - (now_ - caller.first_ms);
    Waiter waiter{caller, creditRequestFor(fromMillis(caller.objective()), fromMillis(left), fromMillis(left)),
                  now_,   false,
                  {},     {},
                  false};
    waiter.ask.content = caller.content;
    waiter.ask.rank = caller.is_urgent || !settings_.ordered ? 0 : 2;
    gateway.waiting.push_back(waiter);
  }

  void ask(Gateway& gateway) {
    std::vector<Waiter*> unasked;
    for (Waiter& waiter : gateway.waiting) {
      if (!waiter.asked && !waiter.reply && !waiter.done) unasked.push_back(&waiter);
    }
    std::optional<CreditRequest> question = gateway.account.nextRequest(at(now_), unasked.size());
    if (!question) return;
    ++outcome_.questions;
    for (Waiter* waiter : unasked) {
      waiter->asked = true;
      if (settings_.options.appointments) question->asks.push_back(waiter->ask);
    }
    const auto index = static_cast<std::size_t>(&gateway - gateways_.data());
    to_owner_.emplace(now_ + kTransitMs, Message{index, *question, {}});
  }

  void deliver() {
    for (; !to_owner_.empty() && to_owner_.begin()->first <= now_; to_owner_.erase(to_owner_.begin())) {
      Message message = to_owner_.begin()->second;
      message.answer = owner_.answer(at(now_), TenantId("crew"), limits_, message.question);
      to_gateways_.emplace(now_ + kTransitMs, message);
    }
    for (; !to_gateways_.empty() && to_gateways_.begin()->first <= now_; to_gateways_.erase(to_gateways_.begin())) {
      const Message& message = to_gateways_.begin()->second;
      Gateway& gateway = gateways_[message.gateway];
      gateway.account.noteResponse(at(now_), message.answer);
      for (const CreditDecision& reply : message.answer.replies) takeReply(gateway, reply);
      if (message.answer.supports_scheduled_retries) continue;
      for (Waiter& waiter : gateway.waiting) waiter.asked = false;
    }
  }

  static void takeReply(Gateway& gateway, const CreditDecision& reply) {
    for (Waiter& waiter : gateway.waiting) {
      if (!waiter.asked || waiter.reply || waiter.ask.content != reply.content) continue;
      waiter.reply = reply;
      return;
    }
  }

  void settle(Gateway& gateway) {
    for (Waiter& waiter : gateway.waiting) settle(gateway, waiter);
    while (!gateway.waiting.empty() && gateway.waiting.front().done) gateway.waiting.pop_front();
    if (!gateway.waiting.empty()) ask(gateway);
  }

  void settle(Gateway& gateway, Waiter& waiter) {
    if (waiter.done) return;
    if (waiter.held_until_ms) {
      if (now_ < *waiter.held_until_ms) return;
      waiter.held_until_ms.reset();
      waiter.reply.reset();
      waiter.asked = false;
      waiter.since_ms = now_;
      return;
    }
    if (waiter.reply) return follow(gateway, waiter);
    if (!waiter.asked && gateway.account.tryTake(at(now_))) return finish(waiter, [&] { admit(waiter.caller); });
    if (gateway.account.isOverLimit(at(now_))) {
      const Duration after = gateway.account.retryDelay(at(now_), limits_);
      return finish(waiter, [&] { refuse(waiter.caller, after); });
    }
  }

  void follow(Gateway& gateway, Waiter& waiter) {
    const CreditDecision reply = *waiter.reply;
    if (reply.outcome == CreditOutcome::kGranted) {
      gateway.account.noteGranted(at(now_));
      return finish(waiter, [&] { admit(waiter.caller); });
    }
    if (reply.outcome == CreditOutcome::kWait) {
      waiter.held_until_ms = now_ + static_cast<int>(toMillis(reply.after)) + 1;
      return;
    }
    finish(waiter, [&] { refuse(waiter.caller, reply.after); });
  }

  template <typename Action>
  void finish(Waiter& waiter, Action action) {
    waiter.done = true;
    action();
  }

  void admit(const Caller& caller) {
    admitted_.push_back(now_);
    while (admitted_.front() <= now_ - toMillis(settings_.options.window)) admitted_.pop_front();
    outcome_.most_in_window = std::max(outcome_.most_in_window, admitted_.size());
    const int after = now_ - settings_.surge_ends_ms;
    if (after >= 0 && after < 5000) ++outcome_.used_after;
    const bool in_time = now_ + kServiceMs - caller.first_ms <= caller.objective();
    const bool in_time_again = now_ + kServiceMs - caller.attempt_ms <= caller.objective();
    if (in_time) {
      ++outcome_.in_time;
      ++(caller.is_urgent ? outcome_.fresh_urgent_in_time : outcome_.fresh_other_in_time);
    } else if (caller.was_refused_early && in_time_again) {
      ++outcome_.in_time_returned;
    } else {
      ++outcome_.late;
    }
  }

  void refuse(Caller caller, Duration after) {
    if (caller.has_returned) {
      ++outcome_.refused_twice;
      return;
    }
    const int left = caller.deadline() - (now_ - caller.first_ms);
    const int away = std::min(static_cast<int>(toMillis(after)), left / 3);
    caller.has_returned = true;
    caller.was_refused_early = now_ - caller.attempt_ms <= caller.objective() / 4;
    // Network transit in both directions and a new connection.
    caller.attempt_ms = now_ + away + 3;
    returning_.emplace(caller.attempt_ms, caller);
  }

  void returnCallers() {
    while (!returning_.empty() && returning_.begin()->first <= now_) {
      const Caller caller = returning_.begin()->second;
      returning_.erase(returning_.begin());
      arrive(caller);
    }
  }

  Settings settings_;
  TenantLimits limits_;
  RateLimitOwner owner_;
  std::vector<Gateway> gateways_;
  std::mt19937 random_;
  int now_ = 0;
  std::uint64_t last_content_ = 0;
  std::multimap<int, Message> to_owner_;
  std::multimap<int, Message> to_gateways_;
  std::multimap<int, Caller> returning_;
  std::deque<int> admitted_;
  Outcome outcome_;
};

}  // namespace hatchfork::request::replay
