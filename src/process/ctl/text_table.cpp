#include "process/ctl/text_table.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

namespace hatchfork::ctl {
namespace {

constexpr std::uint64_t kBarWidth = 20;
constexpr std::int64_t kMinute = 60;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::int64_t kDay = 24 * kHour;

}  // namespace

std::string TextTable::render() const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += fmt::format("{:<{}}", row[column], widths[column] + 2);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string progressBar(std::uint64_t done, std::uint64_t total) {
  const std::uint64_t filled = total == 0 ? 0 : kBarWidth * done / total;
  const std::uint64_t percent = total == 0 ? 0 : 100 * done / total;
  return fmt::format("[{}{}] {:3}% {}/{}", std::string(filled, '#'), std::string(kBarWidth - filled, '-'), percent,
                     done, total);
}

std::optional<Duration> remainingTime(std::uint64_t done, std::uint64_t total, Duration elapsed) {
  if (done == 0 || done >= total || elapsed <= Duration::zero()) return std::nullopt;
  const double seconds = toSeconds(elapsed) * static_cast<double>(total - done) / static_cast<double>(done);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

std::string describeDuration(Duration duration) {
  if (duration < std::chrono::seconds(1)) return fmt::format("{} ms", toMillis(duration));
  const std::int64_t seconds = toMillis(duration) / 1000;
  if (seconds < kMinute) return fmt::format("{} s", seconds);
  if (seconds < kHour) return fmt::format("{} min {} s", seconds / kMinute, seconds % kMinute);
  if (seconds < kDay) return fmt::format("{} h {} min", seconds / kHour, seconds % kHour / kMinute);
  return fmt::format("{} d {} h", seconds / kDay, seconds % kDay / kHour);
}

std::string describeTime(WallMillis time) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", fmt::gmtime(static_cast<std::time_t>(time / 1000)));
}

}  // namespace hatchfork::ctl
