#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

namespace hatchfork::measure {

/// What one process pays on this thread, in real time, for a fleet of `engines` engines of which `loaded` have requests
/// in flight: microseconds of a choice, of one changed engine, of a telling of all loads and of another aggregator's
/// totals; bytes and microseconds of the list of all engines.
nlohmann::json measureFleetKnowledge(std::size_t engines, std::size_t loaded);

}  // namespace hatchfork::measure
