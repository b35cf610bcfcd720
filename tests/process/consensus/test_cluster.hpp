#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/sim/replica_host.hpp"
#include "bench/sim/simulation.hpp"
#include "common/codec.hpp"

namespace hatchfork::consensus {

/// A state machine for tests: commands "key=value"; each reply is the number of commands applied so far.
class KeyValueMachine final : public StateMachine {
 public:
  std::string apply(LogIndex, std::string_view command) override {
    const std::size_t equals = command.find('=');
    values_[std::string(command.substr(0, equals))] = std::string(command.substr(equals + 1));
    return std::to_string(++count_);
  }
  std::string snapshot() const override { return encodeCbor({{"values", values_}, {"count", count_}}); }
  Status restore(std::string_view bytes) override {
    const Result<nlohmann::json> json = decodeCbor(bytes);
    if (!isOk(json)) return errorOf(json);
    valueOf(json).at("values").get_to(values_);
    valueOf(json).at("count").get_to(count_);
    return okStatus();
  }
  const std::map<std::string, std::string>& values() const { return values_; }
  std::uint64_t count() const { return count_; }

 private:
  std::map<std::string, std::string> values_;
  std::uint64_t count_ = 0;
};

/// Simulated replicas of one group (five by default), and the steps that tests share.
class TestCluster {
 public:
  explicit TestCluster(std::uint64_t seed, std::size_t size = 5, Timing timing = {}) : simulation(seed) {
    for (std::size_t i = 1; i <= size; ++i) names_.push_back(ReplicaId("control-" + std::to_string(i)));
    for (const ReplicaId& name : names_) addHost(name, timing);
  }

  void addHost(const ReplicaId& name, Timing timing = {}) {
    sim::ReplicaHostOptions options{name, names_, 1, timing};
    hosts_[name] = std::make_unique<sim::ReplicaHost>(
        simulation, options, [](GroupId) { return std::make_unique<KeyValueMachine>(); },
        [this](const ReplicaId& id) { return hosts_.contains(id) ? hosts_.at(id).get() : nullptr; });
  }

  void startAll() {
    for (auto& [name, host] : hosts_) host->start();
  }
  sim::ReplicaHost& host(std::size_t number) { return *hosts_.at(ReplicaId("control-" + std::to_string(number))); }
  const std::map<ReplicaId, std::unique_ptr<sim::ReplicaHost>>& hosts() const { return hosts_; }
  void run(std::int64_t milliseconds) { simulation.queue().runFor(fromMillis(milliseconds)); }

  /// The confirmed leader, waiting for one up to ten seconds; null if there is none.
  sim::ReplicaHost* leader() {
    for (int step = 0; step < 1000; ++step) {
      for (auto& [name, host] : hosts_) {
        const bool leads = host->isUp() && !host->isFrozen() && host->group(0)->isConfirmedLeader(simulation.now());
        if (leads) return host.get();
      }
      run(10);
    }
    return nullptr;
  }
  sim::ReplicaHost* follower() {
    sim::ReplicaHost* leading = leader();
    for (auto& [name, host] : hosts_) {
      if (host.get() != leading && host->isUp()) return host.get();
    }
    return nullptr;
  }

  /// Proposes at `host` and runs until the outcome is there (at most ten seconds).
  RequestOutcome propose(sim::ReplicaHost& host, const std::string& command) {
    return await([&](sim::OutcomeCallback done) { host.propose(0, command, std::move(done)); });
  }
  RequestOutcome read(sim::ReplicaHost& host) {
    return await([&](sim::OutcomeCallback done) { host.read(0, std::move(done)); });
  }
  RequestOutcome change(sim::ReplicaHost& host, const Membership& target) {
    return await([&](sim::OutcomeCallback done) { host.changeMembership(0, target, std::move(done)); });
  }
  /// Writes through whichever leader there is until one write is applied.
  bool write(const std::string& command) {
    for (int attempt = 0; attempt < 20; ++attempt) {
      sim::ReplicaHost* leading = leader();
      if (leading == nullptr) return false;
      if (std::holds_alternative<Applied>(propose(*leading, command).result)) return true;
    }
    return false;
  }
  const KeyValueMachine& machine(sim::ReplicaHost& host) { return static_cast<KeyValueMachine&>(*host.machine(0)); }

  sim::Simulation simulation;

 private:
  template <class Start>
  RequestOutcome await(Start start) {
    auto answer = std::make_shared<std::optional<RequestOutcome>>();
    start([answer](const RequestOutcome& outcome) { *answer = outcome; });
    for (int step = 0; step < 1000 && !*answer; ++step) run(10);
    return answer->value_or(RequestOutcome{0, OutcomeUnknown{}});
  }

  std::vector<ReplicaId> names_;
  std::map<ReplicaId, std::unique_ptr<sim::ReplicaHost>> hosts_;
};

}  // namespace hatchfork::consensus
