#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "request/exchange/engine_selector.hpp"

/// A zone of engines of several speeds in virtual time, for replays of what they bear: each runs some requests at once
/// in the order of their arrival, and is slower than usual for moments.
namespace hatchfork::request::replay {

constexpr Instant kBegin{std::chrono::seconds(100)};

inline EngineId engineName(std::size_t number) {
  return EngineId("e" + std::to_string(number));
}

struct UnevenOptions {
  std::vector<double> times{0.6, 1.0, 1.6};
  std::size_t engines = 30;
  std::uint32_t slots = 8;
  double first_ms = 22;
  double step_ms = 36;
  std::uint32_t events = 17;
  std::uint32_t prompt_tokens = 350;
  /// Moments of another pace: their length, how often they are slow, and how slow at the most.
  double moment_ms = 600;
  double slow_share = 0.15;
  double slowest = 2.5;
};

/// Something that happens at a time.
class VirtualTime {
 public:
  void at(double when_ms, std::function<void()> what) { events_.push(Event{when_ms, ++order_, std::move(what)}); }
  double nowMs() const { return now_ms_; }
  Instant now() const { return kBegin + Duration(static_cast<Duration::rep>(now_ms_ * 1000)); }
  void run() {
    while (!events_.empty()) {
      const Event next = events_.top();
      events_.pop();
      now_ms_ = next.when_ms;
      next.what();
    }
  }

 private:
  struct Event {
    double when_ms = 0;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return when_ms != other.when_ms ? when_ms > other.when_ms : order > other.order;
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  double now_ms_ = 0;
};

/// What a request at an engine tells.
struct Answering {
  std::function<void(std::uint32_t pace)> began;
  std::function<void(const AnswerTiming& timing)> ended;
};

class UnevenEngines {
 public:
  UnevenEngines(VirtualTime& time, const UnevenOptions& options, std::uint64_t seed)
      : time_(time), options_(options), engines_(options.engines) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i].time = options_.times[i % options_.times.size()];
      for (int moment = 0; moment < 100; ++moment) {
        const bool is_slow = unit(random) < options_.slow_share;
        engines_[i].paces.push_back(is_slow ? 1 + unit(random) * (options_.slowest - 1) : 1);
      }
    }
  }

  std::vector<EngineRecord> records(const ServiceId& service, const ZoneId& zone) const {
    std::vector<EngineRecord> made;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      EngineRecord record;
      record.id = engineName(i);
      record.service = service;
      record.zone = zone;
      record.slots = options_.slots;
      record.born = 1;
      made.push_back(record);
    }
    return made;
  }

  void send(const EngineId& engine, Answering answering) {
    const std::size_t number = std::stoul(engine.value.substr(1));
    Engine& at = engines_[number];
    at.queue.push_back(Waiting{time_.nowMs(), std::move(answering)});
    serve(at);
  }

  /// Time-weighted share of each engine's places that were taken.
  std::vector<double> takenShares() const {
    std::vector<double> shares;
    for (const Engine& engine : engines_) shares.push_back(engine.taken_ms / options_.slots / time_.nowMs());
    return shares;
  }

 private:
  struct Waiting {
    double sent_ms = 0;
    Answering answering;
  };
  struct Engine {
    double time = 1;
    std::vector<double> paces;
    std::uint32_t running = 0;
    double taken_ms = 0;
    std::deque<Waiting> queue;
  };

  double paceOf(const Engine& engine) const {
    return engine.paces[static_cast<std::size_t>(time_.nowMs() / options_.moment_ms) % engine.paces.size()];
  }

  void serve(Engine& engine) {
    while (engine.running < options_.slots && !engine.queue.empty()) {
      ++engine.running;
      const Waiting next = std::move(engine.queue.front());
      engine.queue.pop_front();
      const double factor = engine.time * paceOf(engine);
      const double first_ms = options_.first_ms * factor;
      const double began_ms = time_.nowMs();
      time_.at(began_ms + first_ms, [this, &engine, next, began_ms] { begin(engine, next, began_ms); });
    }
  }

  void begin(Engine& engine, const Waiting& request, double began_ms) {
    const double pace = paceOf(engine);
    request.answering.began(static_cast<std::uint32_t>(std::lround(pace * 100)));
    AnswerTiming timing;
    timing.first_ms = time_.nowMs() - request.sent_ms;
    timing.held_ms = options_.step_ms * (options_.events - 1) * engine.time * (1 + (pace - 1) / 2);
    timing.events = options_.events;
    time_.at(time_.nowMs() + timing.held_ms, [this, &engine, request, timing, began_ms] {
      --engine.running;
      engine.taken_ms += time_.nowMs() - began_ms;
      request.answering.ended(timing);
      serve(engine);
    });
  }

  VirtualTime& time_;
  UnevenOptions options_;
  std::vector<Engine> engines_;
};

/// Arrivals a second, from a time on until the next.
using Load = std::vector<std::pair<double, double>>;

/// Times of arrivals, as drawn from a seed, until `end_ms`.
inline std::vector<double> arrivals(const Load& load, double end_ms, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> times;
  double now = 0;
  while (now < end_ms) {
    double rate = load.front().second;
    for (const auto& [from, each_second] : load) {
      if (from <= now) rate = each_second;
    }
    now += std::exponential_distribution<double>(rate / 1000)(random);
    times.push_back(now);
  }
  return times;
}

}  // namespace hatchfork::request::replay
