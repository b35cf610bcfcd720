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
/// Start of requests that their tenant's bucket covers; virtual time begins after it.
constexpr double kStartOfUsual = 0;

double secondOf(Instant now) {
  return toSeconds(now.time_since_epoch());
}

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

bool FairShare::covers(Instant now, const Tenant& tenant, double weight, double all_work, double work) const {
  const double second = secondOf(now);
  const double paid = std::max(tenant.paid_until, second) + all_work / weight / limits_.usual_margin;
  const double allowance = std::max(toSeconds(limits_.allowance), limits_.allowed_requests * work / weight);
  return paid - second <= allowance;
}

double FairShare::startAfter(Instant now, const TenantId& id, double more_work, double work,
                             double configured_weight) const {
  static const Tenant kUnknown;
  const auto found = tenants_.find(id.value);
  const Tenant& tenant = found == tenants_.end() ? kUnknown : found->second;
  const double weight = weightOf(usualAt(tenant, windowOf(now)), configured_weight);
  if (covers(now, tenant, weight, more_work + work, work)) return kStartOfUsual;
  return std::max(tenant.virtual_time, virtual_time_) + more_work / weight;
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

Turn FairShare::enter(Instant now, const TenantId& id, double work, double configured_weight) {
  Tenant& tenant = touch(now, id);
  typical_work_ += (typical_work_ == 0 ? 1 : kTypicalWorkRate) * (work - typical_work_);
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
  forget(now);
  return turn;
}

void FairShare::serve(Instant now, const TenantId& id, const Turn& turn) {
  virtual_time_ = std::max(virtual_time_, turn.start);
  Tenant& tenant = touch(now, id);
  if (tenant.in_window == 0) in_window_.push_back(id.value);
  tenant.in_window += std::max(turn.work, kLeastWeight) / tenant.configured_weight;
}

void FairShare::leave(const TenantId& id, const Turn& turn) {
  const auto found = tenants_.find(id.value);
  if (found == tenants_.end()) return;
  double& time = turn.start == kStartOfUsual ? found->second.paid_until : found->second.virtual_time;
  time -= turn.charged;
}

void FairShare::correct(const TenantId& id, double more_work) {
  const auto found = tenants_.find(id.value);
  if (found == tenants_.end()) return;
  Tenant& tenant = found->second;
  tenant.paid_until += more_work / tenant.weight / limits_.usual_margin;
  // What is in the window stays above zero, so that the tenant is listed once.
  if (tenant.in_window == 0) return;
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
