#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <optional>

#include "common/time.hpp"

namespace hatchfork::request {

struct LoadForecasterLimits {
  /// Counts are kept in bins of this length, the greatest of each, for so long.
  Duration bin = fromMillis(100);
  Duration kept_for = std::chrono::seconds(30);
  /// The shortest period that is looked for; the longest is what was seen twice over.
  Duration shortest_period = std::chrono::seconds(1);
  /// Counts a period apart must be alike to this degree (their correlation), and swing by more than this share of their
  /// mean, to be taken for a wave.
  double least_likeness = 0.75;
  double least_swing = 0.25;
  /// A period is given up for so long once the count is above what it told by more than this share of the swing.
  double surprise = 0.35;
  Duration distrusted_for = std::chrono::seconds(3);
  /// How exactly the time of a rise is known.
  Duration blur = fromMillis(200);
  /// So many last periods say what the next one will be like.
  std::size_t periods_used = 3;
};

/// The most that is expected in flight in each span of the time to come.
class LoadForecast {
 public:
  /// Ends of the spans; the last one stands for all later time.
  static constexpr std::array<Duration, 10> kEnds{
      fromMillis(250),  fromMillis(500),  fromMillis(1000), fromMillis(1500), fromMillis(2000),
      fromMillis(3000), fromMillis(4000), fromMillis(6000), fromMillis(8000), fromMillis(12000)};
  static constexpr std::size_t kSpans = kEnds.size();
  static Duration beginOf(std::size_t span) { return span == 0 ? Duration::zero() : kEnds[span - 1]; }
  /// Spans that begin before `ahead` from now.
  static std::size_t spansWithin(Duration ahead);

  std::array<double, kSpans> most{};
  /// The greatest of the first spans that begin before `ahead`.
  double mostWithin(Duration ahead) const;
};

/// Learns the recent shape of online load, so that batch work can leave before a wave. Answers a load that comes in
/// waves of some seconds, and one that has no period: then it may rise again as far as it has risen lately in as much
/// time, up to the greatest count kept. No I/O, no clock. Belongs to one thread.
class LoadForecaster {
 public:
  explicit LoadForecaster(LoadForecasterLimits limits = {}) : limits_(limits) {}

  void note(Instant now, double in_flight);
  double level() const { return bins_.empty() ? 0 : bins_.back(); }
  /// The period of the wave, if there is one.
  std::optional<Duration> period() const;
  const LoadForecast& forecast() const { return forecast_; }
  /// The greatest count kept.
  double peak() const;

 private:
  std::size_t mostBins() const { return static_cast<std::size_t>(limits_.kept_for / limits_.bin); }
  std::size_t binsIn(Duration duration) const;
  void closeBin(double value);
  /// How far the count has risen lately in so many bins at the most.
  void noteRises();
  void findPeriod();
  double likeness(std::size_t lag) const;
  bool isTrusted() const;
  /// The greatest count around the time a number of bins after now, in the last periods.
  double periodicMost(std::size_t from, std::size_t to) const;
  void makeForecast();

  using Rises = std::array<double, LoadForecast::kSpans>;
  LoadForecasterLimits limits_;
  std::deque<double> bins_;
  std::deque<Rises> rises_;
  std::int64_t open_bin_ = -1;
  /// Bins of the period; zero without one.
  std::size_t period_bins_ = 0;
  double swing_ = 0;
  std::size_t bins_until_search_ = 0;
  std::size_t distrusted_bins_ = 0;
  LoadForecast forecast_;
};

}  // namespace hatchfork::request
