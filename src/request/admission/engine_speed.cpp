#include "request/admission/engine_speed.hpp"

#include <algorithm>
#include <cmath>

namespace hatchfork::request {

double stepOf(const AnswerTiming& timing) {
  if (timing.events > 1) return timing.held_ms / (timing.events - 1);
  return timing.events == 0 ? timing.first_ms + timing.held_ms : 0;
}

void LearnedMean::note(double value, double least_weight) {
  count_ = std::min(count_ + 1, 1 / least_weight);
  value_ += (value - value_) / count_;
}

void ServiceSpeed::note(const AnswerTiming& timing, const EngineSpeedLimits& limits) {
  const double step_ms = stepOf(timing);
  if (step_ms > 0) step_ms_.note(step_ms, limits.service_learning_rate);
}

void ServiceSpeed::noteFirst(double first_ms, double reading_ms, const EngineSpeedLimits& limits) {
  const double beside_ms = std::max(0.0, first_ms - reading_ms);
  const bool is_known = first_ms_.count() > 0;
  const double most_ms = limits.most_surprise * std::max(1.0, first_ms_.value());
  first_ms_.note(is_known ? std::min(beside_ms, most_ms) : beside_ms, limits.service_learning_rate);
}

void EngineSpeed::note(const AnswerTiming& timing, const ServiceSpeed& service, const EngineSpeedLimits& limits) {
  const double step_ms = stepOf(timing);
  if (step_ms <= 0) return;
  const double known_ms = step_ms_.count() > 0 ? step_ms_.value() : service.stepMs();
  const double surprise = step_ms_.count() > 0 ? limits.most_surprise : limits.most_learned;
  const bool has_known = known_ms > 0;
  const double taken_ms = has_known ? std::clamp(step_ms, known_ms / surprise, known_ms * surprise) : step_ms;
  step_ms_.note(taken_ms, limits.engine_learning_rate);
}

void EngineSpeed::noteReported(Instant now, double factor, const EngineSpeedLimits& limits) {
  told_ = std::clamp(factor, 1 / limits.most_told, limits.most_told);
  told_at_ = now;
}

double EngineSpeed::learned(const ServiceSpeed& service, const EngineSpeedLimits& limits) const {
  const double own = step_ms_.count();
  if (own <= 0 || service.stepMs() <= 0) return 1;
  const double prior = limits.prior_observations;
  const double shrunk = (own * step_ms_.value() + prior * service.stepMs()) / (own + prior);
  return std::clamp(shrunk / service.stepMs(), 1 / limits.most_learned, limits.most_learned);
}

double EngineSpeed::reported(Instant now, const EngineSpeedLimits& limits) const {
  if (told_ == 1 || told_at_ == Instant::min() || now >= told_at_ + limits.told_lifetime) return 1;
  const double age = std::max(0.0, toSeconds(now - told_at_) / toSeconds(limits.told_half_life));
  return 1 + (told_ - 1) * std::exp2(-age);
}

}  // namespace hatchfork::request
