#include "bench/experiment/virtual_fleet.hpp"

#include <utility>

namespace hatchfork::experiment {
namespace {

constexpr Duration kItemLease = fromMillis(5000);
constexpr Duration kControlInterval = fromMillis(500);
/// How long online requests may still take after the last arrival.
constexpr Duration kDrainTime = std::chrono::seconds(30);

WorkId firstBatchWork(std::size_t service) {
  return (static_cast<WorkId>(service) + 1) << 40;
}

}  // namespace

VirtualFleet::VirtualFleet(const Profile& profile, const Workload& workload, VirtualFleetOptions options)
    : profile_(profile),
      workload_(workload),
      options_(options),
      context_{events_, profile, {}, {}, {}, {}, 0},
      control_(profile, options.batch_mode == BatchMode::kFixedSplit) {
  const Instant measured_from = Instant{} + profile.warm_up;
  context_.meters.resize(profile.services.size());
  for (std::size_t service = 0; service < profile.services.size(); ++service) {
    context_.stores.emplace_back(firstBatchWork(service), kItemLease);
    context_.recorders.emplace_back(measured_from, measured_from + profile.measured);
  }
  buildEngines();
  buildGateways();
  scheduleArrivals();
}

void VirtualFleet::buildEngines() {
  const bool oracle = options_.batch_mode == BatchMode::kOracle;
  for (std::size_t service = 0; service < profile_.services.size(); ++service) {
    const ServiceProfile& wanted = profile_.services[service];
    for (std::size_t number = 0; number < wanted.engines; ++number) {
      bench::EngineOptions options = wanted.engine;
      options.id = engineName(wanted, number);
      options.model = wanted.id.value;
      options.priority_mode = oracle ? bench::PriorityMode::kPreempt : options_.priority_mode;
      options.seed = options_.seed * 100003 + engines_.size();
      const ZoneId& zone = profile_.zones[number % profile_.zones.size()];
      engines_.push_back(std::make_unique<VirtualEngine>(events_, options, zone, context_.meters[service]));
      service_of_engine_.push_back(service);
      context_.engines[options.id] = engines_.back().get();
      if (!oracle) continue;
      const request::AttemptId first_attempt = (static_cast<request::AttemptId>(engines_.size()) << 40);
      feeders_.push_back(std::make_unique<OracleFeeder>(events_, *engines_.back(), context_.stores[service],
                                                        context_.recorders[service], first_attempt));
    }
  }
}

void VirtualFleet::buildGateways() {
  for (std::size_t zone = 0; zone < profile_.zones.size(); ++zone) {
    for (std::size_t number = 0; number < profile_.gateways_per_zone; ++number) {
      VirtualGatewayOptions options;
      options.self = gatewayName(zone, number);
      options.zone = profile_.zones[zone];
      options.runs_batch =
          options_.batch_mode == BatchMode::kAdmission || options_.batch_mode == BatchMode::kFixedSplit;
      options.batch_has_own_engines = options_.batch_mode == BatchMode::kFixedSplit;
      options.seed = options_.seed * 1009 + gateways_.size();
      gateways_.push_back(std::make_unique<VirtualGateway>(context_, control_, options));
      gateways_.back()->start();
    }
  }
}

VirtualGateway& VirtualFleet::gatewayOf(const OnlineArrival& arrival) {
  const std::size_t in_zone = arrival.gateway_draw % profile_.gateways_per_zone;
  return *gateways_[arrival.zone * profile_.gateways_per_zone + in_zone];
}

void VirtualFleet::scheduleArrivals() {
  for (std::size_t position = 0; position < workload_.online.size(); ++position) {
    const OnlineArrival& arrival = workload_.online[position];
    events_.at(arrival.at + profile_.network.to_clients,
               [this, position, &arrival] { gatewayOf(arrival).arrive(onlineWork(position), arrival); });
  }
  for (const BatchHeap& heap : workload_.batch) {
    if (options_.batch_mode == BatchMode::kNone) break;
    events_.at(heap.at, [this, &heap] {
      context_.stores[heap.service].add(heap);
      for (const auto& feeder : feeders_) feeder->feed();
    });
  }
}

void VirtualFleet::runUntil(Instant until) {
  while (events_.now() < until) {
    events_.runUntil(std::min(until, events_.now() + kControlInterval));
    control_.expire(events_.now());
  }
}

std::vector<EngineCounterSum> VirtualFleet::sumCounters() const {
  std::vector<EngineCounterSum> sums(profile_.services.size());
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    sums[service_of_engine_[index]].add(engines_[index]->model().counters());
  }
  return sums;
}

std::vector<RunFigures> VirtualFleet::runAll() {
  const Instant from = Instant{} + profile_.warm_up;
  const Instant to = from + profile_.measured;
  runUntil(from);
  const std::vector<EngineCounterSum> before = sumCounters();
  runUntil(to);
  const std::vector<EngineCounterSum> after = sumCounters();
  const auto online_in_flight = [this] {
    std::size_t count = 0;
    for (const auto& gateway : gateways_) count += gateway->online().underWay();
    return count;
  };
  while (events_.now() < to + kDrainTime && online_in_flight() > 0) runUntil(events_.now() + kControlInterval);
  std::uint64_t attempts = 0;
  std::uint64_t pauses = 0;
  for (const auto& gateway : gateways_) {
    gateway->online().closeAccounts();
    attempts += gateway->online().counters().attempts;
    pauses += gateway->batch().pauses();
  }
  std::vector<RunFigures> figures;
  for (std::size_t service = 0; service < profile_.services.size(); ++service) {
    figures.push_back(makeFigures(context_.recorders[service], after[service].since(before[service])));
    figures.back().attempts_per_request =
        static_cast<double>(attempts) / static_cast<double>(std::max<std::size_t>(workload_.online.size(), 1));
    figures.back().batch_pauses = static_cast<double>(pauses);
  }
  return figures;
}

}  // namespace hatchfork::experiment
