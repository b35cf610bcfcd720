#include "request/admission/engine_speed.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

double stepMsOf(const AnswerTiming& timing) {
  if (timing.events > 1) return timing.held_ms / (timing.events - 1);
  return timing.events == 0 ? timing.first_ms + timing.held_ms : 0;
}

void LearnedMean::note(double value, double least_weight) {
  count_ = std::min(count_ + 1, 1 / least_weight);
  value_ += (value - value_) / count_;
}

void ServiceSpeed::note(const AnswerTiming& timing, const EngineSpeedLimits& limits) {
  const double step_ms = stepMsOf(timing);
  if (step_ms > 0) step_ms_.note(step_ms, limits.service_learning_rate);
}

void ServiceSpeed::noteFirst(double first_ms, double reading_ms, const EngineSpeedLimits& limits) {
  const double without_reading_ms = std::max(0.0, first_ms - reading_ms);
  const bool is_known = first_ms_.count() > 0;
  const double max_ms = limits.max_observation_factor * std::max(1.0, first_ms_.value());
  first_ms_.note(is_known ? std::min(without_reading_ms, max_ms) : without_reading_ms, limits.service_learning_rate);
}

void EngineSpeed::note(const AnswerTiming& timing, const ServiceSpeed& service, const EngineSpeedLimits& limits) {
  const double step_ms = stepMsOf(timing);
  if (step_ms <= 0) return;
  const double known_ms = step_ms_.count() > 0 ? step_ms_.value() : service.stepMs();
  const double max_factor = step_ms_.count() > 0 ? limits.max_observation_factor : limits.max_learned_factor;
  const bool has_known = known_ms > 0;
  const double bounded_ms = has_known ? std::clamp(step_ms, known_ms / max_factor, known_ms * max_factor) : step_ms;
  step_ms_.note(bounded_ms, limits.engine_learning_rate);
}

void EngineSpeed::noteReported(Instant now, double factor, const EngineSpeedLimits& limits) {
  reported_ = std::clamp(factor, 1 / limits.max_reported_factor, limits.max_reported_factor);
  reported_at_ = now;
}

double EngineSpeed::learned(const ServiceSpeed& service, const EngineSpeedLimits& limits) const {
  const double own = step_ms_.count();
  if (own <= 0 || service.stepMs() <= 0) return 1;
  const double prior = limits.prior_observations;
  const double shrunk = (own * step_ms_.value() + prior * service.stepMs()) / (own + prior);
  return std::clamp(shrunk / service.stepMs(), 1 / limits.max_learned_factor, limits.max_learned_factor);
}

double EngineSpeed::reported(Instant now, const EngineSpeedLimits& limits) const {
  if (reported_ == 1 || reported_at_ == Instant::min() || now >= reported_at_ + limits.reported_lifetime) return 1;
  const double age = std::max(0.0, toSeconds(now - reported_at_) / toSeconds(limits.reported_half_life));
  return 1 + (reported_ - 1) * std::exp2(-age);
}

}  // namespace hatchfork::request
