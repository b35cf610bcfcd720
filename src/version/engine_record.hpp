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
/// An array without field names: every process of a fleet is sent all of them.
inline void to_json(nlohmann::json& json, const EngineRecord& engine) {
  json = nlohmann::json::array({engine.id, engine.service, engine.address, engine.zone, engine.slots, engine.leaving});
}
/// Logs and snapshots of older releases hold them with field names.
inline void from_json(const nlohmann::json& json, EngineRecord& engine) {
  const bool is_array = json.is_array();
  (is_array ? json.at(0) : json.at("id")).get_to(engine.id);
  (is_array ? json.at(1) : json.at("service")).get_to(engine.service);
  (is_array ? json.at(2) : json.at("address")).get_to(engine.address);
  (is_array ? json.at(3) : json.at("zone")).get_to(engine.zone);
  (is_array ? json.at(4) : json.at("slots")).get_to(engine.slots);
  (is_array ? json.at(5) : json.at("leaving")).get_to(engine.leaving);
}

/// A sign of life of an engine.
struct EngineBeat {
  EngineRecord engine;
  /// Rises with each beat of the engine, so that a late one is recognised.
  std::uint64_t sequence = 0;
};

}  // namespace hatchfork
