#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/ids.hpp"

namespace hatchfork {

/// One start of an engine, as it registered itself. A restarted engine has a new identifier.
struct EngineRecord {
  EngineId id;
  ServiceId service;
  /// "ip:port".
  std::string address;
  ZoneId zone;
  /// Requests it runs at once.
  std::uint32_t slots = 0;
  /// True once it has said that it is about to end; never false again.
  bool leaving = false;
  bool operator==(const EngineRecord&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineRecord, id, service, address, zone, slots, leaving)

/// A sign of life of an engine.
struct EngineBeat {
  EngineRecord engine;
  /// Rises with each beat of the engine, so that a late one is recognised.
  std::uint64_t sequence = 0;
};

}  // namespace hatchfork
