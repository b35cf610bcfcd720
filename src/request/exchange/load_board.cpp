#include "request/exchange/load_board.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::request {
namespace {

constexpr Duration kReportLifetime = std::chrono::seconds(1);

}  // namespace

void LoadBoard::report(Instant now, const std::string& process, std::vector<EngineShare> shares) {
  reports_[process] = Report{now, std::move(shares)};
}

void LoadBoard::expire(Instant now) {
  std::erase_if(reports_, [now](const auto& entry) { return now > entry.second.at + kReportLifetime; });
}

std::vector<EngineShare> LoadBoard::others(const std::string& process) const {
  std::map<EngineId, EngineShare> sums;
  for (const auto& [reporter, report] : reports_) {
    if (reporter == process) continue;
    for (const EngineShare& share : report.shares) {
      EngineShare& sum = sums[share.engine];
      sum.engine = share.engine;
      sum.in_flight += share.in_flight;
      sum.unread_tokens += share.unread_tokens;
      sum.avoid_ms = std::max(sum.avoid_ms, share.avoid_ms);
    }
  }
  std::vector<EngineShare> list;
  for (auto& [engine, sum] : sums) list.push_back(std::move(sum));
  return list;
}

}  // namespace hatchfork::request
