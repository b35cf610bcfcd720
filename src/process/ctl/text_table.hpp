#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace hatchfork::ctl {

/// Rows of text in aligned columns, for terminals.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header) { add(std::move(header)); }
  void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  /// One line for each row; columns are two spaces apart, no spaces at the end of a line.
  std::string render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// "[#####-----]  50% 500/1000".
std::string progressBar(std::uint64_t done, std::uint64_t total);
/// Time left if work goes on at the mean pace so far; nothing before the first unit is done or once all are.
std::optional<Duration> remainingTime(std::uint64_t done, std::uint64_t total, Duration elapsed);
/// "850 ms", "12 s", "3 min 20 s", "2 h 5 min", "3 d 4 h".
std::string describeDuration(Duration duration);
/// "2026-01-31 17:05:09Z".
std::string describeTime(WallMillis time);

}  // namespace hatchfork::ctl
