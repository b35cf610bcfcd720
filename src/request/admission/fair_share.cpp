#include "request/admission/fair_share.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {
namespace {

/// Assumed request rate of each tenant while the usual work of every tenant is unknown.
constexpr double kAssumedRequestsPerSecond = 10;
/// Weight of one request in the moving mean of the work of a request.
constexpr double kMeanWorkWeight = 0.02;
constexpr double kLeastWeight = 1e-6;
/// Start of requests that their tenant's bucket covers; virtual time starts above it.
constexpr double kStartWithinBucket = 0;

double secondOf(Instant now) {
  return toSeconds(now.time_since_epoch());
}

}  // namespace

FairShare::FairShare(FairShareLimits limits)
    : limits_(limits),
      learning_rate_(1 - std::pow(0.5, toSeconds(limits.window_length) / toSeconds(limits.usual_half_life))) {}

double FairShare::workOf(const ExpectedWork& expected) const {
  const double reading = static_cast<double>(expected.prompt_tokens) / limits_.prompt_tokens_per_ms;
  const double known = toSeconds(expected.slot_time) * 1000;
  if (known > 0) return reading + known;
  return reading + static_cast<double>(expected.tokens_out) / limits_.tokens_out_per_ms;
}

double FairShare::usualAt(const Tenant& tenant, std::int64_t window) const {
  const auto idle_windows = static_cast<double>(std::max<std::int64_t>(0, window - tenant.window));
  return tenant.usual * std::pow(1 - learning_rate_, idle_windows);
}

double FairShare::meanUsual() const {
  return tenants_.empty() ? 0 : std::max(0.0, usual_sum_) / static_cast<double>(tenants_.size());
}

/// The first windows of a tenant have equal weight, so that its usual work is known soon.
void FairShare::learnUsual(Tenant& tenant, double mean) const {
  const double seen = tenant.in_window / toSeconds(limits_.window_length);
  const double taken = std::min(seen, limits_.max_window_factor * std::max(tenant.usual, mean));
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
    mean = work / toSeconds(limits_.window_length) / static_cast<double>(in_window_.size());
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
  if (base <= 0) base = mean_work_ * kAssumedRequestsPerSecond;
  return std::max(kLeastWeight, configured_weight * base);
}

bool FairShare::covers(Instant now, const Tenant& tenant, double weight, double all_work, double work) const {
  const double second = secondOf(now);
  const double paid = std::max(tenant.paid_until, second) + all_work / weight / limits_.usual_margin;
  const double burst = std::max(toSeconds(limits_.burst), limits_.burst_requests * work / weight);
  return paid - second <= burst;
}

double FairShare::startAfter(Instant now, const TenantId& id, double more_work, double work,
                             double configured_weight) const {
  static const Tenant kUnknown;
  const auto found = tenants_.find(id.value);
  const Tenant& tenant = found == tenants_.end() ? kUnknown : found->second;
  const double weight = weightOf(usualAt(tenant, windowOf(now)), configured_weight);
  if (covers(now, tenant, weight, more_work + work, work)) return kStartWithinBucket;
  return std::max(tenant.virtual_time, virtual_time_) + more_work / weight;
}

FairShare::Tenant& FairShare::markUsed(Instant now, const TenantId& id) {
  closeWindows(now);
  const auto [entry, is_new] = tenants_.try_emplace(id.value);
  Tenant& tenant = entry->second;
  if (is_new) {
    tenant.use_position = by_use_.insert(by_use_.end(), id.value);
  } else {
    by_use_.splice(by_use_.end(), by_use_, tenant.use_position);
  }
  tenant.used_at = now;
  tenant.usual = usualAt(tenant, window_);
  tenant.window = window_;
  return tenant;
}

Turn FairShare::enter(Instant now, const TenantId& id, double work, double configured_weight) {
  Tenant& tenant = markUsed(now, id);
  mean_work_ += (mean_work_ == 0 ? 1 : kMeanWorkWeight) * (work - mean_work_);
  tenant.configured_weight = std::max(configured_weight, kLeastWeight);
  tenant.weight = weightOf(tenant.usual, configured_weight);
  Turn turn;
  turn.work = work;
  if (covers(now, tenant, tenant.weight, work, work)) {
    turn.charged = work / tenant.weight / limits_.usual_margin;
    tenant.paid_until = std::max(tenant.paid_until, secondOf(now)) + turn.charged;
  } else {
    turn.charged = work / tenant.weight;
    turn.start = std::max(tenant.virtual_time, virtual_time_);
    tenant.virtual_time = turn.start + turn.charged;
  }
  evictIdle(now);
  return turn;
}

void FairShare::serve(Instant now, const TenantId& id, const Turn& turn) {
  virtual_time_ = std::max(virtual_time_, turn.start);
  Tenant& tenant = markUsed(now, id);
  if (tenant.in_window == 0) in_window_.push_back(id.value);
  tenant.in_window += std::max(turn.work, kLeastWeight) / tenant.configured_weight;
}

void FairShare::leave(const TenantId& id, const Turn& turn) {
  const auto found = tenants_.find(id.value);
  if (found == tenants_.end()) return;
  double& time = turn.start == kStartWithinBucket ? found->second.paid_until : found->second.virtual_time;
  time -= turn.charged;
}

void FairShare::correct(const TenantId& id, double more_work) {
  const auto found = tenants_.find(id.value);
  if (found == tenants_.end()) return;
  Tenant& tenant = found->second;
  tenant.paid_until += more_work / tenant.weight / limits_.usual_margin;
  // The work in the window stays above zero, so that the tenant is listed only once.
  if (tenant.in_window == 0) return;
  tenant.in_window = std::max(kLeastWeight, tenant.in_window + more_work / tenant.configured_weight);
}

double FairShare::usual(Instant now, const TenantId& id) const {
  const auto found = tenants_.find(id.value);
  return found == tenants_.end() ? 0 : usualAt(found->second, windowOf(now));
}

void FairShare::evictIdle(Instant now) {
  while (!by_use_.empty()) {
    const auto found = tenants_.find(by_use_.front());
    const bool is_idle = now - found->second.used_at >= limits_.evicted_after;
    if (!is_idle && tenants_.size() <= limits_.max_tenants) return;
    if (found->second.in_window > 0) std::erase(in_window_, found->first);
    usual_sum_ -= found->second.usual;
    tenants_.erase(found);
    by_use_.pop_front();
  }
}

}  // namespace hatchfork::request
