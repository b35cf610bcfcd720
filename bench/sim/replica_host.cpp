#include "bench/sim/replica_host.hpp"

#include <utility>

namespace hatchfork::sim {
namespace {

constexpr Duration kTickInterval = fromMillis(10);

}  // namespace

ReplicaHost::ReplicaHost(Simulation& simulation, ReplicaHostOptions options, MachineFactory factory, PeerLookup peer)
    : simulation_(simulation),
      options_(std::move(options)),
      factory_(std::move(factory)),
      peer_(std::move(peer)),
      disk_(simulation.queue(), simulation.drawSeed()) {
  // The driver drains after every callback of the disk; a paused process gets its callbacks late.
  disk_.setPost([this](std::function<void()> work) {
    run([this, work = std::move(work)] {
      work();
      drainAll();
    });
  });
}

Status ReplicaHost::start() {
  endProcess();
  for (GroupId group = 0; group < options_.groups; ++group) {
    consensus::GroupOptions group_options;
    group_options.group = group;
    group_options.self = options_.id;
    group_options.initial_members = options_.initial_members;
    group_options.timing = options_.timing;
    group_options.random_seed = simulation_.drawSeed();
    std::unique_ptr<consensus::StateMachine> machine = factory_(group);
    Slot slot;
    slot.machine = machine.get();
    auto opened = consensus::openReplicatedGroup(group_options, disk_, std::move(machine), simulation_.now());
    if (!isOk(opened)) {
      simulation_.trace().add("{} cannot start group {}: {}", name(), group, describe(errorOf(opened)));
      endProcess();
      return errorOf(opened);
    }
    slot.group = valueOf(std::move(opened));
    slots_.push_back(std::move(slot));
  }
  up_ = true;
  simulation_.trace().add("{} started", name());
  tickLater();
  return okStatus();
}

void ReplicaHost::endProcess() {
  ++epoch_;
  up_ = false;
  frozen_ = false;
  backlog_.clear();
  slots_.clear();
  disk_.endProcess();
}

void ReplicaHost::kill() {
  simulation_.trace().add("{} killed", name());
  endProcess();
}

void ReplicaHost::crash() {
  simulation_.trace().add("{} crashed", name());
  endProcess();
  disk_.crash();
}

void ReplicaHost::loseDisk() {
  simulation_.trace().add("{} lost its disk", name());
  endProcess();
  disk_.wipe();
}

void ReplicaHost::freeze() {
  simulation_.trace().add("{} frozen", name());
  frozen_ = true;
}

void ReplicaHost::thaw() {
  if (!frozen_) return;
  simulation_.trace().add("{} goes on", name());
  frozen_ = false;
  for (const auto& work : std::exchange(backlog_, {})) run(work);
}

void ReplicaHost::run(std::function<void()> work) {
  if (!up_) return;
  if (frozen_) {
    backlog_.push_back(std::move(work));
    return;
  }
  work();
}

void ReplicaHost::tickLater() {
  simulation_.queue().after(kTickInterval, [this, epoch = epoch_] {
    if (epoch != epoch_) return;
    run([this, epoch] {
      if (epoch != epoch_) return;
      for (Slot& slot : slots_) slot.group->tick(simulation_.now());
      drainAll();
      tickLater();
    });
  });
}

ReplicatedGroup* ReplicaHost::group(GroupId group) {
  return up_ ? slots_.at(group).group.get() : nullptr;
}

consensus::StateMachine* ReplicaHost::machine(GroupId group) {
  return up_ ? slots_.at(group).machine : nullptr;
}

std::optional<Error> ReplicaHost::fault(GroupId group) const {
  return up_ ? slots_.at(group).group->status().fault : std::nullopt;
}

void ReplicaHost::propose(GroupId group, std::string command, OutcomeCallback done) {
  run([this, group, command = std::move(command), done = std::move(done)]() mutable {
    const consensus::RequestNumber request = next_request_++;
    slots_.at(group).waiting[request] = std::move(done);
    slots_.at(group).group->propose(simulation_.now(), request, std::move(command));
    drain(group);
  });
}

void ReplicaHost::read(GroupId group, OutcomeCallback done) {
  run([this, group, done = std::move(done)]() mutable {
    const consensus::RequestNumber request = next_request_++;
    slots_.at(group).waiting[request] = std::move(done);
    slots_.at(group).group->read(simulation_.now(), request);
    drain(group);
  });
}

void ReplicaHost::changeMembership(GroupId group, const consensus::Membership& target, OutcomeCallback done) {
  run([this, group, target, done = std::move(done)]() mutable {
    const consensus::RequestNumber request = next_request_++;
    slots_.at(group).waiting[request] = std::move(done);
    slots_.at(group).group->changeMembership(simulation_.now(), request, target);
    drain(group);
  });
}

void ReplicaHost::drainAll() {
  for (GroupId group = 0; group < slots_.size(); ++group) drain(group);
}

void ReplicaHost::drain(GroupId group) {
  const std::uint64_t epoch = epoch_;
  for (const consensus::PeerMessage& message : slots_.at(group).group->takeMessages()) {
    ReplicaHost* receiver = peer_(message.to);
    if (receiver == nullptr) continue;
    simulation_.network().send(name(), message.to.value, [receiver, message] { receiver->deliver(message); });
  }
  for (const RequestOutcome& outcome : slots_.at(group).group->takeOutcomes()) {
    auto waiting = slots_.at(group).waiting.extract(outcome.request);
    if (!waiting.empty()) waiting.mapped()(outcome);
    // A callback may have ended this process.
    if (epoch != epoch_) return;
  }
}

void ReplicaHost::deliver(const consensus::PeerMessage& message) {
  if (filter_ && !filter_(message)) return;
  run([this, message] {
    slots_.at(message.group).group->receive(simulation_.now(), message);
    drain(message.group);
  });
}

}  // namespace hatchfork::sim
