#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench/sim/process.hpp"
#include "bench/sim/simulation.hpp"

namespace hatchfork::sim {

/// How a run ended, as far as the asking gateway can know.
enum class RunEnd {
  /// The whole answer has come.
  kAnswered,
  /// The connection broke or nothing came: the engine may have run it.
  kLost,
};

/// A stand-in for an engine that answers each request after some time and counts what it began to run. The counts are
/// the truth that proofs ask; they outlive the engine's process.
class SimulatedEngine {
 public:
  using EndHandler = std::function<void(RunEnd, const std::string& answer)>;
  struct Run {
    std::string request;
    Instant begun{};
  };

  SimulatedEngine(Simulation& simulation, const std::string& name);

  /// Sends a request over the network from process `from`. `end` is called once, unless `from` ends before.
  void send(Process& from, const std::string& request, const std::string& body, EndHandler end);
  /// Tells the engine to stop a run; nothing is answered.
  void cancel(Process& from, const std::string& request);

  void start() { process_.begin(); }
  void kill();
  bool isUp() const { return process_.isUp(); }
  const std::string& name() const { return process_.name(); }
  const std::vector<Run>& runs() const { return runs_; }
  /// Time from the begin of a run to its answer.
  void setRunTime(Duration least, Duration most);

  /// The answer that belongs to a body.
  static std::string answerTo(const std::string& body) { return "answer to " + body; }

 private:
  void begin(const std::string& request, const std::string& body, std::function<void(const std::string&)> reply);

  Simulation& simulation_;
  Process process_;
  std::vector<Run> runs_;
  /// Runs in flight; the number tells one run of a request from a later one.
  std::map<std::string, std::uint64_t> running_;
  std::uint64_t next_run_ = 0;
  Duration least_run_time_ = fromMillis(50);
  Duration most_run_time_ = fromMillis(400);
};

}  // namespace hatchfork::sim
