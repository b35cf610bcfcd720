#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace hatchfork::request {

/// The two classes of work on the fleet. Online work never waits behind batch work.
enum class Urgency : std::uint8_t { kOnline, kBatch };
NLOHMANN_JSON_SERIALIZE_ENUM(Urgency, {{Urgency::kOnline, "online"}, {Urgency::kBatch, "batch"}})

}  // namespace hatchfork::request
