#include "request/admission/retry_schedule.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Number of sequences of due times. Due times of one sequence are apart by the time in which the bucket gains one
/// credit, so credits of reservations due within `kSequences` such times are already kept in the bucket.
constexpr double kSequences = 2;

Duration timeToGain(double credits, double rate) {
  constexpr double kLongestSeconds = 3600;
  return Duration(static_cast<Duration::rep>(std::min(credits / std::max(rate, 1e-9), kLongestSeconds) * 1e6));
}

}  // namespace

RetrySchedule::RetrySchedule(RetryScheduleLimits limits) : limits_(limits), fresh_(limits.demand_averaging_time) {}

void RetrySchedule::noteArrivals(Instant now, double arrivals) {
  fresh_.note(now, arrivals);
}

void RetrySchedule::removeEntry(Timeline::iterator entry, bool is_reserved) {
  const auto [first, last] = by_content_.equal_range(entry->second);
  const auto known = std::find_if(first, last, [&](const auto& item) { return item.second.key == entry->first; });
  if (known != last) by_content_.erase(known);
  (is_reserved ? reserved_ : expected_).erase(entry);
}

void RetrySchedule::expire(Instant now) {
  while (!reserved_.empty() && now > reserved_.begin()->first.first + limits_.kept_for) {
    ++counters_.lapsed;
    removeEntry(reserved_.begin(), true);
  }
  while (!expected_.empty() && now > expected_.begin()->first.first + limits_.kept_for)
    removeEntry(expected_.begin(), false);
}

std::size_t RetrySchedule::kept(Instant now, double rate, double capacity) {
  expire(now);
  const Instant soon = now + timeToGain(kSequences, rate);
  std::size_t due = 0;
  for (auto entry = reserved_.begin(); entry != reserved_.end() && entry->first.first <= soon; ++entry) ++due;
  // Reservations beyond the capacity of the bucket cannot be kept: the oldest are dropped.
  while (static_cast<double>(due) > std::max(1.0, capacity) && !reserved_.empty()) {
    ++counters_.lapsed;
    removeEntry(reserved_.begin(), true);
    --due;
  }
  return due;
}

void RetrySchedule::addEntry(Instant due, std::uint64_t content, bool is_reserved) {
  Timeline& timeline = is_reserved ? reserved_ : expected_;
  const Key key{due, ++last_number_};
  timeline.emplace(key, content);
  by_content_.emplace(content, Entry{key, is_reserved});
  if (timeline.size() > limits_.max_expected) removeEntry(timeline.begin(), is_reserved);
}

std::optional<RetrySchedule::Entry> RetrySchedule::takeEntry(std::uint64_t content) {
  const auto [first, last] = by_content_.equal_range(content);
  if (first == last) return std::nullopt;
  // Of several entries with the same content, the one that is due first is used.
  const auto earliest =
      std::min_element(first, last, [](const auto& a, const auto& b) { return a.second.key < b.second.key; });
  const Entry found = earliest->second;
  (found.is_reserved ? reserved_ : expected_).erase(found.key);
  by_content_.erase(earliest);
  return found;
}

double RetrySchedule::spare(Instant now, double rate) const {
  if (now < full_until_) return 0;
  return std::clamp(rate - fresh_.rate(now), 0.0, rate);
}

std::optional<Instant> RetrySchedule::nextDue(Instant now, Instant& last_due, double rate, Duration longest) {
  if (rate <= 0) return std::nullopt;
  const Instant due = std::max(last_due, now) + timeToGain(1, rate);
  if (due > now + longest) return std::nullopt;
  last_due = due;
  return due;
}

CreditDecision RetrySchedule::judge(Instant now, const CreditRequestEntry& ask, double rate, double capacity,
                                    double level) {
  expire(now);
  const std::optional<Entry> known = takeEntry(ask.content);
  if (known && known->is_reserved) return judgeReserved(now, ask, known->key.first, rate, level);
  if (known) fresh_.note(now, -1);
  const double free = level - static_cast<double>(kept(now, rate, capacity));
  // While fresh requests use the whole limit, a retried request takes nothing from them.
  const bool has_plenty = free >= rate * toSeconds(limits_.plenty_time);
  const bool may_compete = !known || spare(now, rate) > 0;
  const bool may_take = has_plenty || (may_compete && order_.mayTake(now, ask.rank, rate));
  if (free >= 1 && may_take) {
    order_.noteTaken(now, ask.rank);
    return {ask.content, CreditOutcome::kGranted, {}};
  }
  if (!known) order_.noteLacked(now, ask.rank);
  return known ? judgeRetried(now, ask, rate) : judgeFresh(now, ask, rate);
}

CreditDecision RetrySchedule::judgeReserved(Instant now, const CreditRequestEntry& ask, Instant due, double rate,
                                            double level) {
  const bool is_early = now + timeToGain(kSequences, rate) < due;
  if (!is_early && level >= 1) {
    ++counters_.used;
    return {ask.content, CreditOutcome::kGranted, {}};
  }
  // Early, or the limit was lowered: the reservation stays.
  const Instant next = std::max(due, now + timeToGain(std::max(0.0, 1 - level), rate));
  addEntry(next, ask.content, true);
  const bool waits_at_gateway = next <= now + std::max({ask.max_timely_wait, ask.max_useful_wait, limits_.max_early});
  return {ask.content, waits_at_gateway ? CreditOutcome::kWait : CreditOutcome::kRetryReserved, next - now};
}

CreditDecision RetrySchedule::judgeFresh(Instant now, const CreditRequestEntry& ask, double rate) {
  const double sequence_rate = std::max(limits_.floor_share * rate, limits_.spare_share * spare(now, rate));
  if (const auto due = nextDue(now, last_refused_due_, sequence_rate, ask.away)) {
    ++counters_.promised;
    addEntry(*due, ask.content, true);
    const bool waits_at_gateway = *due <= now + ask.max_timely_wait;
    return {ask.content, waits_at_gateway ? CreditOutcome::kWait : CreditOutcome::kRetryReserved, *due - now};
  }
  ++counters_.unkept;
  addEntry(now + ask.away, ask.content, false);
  return {ask.content, CreditOutcome::kRetryUnreserved, ask.away};
}

CreditDecision RetrySchedule::judgeRetried(Instant now, const CreditRequestEntry& ask, double rate) {
  const double sequence_rate = limits_.spare_share * spare(now, rate);
  if (const auto due =
          nextDue(now, last_late_due_, sequence_rate, std::max(ask.max_timely_wait, ask.max_useful_wait))) {
    ++counters_.promised;
    addEntry(*due, ask.content, true);
    return {ask.content, CreditOutcome::kWait, *due - now};
  }
  ++counters_.refused_again;
  return {ask.content, CreditOutcome::kRefused, ask.away};
}

}  // namespace hatchfork::request
