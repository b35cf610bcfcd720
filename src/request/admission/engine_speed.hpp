#pragma once

#include <cstdint>

#include "common/time.hpp"

/// Estimates the speed of engines for placement. Engines of several speeds share their machines with other work; if all
/// of them are taken as equally fast, half of the requests of a load jump wait at slow engines while fast engines are
/// idle.
namespace hatchfork::request {

struct EngineSpeedLimits {
  /// Number of observations that the service mean counts for against an engine's own observations.
  double prior_observations = 3;
  /// Least weights of a new observation: in the mean of an engine, and in the mean of a service.
  double engine_learning_rate = 0.05;
  double service_learning_rate = 0.01;
  /// Bounds one observation to this factor above or below the current mean.
  double max_observation_factor = 2;
  /// Bounds the learned slowdown to this factor above or below the mean.
  double max_learned_factor = 3;
  /// Half-life and lifetime of the slowdown that an engine reports. Reported values change many times a second.
  Duration reported_half_life = fromMillis(200);
  Duration reported_lifetime = fromMillis(1200);
  /// Bounds the reported slowdown to this factor above or below one.
  double max_reported_factor = 10;
};

/// Timing of one request at an engine.
struct AnswerTiming {
  /// Time from sending the request to the first byte of the answer, and from there to the end.
  double first_ms = 0;
  double held_ms = 0;
  /// Number of stream events; zero for an answer that is not streamed.
  std::uint32_t events = 0;
};

/// Returns the time of one step of an answer in milliseconds: between two events, or of the whole answer if there are
/// no events. Zero for a stream of one event.
double stepMsOf(const AnswerTiming& timing);

/// Running mean that weights its first observations equally and later observations by at least a given weight.
class LearnedMean {
 public:
  void note(double value, double least_weight);
  double value() const { return value_; }
  double count() const { return count_; }

 private:
  double value_ = 0;
  double count_ = 0;
};

/// Mean speed of the engines of a service. No I/O, no clock.
class ServiceSpeed {
 public:
  /// Records that an engine of the service reported its speed: engines of the service are not equally fast.
  void noteReported() { is_uneven_ = true; }
  void note(const AnswerTiming& timing, const EngineSpeedLimits& limits);
  /// Records a time to the first byte at an engine that had a free slot. `reading_ms` is the part of it spent on
  /// reading the prompt.
  void noteFirst(double first_ms, double reading_ms, const EngineSpeedLimits& limits);

  /// True if engines of the service report their speed, so that they are not taken as equal.
  bool isUneven() const { return is_uneven_; }
  /// Mean time of a step in milliseconds; zero before the first observation.
  double stepMs() const { return step_ms_.value(); }
  /// Mean time to the first byte in milliseconds, without the reading of the prompt.
  double firstMs() const { return first_ms_.value(); }

 private:
  bool is_uneven_ = false;
  LearnedMean step_ms_;
  LearnedMean first_ms_;
};

/// Speed of one incarnation of an engine, learned from answers and reported by the engine. A new incarnation starts
/// with a new instance. No I/O, no clock.
class EngineSpeed {
 public:
  void note(const AnswerTiming& timing, const ServiceSpeed& service, const EngineSpeedLimits& limits);
  /// Records the slowdown that the engine reports: `factor` is the time that work takes now relative to the engine's
  /// usual time.
  void noteReported(Instant now, double factor, const EngineSpeedLimits& limits);

  /// Learned slowdown: time of a step relative to the mean engine of the service, below one for fast engines.
  double learned(const ServiceSpeed& service, const EngineSpeedLimits& limits) const;
  /// Reported slowdown, which decays to one with its age.
  double reported(Instant now, const EngineSpeedLimits& limits) const;
  /// Learned and reported slowdown combined.
  double slowness(Instant now, const ServiceSpeed& service, const EngineSpeedLimits& limits) const {
    return learned(service, limits) * reported(now, limits);
  }
  /// Age of the last report in milliseconds; -1 if the engine reported nothing.
  std::int64_t reportedAgeMs(Instant now) const {
    return reported_at_ == Instant::min() ? -1 : toMillis(now - reported_at_);
  }
  /// Slots of the engine in units of slots of the mean engine.
  double effectiveSlots(Instant now, double slots, const ServiceSpeed& service, const EngineSpeedLimits& limits) const {
    return slots / slowness(now, service, limits);
  }

 private:
  LearnedMean step_ms_;
  double reported_ = 1;
  Instant reported_at_ = Instant::min();
};

}  // namespace hatchfork::request
