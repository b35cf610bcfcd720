#include "request/exchange/weighted_split.hpp"

#include <algorithm>
#include <functional>

namespace hatchfork::request {
namespace {

bool isSameSplit(const std::vector<WeightedService>& left, const std::vector<WeightedService>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const WeightedService& a, const WeightedService& b) {
                      return a.service == b.service && a.weight == b.weight;
                    });
}

}  // namespace

WeightedSplit::State& WeightedSplit::stateOf(const Route& route) {
  const std::string key = route.host + route.prefix;
  State& state = routes_[key];
  if (isSameSplit(state.split, route.split)) return state;
  state.split = route.split;
  state.credit.clear();
  std::uint64_t draw = seed_ ^ std::hash<std::string>{}(key);
  for (const WeightedService& part : route.split) {
    draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
    state.credit.push_back(part.weight == 0 ? 0 : static_cast<std::int64_t>((draw >> 33) % part.weight));
  }
  return state;
}

const ServiceId& WeightedSplit::choose(const Route& route) {
  if (route.split.size() == 1) return route.split.front().service;
  State& state = stateOf(route);
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.split.size(); ++i) {
    state.credit[i] += route.split[i].weight;
    total += route.split[i].weight;
    if (route.split[best].weight == 0 || (route.split[i].weight > 0 && state.credit[i] > state.credit[best])) best = i;
  }
  state.credit[best] -= total;
  return route.split[best].service;
}

}  // namespace hatchfork::request
