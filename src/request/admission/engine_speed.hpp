#pragma once

#include <cstdint>

#include "common/time.hpp"

/// Load that this answers: a jump at engines of several speeds that share their machines with others. With one speed
/// for all, half of the requests wait at slow engines while fast ones are idle.
namespace hatchfork::request {

struct EngineSpeedLimits {
  /// The service's mean counts for so many observations against an engine's own.
  double prior_observations = 3;
  /// Weights of a new observation at the least: of one engine, of a whole service.
  double engine_learning_rate = 0.05;
  double service_learning_rate = 0.01;
  /// One observation is taken for no more than so many times what was known, and no less than that part of it.
  double most_surprise = 2;
  /// No engine counts as slower or faster than the mean by more than this factor.
  double most_learned = 3;
  /// An engine's own word counts half after this long, since it changes many times a second, and nothing after the
  /// second.
  Duration told_half_life = fromMillis(200);
  Duration told_lifetime = fromMillis(1200);
  /// The greatest factor that an engine's own word is believed for.
  double most_told = 10;
};

/// What became of one request at an engine.
struct AnswerTiming {
  /// From sending it to the first byte of the answer, and from there to the end.
  double first_ms = 0;
  double held_ms = 0;
  /// Events of a stream; zero for an answer that comes whole.
  std::uint32_t events = 0;
};

/// The time of one step of an answer: between two events, or of the whole answer where there are none.
double stepOf(const AnswerTiming& timing);

/// A mean that takes the first observations fully and later ones by a least weight.
class LearnedMean {
 public:
  void note(double value, double least_weight);
  double value() const { return value_; }
  double count() const { return count_; }

 private:
  double value_ = 0;
  double count_ = 0;
};

/// What is usual at the engines of a service. No I/O, no clock.
class ServiceSpeed {
 public:
  /// An engine of the service reported its pace: they are uneven.
  void noteReported() { is_uneven_ = true; }
  void note(const AnswerTiming& timing, const EngineSpeedLimits& limits);
  /// `reading_ms`: what reading the prompt takes of the time to the first byte at the engine, at which it had a place
  /// at once.
  void noteFirst(double first_ms, double reading_ms, const EngineSpeedLimits& limits);

  /// True if engines of the service tell their pace, so that they are not to be taken as equal.
  bool isUneven() const { return is_uneven_; }
  /// Mean time of a step; zero before any was seen.
  double stepMs() const { return step_ms_.value(); }
  /// Time to the first byte beside the reading of the prompt.
  double firstMs() const { return first_ms_.value(); }

 private:
  bool is_uneven_ = false;
  LearnedMean step_ms_;
  LearnedMean first_ms_;
};

/// How fast one life of an engine works, learned from answers and as it reported. A new life begins a new one. No I/O,
/// no clock.
class EngineSpeed {
 public:
  void note(const AnswerTiming& timing, const ServiceSpeed& service, const EngineSpeedLimits& limits);
  /// `factor`: how long work takes at this moment against what is usual there.
  void noteReported(Instant now, double factor, const EngineSpeedLimits& limits);

  /// How long a step takes here against the mean engine of the service: below one for fast engines.
  double learned(const ServiceSpeed& service, const EngineSpeedLimits& limits) const;
  /// The reported factor, decayed to one by its age.
  double reported(Instant now, const EngineSpeedLimits& limits) const;
  /// Both together.
  double slowness(Instant now, const ServiceSpeed& service, const EngineSpeedLimits& limits) const {
    return learned(service, limits) * reported(now, limits);
  }
  /// Negative where it reported nothing.
  std::int64_t reportedAgeMs(Instant now) const { return told_at_ == Instant::min() ? -1 : toMillis(now - told_at_); }
  /// Places of the engine, counted in places of the mean one.
  double effectivePlaces(Instant now, double places, const ServiceSpeed& service,
                         const EngineSpeedLimits& limits) const {
    return places / slowness(now, service, limits);
  }

 private:
  LearnedMean step_ms_;
  double told_ = 1;
  Instant told_at_ = Instant::min();
};

}  // namespace hatchfork::request
