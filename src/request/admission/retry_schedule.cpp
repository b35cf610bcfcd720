#include "request/admission/retry_schedule.hpp"

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Times that are promised lie apart by the time in which the bucket fills by one credit, in each of two lines: so what
/// falls due within this many of these times is kept already.
constexpr double kLines = 2;

Duration timeOf(double credits, double rate) {
  constexpr double kLongestSeconds = 3600;
  return Duration(static_cast<Duration::rep>(std::min(credits / std::max(rate, 1e-9), kLongestSeconds) * 1e6));
}

}  // namespace

RetrySchedule::RetrySchedule(RetryScheduleLimits limits) : limits_(limits), fresh_(limits.demand_memory) {}

void RetrySchedule::noteArrivals(Instant now, double arrivals) {
  fresh_.note(now, arrivals);
}

void RetrySchedule::forget(Timeline::iterator entry, bool is_promised) {
  const auto [first, last] = known_.equal_range(entry->second);
  const auto known = std::find_if(first, last, [&](const auto& item) { return item.second.place == entry->first; });
  if (known != last) known_.erase(known);
  (is_promised ? promised_ : expected_).erase(entry);
}

void RetrySchedule::expire(Instant now) {
  while (!promised_.empty() && now > promised_.begin()->first.first + limits_.kept_for) {
    ++counters_.lapsed;
    forget(promised_.begin(), true);
  }
  while (!expected_.empty() && now > expected_.begin()->first.first + limits_.kept_for)
    forget(expected_.begin(), false);
}

std::size_t RetrySchedule::kept(Instant now, double rate, double capacity) {
  expire(now);
  const Instant soon = now + timeOf(kLines, rate);
  std::size_t due = 0;
  for (auto entry = promised_.begin(); entry != promised_.end() && entry->first.first <= soon; ++entry) ++due;
  // More than the bucket holds can't be kept: the oldest promise is given up.
  while (static_cast<double>(due) > std::max(1.0, capacity) && !promised_.empty()) {
    ++counters_.lapsed;
    forget(promised_.begin(), true);
    --due;
  }
  return due;
}

void RetrySchedule::remember(Instant due, std::uint64_t content, bool is_promised) {
  Timeline& timeline = is_promised ? promised_ : expected_;
  const Place place{due, ++last_number_};
  timeline.emplace(place, content);
  known_.emplace(content, Known{place, is_promised});
  if (timeline.size() > limits_.most_expected) forget(timeline.begin(), is_promised);
}

std::optional<RetrySchedule::Known> RetrySchedule::recall(std::uint64_t content) {
  const auto [first, last] = known_.equal_range(content);
  if (first == last) return std::nullopt;
  // Of several with the same content, the one that is due first.
  const auto earliest =
      std::min_element(first, last, [](const auto& a, const auto& b) { return a.second.place < b.second.place; });
  const Known found = earliest->second;
  (found.is_promised ? promised_ : expected_).erase(found.place);
  known_.erase(earliest);
  return found;
}

double RetrySchedule::spare(Instant now, double rate) const {
  if (now < full_until_) return 0;
  return std::clamp(rate - fresh_.rate(now), 0.0, rate);
}

std::optional<Instant> RetrySchedule::nextPlace(Instant now, Instant& line, double rate, Duration longest) {
  if (rate <= 0) return std::nullopt;
  const Instant place = std::max(line, now) + timeOf(1, rate);
  if (place > now + longest) return std::nullopt;
  line = place;
  return place;
}

CreditDecision RetrySchedule::judge(Instant now, const CreditRequestEntry& ask, double rate, double capacity,
                                    double level) {
  expire(now);
  const std::optional<Known> known = recall(ask.content);
  if (known && known->is_promised) return judgeKept(now, ask, known->place.first, rate, level);
  if (known) fresh_.note(now, -1);
  const double free = level - static_cast<double>(kept(now, rate, capacity));
  // While fresh requests take the whole limit, one that comes back takes nothing from them.
  const bool is_plenty = free >= rate * toSeconds(limits_.plenty);
  const bool is_before = !known || spare(now, rate) > 0;
  const bool may_take = is_plenty || (is_before && order_.mayTake(now, ask.rank, rate));
  if (free >= 1 && may_take) {
    order_.noteTaken(now, ask.rank);
    return {ask.content, CreditOutcome::kGranted, {}};
  }
  if (!known) order_.noteLacked(now, ask.rank);
  return known ? judgeReturned(now, ask, rate) : judgeFresh(now, ask, rate);
}

CreditDecision RetrySchedule::judgeKept(Instant now, const CreditRequestEntry& ask, Instant due, double rate,
                                        double level) {
  const bool is_early = now + timeOf(kLines, rate) < due;
  if (!is_early && level >= 1) {
    ++counters_.used;
    return {ask.content, CreditOutcome::kGranted, {}};
  }
  // Early, or the limit was lowered: its place stays.
  const Instant next = std::max(due, now + timeOf(std::max(0.0, 1 - level), rate));
  remember(next, ask.content, true);
  const bool waits_here = next <= now + std::max({ask.max_timely_wait, ask.max_useful_wait, limits_.early});
  return {ask.content, waits_here ? CreditOutcome::kWait : CreditOutcome::kRetryReserved, next - now};
}

CreditDecision RetrySchedule::judgeFresh(Instant now, const CreditRequestEntry& ask, double rate) {
  const double line_rate = std::max(limits_.floor_part * rate, limits_.spare_part * spare(now, rate));
  if (const auto place = nextPlace(now, away_line_, line_rate, ask.away)) {
    ++counters_.promised;
    remember(*place, ask.content, true);
    const bool waits_here = *place <= now + ask.max_timely_wait;
    return {ask.content, waits_here ? CreditOutcome::kWait : CreditOutcome::kRetryReserved, *place - now};
  }
  ++counters_.unkept;
  remember(now + ask.away, ask.content, false);
  return {ask.content, CreditOutcome::kRetryUnreserved, ask.away};
}

CreditDecision RetrySchedule::judgeReturned(Instant now, const CreditRequestEntry& ask, double rate) {
  const double line_rate = limits_.spare_part * spare(now, rate);
  if (const auto place = nextPlace(now, late_line_, line_rate, std::max(ask.max_timely_wait, ask.max_useful_wait))) {
    ++counters_.promised;
    remember(*place, ask.content, true);
    return {ask.content, CreditOutcome::kWait, *place - now};
  }
  ++counters_.refused_again;
  return {ask.content, CreditOutcome::kRefused, ask.away};
}

}  // namespace hatchfork::request
