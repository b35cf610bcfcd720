#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <optional>

#include "common/time.hpp"

namespace hatchfork::request {

struct LoadForecasterLimits {
  /// Counts are kept in bins of length `bin`, as the maximum of each bin, for `kept_for`.
  Duration bin = fromMillis(100);
  Duration kept_for = std::chrono::seconds(30);
  /// Shortest period searched for. The longest is half of the recorded time.
  Duration shortest_period = std::chrono::seconds(1);
  /// A load cycle is detected if counts one period apart have at least this correlation, and if the counts vary by more
  /// than this share of their mean.
  double min_correlation = 0.75;
  double min_swing = 0.25;
  /// If the count exceeds the predicted count by more than `max_excess` times the range of counts, the period is
  /// ignored for `ignored_for`.
  double max_excess = 0.35;
  Duration ignored_for = std::chrono::seconds(3);
  /// Uncertainty of the time of a rise.
  Duration time_uncertainty = fromMillis(200);
  /// Number of the last periods used to predict the next period.
  std::size_t periods_used = 3;
};

/// Highest number of requests expected in flight in each span of the near future.
class LoadForecast {
 public:
  /// Ends of the spans, from now; the last span stands for all later time.
  static constexpr std::array<Duration, 10> kEnds{
      fromMillis(250),  fromMillis(500),  fromMillis(1000), fromMillis(1500), fromMillis(2000),
      fromMillis(3000), fromMillis(4000), fromMillis(6000), fromMillis(8000), fromMillis(12000)};
  static constexpr std::size_t kSpans = kEnds.size();
  static Duration beginOf(std::size_t span) { return span == 0 ? Duration::zero() : kEnds[span - 1]; }
  /// Number of spans that start before `ahead` from now.
  static std::size_t spansWithin(Duration ahead);

  std::array<double, kSpans> most{};
  /// Maximum over the spans that start before `ahead` from now.
  double mostWithin(Duration ahead) const;
};

/// Learns the recent course of online load and forecasts it, so that batch work can finish before a rise. Detects
/// periodic load (load cycles) with a period of some seconds. Without a period, the load is expected to rise again as
/// far as it recently rose within the same time, up to the highest recorded count. No I/O, no clock. Not thread-safe.
class LoadForecaster {
 public:
  explicit LoadForecaster(LoadForecasterLimits limits = {}) : limits_(limits) {}

  void note(Instant now, double in_flight);
  double level() const { return bins_.empty() ? 0 : bins_.back(); }
  /// Period of the load cycle, if a cycle is detected and its prediction holds.
  std::optional<Duration> period() const;
  const LoadForecast& forecast() const { return forecast_; }
  /// Highest recorded count.
  double peak() const;

 private:
  std::size_t maxBins() const { return static_cast<std::size_t>(limits_.kept_for / limits_.bin); }
  std::size_t binsIn(Duration duration) const;
  void closeBin(double value);
  /// Records how far the count has risen within the time of each span.
  void noteRises();
  void findPeriod();
  double correlation(std::size_t lag) const;
  bool isTrusted() const;
  /// Highest count of the last periods around the times that correspond to `from` to `to` bins from now, widened by
  /// `time_uncertainty`.
  double periodicPeak(std::size_t from, std::size_t to) const;
  void makeForecast();

  using Rises = std::array<double, LoadForecast::kSpans>;
  LoadForecasterLimits limits_;
  std::deque<double> bins_;
  std::deque<Rises> rises_;
  std::int64_t open_bin_ = -1;
  /// Period in bins; zero if none is detected.
  std::size_t period_bins_ = 0;
  double swing_ = 0;
  std::size_t bins_until_search_ = 0;
  std::size_t ignored_bins_ = 0;
  LoadForecast forecast_;
};

}  // namespace hatchfork::request
