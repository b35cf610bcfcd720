#include "request/admission/fair_share.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// While nothing is known of any tenant's usual work, each is taken to send so many requests a second.
constexpr double kUnknownRequestsPerSecond = 10;
/// Weight of a request's work in the typical work.
constexpr double kTypicalWorkRate = 0.02;
constexpr double kLeastWeight = 1e-6;

}  // namespace

FairShare::FairShare(FairShareLimits limits)
    : limits_(limits),
      learning_rate_(1 - std::pow(0.5, toSeconds(limits.usual_window) / toSeconds(limits.usual_half_life))) {}

double FairShare::workOf(const ExpectedWork& expected) const {
  const double reading = static_cast<double>(expected.prompt_tokens) / limits_.prompt_tokens_per_ms;
  const double known = toSeconds(expected.place_time) * 1000;
  if (known > 0) return reading + known;
  return reading + static_cast<double>(expected.tokens_out) / limits_.tokens_out_per_ms;
}

double FairShare::usualAt(const Tenant& tenant, std::int64_t window) const {
  const auto silent = static_cast<double>(std::max<std::int64_t>(0, window - tenant.window));
  return tenant.usual * std::pow(1 - learning_rate_, silent);
}

double FairShare::meanUsual() const {
  return tenants_.empty() ? 0 : std::max(0.0, usual_sum_) / static_cast<double>(tenants_.size());
}

/// The first windows of a tenant count alike, so that its usual work is known soon.
void FairShare::learnUsual(Tenant& tenant, double mean) const {
  const double seen = tenant.in_window / toSeconds(limits_.usual_window);
  const double taken = std::min(seen, limits_.most_surprise * std::max(tenant.usual, mean));
  ++tenant.windows_seen;
  const double rate = std::max(learning_rate_, 1.0 / tenant.windows_seen);
  tenant.usual += rate * (taken - tenant.usual);
  tenant.in_window = 0;
}

void FairShare::closeWindows(Instant now) {
  const std::int64_t window = windowOf(now);
  if (window <= window_) return;
  const auto over = static_cast<double>(window - window_);
  double mean = meanUsual();
  if (mean <= 0 && !in_window_.empty()) {
    double work = 0;
    for (const std::string& id : in_window_) work += tenants_.at(id).in_window;
    mean = work / toSeconds(limits_.usual_window) / static_cast<double>(in_window_.size());
  }
  usual_sum_ *= 1 - learning_rate_;
  for (const std::string& id : in_window_) {
    Tenant& tenant = tenants_.at(id);
    usual_sum_ -= tenant.usual * (1 - learning_rate_);
    learnUsual(tenant, mean);
    usual_sum_ += tenant.usual;
    tenant.window = window_ + 1;
  }
  in_window_.clear();
  usual_sum_ *= std::pow(1 - learning_rate_, over - 1);
  window_ = window;
}

double FairShare::weightOf(double usual, double configured_weight) const {
  double base = std::max(usual, meanUsual());
  if (base <= 0) base = typical_work_ * kUnknownRequestsPerSecond;
  return std::max(kLeastWeight, configured_weight * base);
}

double FairShare::allowanceOf(const Tenant& tenant, double weight) const {
  return std::max(toSeconds(limits_.allowance), limits_.allowed_requests * tenant.last_work / weight);
}

double FairShare::boundedTime(const Tenant& tenant, double allowance) const {
  return std::min(tenant.virtual_time, virtual_time_ + allowance + toSeconds(limits_.most_ahead));
}

double FairShare::ahead(Instant now, const TenantId& id, double configured_weight) const {
  const auto found = tenants_.find(id.value);
  if (found == tenants_.end()) return 0;
  const double weight = weightOf(usualAt(found->second, windowOf(now)), configured_weight);
  const double allowance = allowanceOf(found->second, weight);
  return std::max(0.0, boundedTime(found->second, allowance) - virtual_time_ - allowance);
}

FairShare::Tenant& FairShare::touch(Instant now, const TenantId& id) {
  closeWindows(now);
  const auto [entry, is_new] = tenants_.try_emplace(id.value);
  Tenant& tenant = entry->second;
  if (is_new) {
    tenant.place = by_use_.insert(by_use_.end(), id.value);
  } else {
    by_use_.splice(by_use_.end(), by_use_, tenant.place);
  }
  tenant.used_at = now;
  tenant.usual = usualAt(tenant, window_);
  tenant.window = window_;
  return tenant;
}

void FairShare::begin(Instant now, const TenantId& id, double work, double configured_weight) {
  Tenant& tenant = touch(now, id);
  typical_work_ += (typical_work_ == 0 ? 1 : kTypicalWorkRate) * (work - typical_work_);
  if (tenant.in_window == 0) in_window_.push_back(id.value);
  tenant.configured_weight = std::max(configured_weight, kLeastWeight);
  tenant.in_window += std::max(work, kLeastWeight) / tenant.configured_weight;
  tenant.last_work = work;
  tenant.weight = weightOf(tenant.usual, configured_weight);
  const double allowance = allowanceOf(tenant, tenant.weight);
  const double start = std::max(boundedTime(tenant, allowance), virtual_time_);
  virtual_time_ = std::max(virtual_time_, start - allowance);
  tenant.virtual_time = start + work / tenant.weight;
  forget(now);
}

void FairShare::correct(const TenantId& id, double more_work) {
  const auto found = tenants_.find(id.value);
  if (found == tenants_.end()) return;
  Tenant& tenant = found->second;
  tenant.virtual_time += more_work / tenant.weight;
  // What is in the window stays above zero, so that it is listed once.
  if (tenant.in_window > 0)
    tenant.in_window = std::max(kLeastWeight, tenant.in_window + more_work / tenant.configured_weight);
}

double FairShare::usual(Instant now, const TenantId& id) const {
  const auto found = tenants_.find(id.value);
  return found == tenants_.end() ? 0 : usualAt(found->second, windowOf(now));
}

void FairShare::forget(Instant now) {
  while (!by_use_.empty()) {
    const auto found = tenants_.find(by_use_.front());
    const bool is_silent = now - found->second.used_at >= limits_.forgotten_after;
    if (!is_silent && tenants_.size() <= limits_.most_tenants) return;
    if (found->second.in_window > 0) std::erase(in_window_, found->first);
    usual_sum_ -= found->second.usual;
    tenants_.erase(found);
    by_use_.pop_front();
  }
}

}  // namespace hatchfork::request
