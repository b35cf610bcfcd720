#include "request/admission/load_forecaster.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hatchfork::request {
namespace {

/// A search for a period costs more than closing a bin, so a search runs only once in this number of bins.
constexpr std::size_t kBinsBetweenSearches = 5;
/// Least number of bins compared; otherwise the last two periods are compared. Counts from before a load began carry no
/// information about its cycle.
constexpr std::size_t kMinComparedBins = 60;

}  // namespace

std::size_t LoadForecast::spansWithin(Duration ahead) {
  std::size_t spans = 1;
  while (spans < kSpans && kEnds[spans - 1] < ahead) ++spans;
  return spans;
}

double LoadForecast::mostWithin(Duration ahead) const {
  return *std::max_element(most.begin(), most.begin() + static_cast<std::ptrdiff_t>(spansWithin(ahead)));
}

std::size_t LoadForecaster::binsIn(Duration duration) const {
  return static_cast<std::size_t>((duration + limits_.bin - Duration(1)) / limits_.bin);
}

double LoadForecaster::peak() const {
  return bins_.empty() ? 0 : *std::max_element(bins_.begin(), bins_.end());
}

std::optional<Duration> LoadForecaster::period() const {
  if (!isTrusted()) return std::nullopt;
  return limits_.bin * static_cast<Duration::rep>(period_bins_);
}

bool LoadForecaster::isTrusted() const {
  return period_bins_ > 0 && ignored_bins_ == 0;
}

void LoadForecaster::note(Instant now, double in_flight) {
  const std::int64_t bin = now.time_since_epoch() / limits_.bin;
  if (bin == open_bin_ && !bins_.empty()) {
    bins_.back() = std::max(bins_.back(), in_flight);
    // A rise within the bin takes effect at once.
    forecast_.most[0] = std::max(forecast_.most[0], in_flight);
    return;
  }
  const std::int64_t passed = open_bin_ < 0 ? 1 : std::max<std::int64_t>(1, bin - open_bin_);
  const auto unreported =
      static_cast<std::size_t>(std::min<std::int64_t>(passed - 1, static_cast<std::int64_t>(maxBins())));
  // Without a report the count is taken to have stayed the same.
  for (std::size_t i = 0; i < unreported; ++i) closeBin(level());
  closeBin(in_flight);
  open_bin_ = bin;
  if (bins_until_search_ == 0) {
    findPeriod();
    bins_until_search_ = kBinsBetweenSearches;
  }
  --bins_until_search_;
  makeForecast();
}

void LoadForecaster::closeBin(double value) {
  if (ignored_bins_ > 0) --ignored_bins_;
  if (isTrusted() && value > periodicPeak(0, 0) + limits_.max_excess * swing_) {
    ignored_bins_ = binsIn(limits_.ignored_for);
  }
  bins_.push_back(value);
  if (bins_.size() > maxBins()) bins_.pop_front();
  noteRises();
}

void LoadForecaster::noteRises() {
  Rises rises{};
  double least = bins_.back();
  std::size_t back = 0;
  for (std::size_t span = 0; span < LoadForecast::kSpans; ++span) {
    const std::size_t reach = std::min(binsIn(LoadForecast::kEnds[span]), bins_.size() - 1);
    for (; back <= reach; ++back) least = std::min(least, bins_[bins_.size() - 1 - back]);
    rises[span] = bins_.back() - least;
  }
  rises_.push_back(rises);
  if (rises_.size() > maxBins()) rises_.pop_front();
}

double LoadForecaster::correlation(std::size_t lag) const {
  const std::size_t count = std::min(bins_.size() - lag, std::max(2 * lag, kMinComparedBins));
  const std::size_t first = bins_.size() - lag - count;
  double sum_early = 0;
  double sum_late = 0;
  for (std::size_t i = first; i < first + count; ++i) {
    sum_early += bins_[i];
    sum_late += bins_[i + lag];
  }
  const double mean_early = sum_early / static_cast<double>(count);
  const double mean_late = sum_late / static_cast<double>(count);
  double both = 0;
  double early = 0;
  double late = 0;
  for (std::size_t i = first; i < first + count; ++i) {
    const double left = bins_[i] - mean_early;
    const double right = bins_[i + lag] - mean_late;
    both += left * right;
    early += left * left;
    late += right * right;
  }
  return early <= 0 || late <= 0 ? 0 : both / std::sqrt(early * late);
}

void LoadForecaster::findPeriod() {
  period_bins_ = 0;
  const std::size_t shortest = binsIn(limits_.shortest_period);
  if (bins_.size() < 4 * shortest) return;
  const auto [least, most] = std::minmax_element(bins_.begin(), bins_.end());
  swing_ = *most - *least;
  const double mean = std::accumulate(bins_.begin(), bins_.end(), 0.0) / static_cast<double>(bins_.size());
  if (swing_ < limits_.min_swing * mean) return;
  // Neighboring counts are similar in any case: a lag qualifies as a period only after the correlation has been
  // negative at a shorter lag.
  bool was_negative = false;
  double best = limits_.min_correlation;
  for (std::size_t lag = 1; lag <= bins_.size() / 2; ++lag) {
    const double similarity = correlation(lag);
    was_negative = was_negative || similarity < 0;
    if (!was_negative || lag < shortest || similarity <= best) continue;
    // Prefers the shortest of about equally good lags, since multiples of a period are periods as well.
    if (period_bins_ > 0 && lag > period_bins_ + period_bins_ / 2) break;
    best = similarity;
    period_bins_ = lag;
  }
}

double LoadForecaster::periodicPeak(std::size_t from, std::size_t to) const {
  const std::size_t time_uncertainty = binsIn(limits_.time_uncertainty);
  double most = 0;
  for (std::size_t period = 1; period <= limits_.periods_used; ++period) {
    // Indexes count backwards from the newest bin. Spans longer than a period cover the whole period.
    const std::size_t back = period * period_bins_;
    const std::size_t oldest = std::min(back + time_uncertainty, bins_.size() - 1);
    const std::size_t oldest_of_span = oldest > from ? oldest - from : 0;
    const std::size_t newest_of_span = back > to + time_uncertainty ? back - to - time_uncertainty : 0;
    if (back >= bins_.size()) break;
    for (std::size_t i = newest_of_span; i <= oldest_of_span; ++i) most = std::max(most, bins_[bins_.size() - 1 - i]);
  }
  return most;
}

void LoadForecaster::makeForecast() {
  const double greatest = peak();
  const bool trusted = isTrusted();
  for (std::size_t span = 0; span < LoadForecast::kSpans; ++span) {
    double risen = 0;
    for (const Rises& rises : rises_) risen = std::max(risen, rises[span]);
    double max_in_flight = std::min(greatest, level() + risen);
    if (trusted) {
      const auto from = static_cast<std::size_t>(LoadForecast::beginOf(span) / limits_.bin);
      max_in_flight = std::min(max_in_flight, periodicPeak(from, binsIn(LoadForecast::kEnds[span])));
    }
    forecast_.most[span] = max_in_flight;
  }
  forecast_.most[0] = std::max(forecast_.most[0], level());
}

}  // namespace hatchfork::request
