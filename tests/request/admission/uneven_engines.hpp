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

/// Simulates a zone of engines of several speeds in virtual time, for replays of their load limits. Each engine runs a
/// limited number of requests at once in order of arrival, and is slower than usual for short periods.
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
  /// Each engine has its own random slowdown in each period, repeated after 100 periods: length of a period,
  /// probability that the engine is slow in a period, and greatest slowdown.
  double slowdown_period_ms = 600;
  double slow_share = 0.15;
  double max_slowdown = 2.5;
};

/// Discrete-event clock: runs scheduled functions in order of time.
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

/// Callbacks for the events of a request at an engine.
struct RequestCallbacks {
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
        engines_[i].slowdowns.push_back(is_slow ? 1 + unit(random) * (options_.max_slowdown - 1) : 1);
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

  void send(const EngineId& engine, RequestCallbacks callbacks) {
    const std::size_t number = std::stoul(engine.value.substr(1));
    Engine& at = engines_[number];
    at.queue.push_back(Queued{time_.nowMs(), std::move(callbacks)});
    serve(at);
  }

  /// Time-weighted share of the slots of each engine that were in use.
  std::vector<double> busyShares() const {
    std::vector<double> shares;
    for (const Engine& engine : engines_) shares.push_back(engine.busy_ms / options_.slots / time_.nowMs());
    return shares;
  }

 private:
  struct Queued {
    double sent_ms = 0;
    RequestCallbacks callbacks;
  };
  struct Engine {
    double time = 1;
    std::vector<double> slowdowns;
    std::uint32_t running = 0;
    double busy_ms = 0;
    std::deque<Queued> queue;
  };

  double slowdownOf(const Engine& engine) const {
    return engine
        .slowdowns[static_cast<std::size_t>(time_.nowMs() / options_.slowdown_period_ms) % engine.slowdowns.size()];
  }

  void serve(Engine& engine) {
    while (engine.running < options_.slots && !engine.queue.empty()) {
      ++engine.running;
      const Queued next = std::move(engine.queue.front());
      engine.queue.pop_front();
      const double factor = engine.time * slowdownOf(engine);
      const double first_ms = options_.first_ms * factor;
      const double began_ms = time_.nowMs();
      time_.at(began_ms + first_ms, [this, &engine, next, began_ms] { begin(engine, next, began_ms); });
    }
  }

  void begin(Engine& engine, const Queued& request, double began_ms) {
    const double pace = slowdownOf(engine);
    request.callbacks.began(static_cast<std::uint32_t>(std::lround(pace * 100)));
    AnswerTiming timing;
    timing.first_ms = time_.nowMs() - request.sent_ms;
    timing.held_ms = options_.step_ms * (options_.events - 1) * engine.time * (1 + (pace - 1) / 2);
    timing.events = options_.events;
    time_.at(time_.nowMs() + timing.held_ms, [this, &engine, request, timing, began_ms] {
      --engine.running;
      engine.busy_ms += time_.nowMs() - began_ms;
      request.callbacks.ended(timing);
      serve(engine);
    });
  }

  VirtualTime& time_;
  UnevenOptions options_;
  std::vector<Engine> engines_;
};

/// Arrivals per second, each from a time in milliseconds until the next entry.
using Load = std::vector<std::pair<double, double>>;

/// Draws arrival times in milliseconds until `end_ms`.
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
