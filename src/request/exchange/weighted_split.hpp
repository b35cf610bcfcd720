#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "version/route_table.hpp"

namespace hatchfork::request {

/// Splits the requests of each route over its services so that every run of requests comes close to the weights (smooth
/// weighted round robin). The seed sets the starting point, so that processes are not synchronized. Not thread-safe.
class WeightedSplit {
 public:
  explicit WeightedSplit(std::uint64_t seed) : seed_(seed) {}
  /// The route must have a positive total weight.
  const ServiceId& choose(const Route& route);

 private:
  struct State {
    std::vector<WeightedService> split;
    std::vector<std::int64_t> credit;
  };
  State& stateOf(const Route& route);

  std::uint64_t seed_;
  /// By host and prefix.
  std::map<std::string, State> routes_;
};

}  // namespace hatchfork::request
