#include "request/exchange/load_table.hpp"

#include <algorithm>
#include <utility>

namespace hatchfork::request {
namespace {

constexpr Duration kReportLifetime = std::chrono::seconds(1);

}  // namespace

void LoadTable::report(Instant now, const std::string& process, std::vector<EngineShare> shares) {
  Report& report = reports_[process];
  subtract(process, report.shares);
  report = Report{now, std::move(shares)};
  add(process, report.shares);
}

void LoadTable::add(const std::string& process, const std::vector<EngineShare>& shares) {
  for (const EngineShare& share : shares) {
    Total& total = totals_[share.engine];
    total.in_flight += share.in_flight;
    total.unread_tokens += share.unread_tokens;
    if (share.avoid_ms > 0) total.avoid_ms[process] = share.avoid_ms;
    ++total.reports;
  }
}

void LoadTable::subtract(const std::string& process, const std::vector<EngineShare>& shares) {
  for (const EngineShare& share : shares) {
    const auto found = totals_.find(share.engine);
    Total& total = found->second;
    total.in_flight -= share.in_flight;
    total.unread_tokens -= share.unread_tokens;
    total.avoid_ms.erase(process);
    if (--total.reports == 0) totals_.erase(found);
  }
}

void LoadTable::expire(Instant now) {
  std::erase_if(reports_, [&](const auto& entry) {
    const bool late = now > entry.second.at + kReportLifetime;
    if (late) subtract(entry.first, entry.second.shares);
    return late;
  });
}

std::vector<EngineShare> LoadTable::totals() const {
  std::vector<EngineShare> list;
  for (const auto& [engine, total] : totals_) {
    EngineShare share{engine, total.in_flight, total.unread_tokens, 0};
    for (const auto& [who, avoid_ms] : total.avoid_ms) share.avoid_ms = std::max(share.avoid_ms, avoid_ms);
    if (share.in_flight > 0 || share.unread_tokens > 0 || share.avoid_ms > 0) list.push_back(std::move(share));
  }
  return list;
}

}  // namespace hatchfork::request
