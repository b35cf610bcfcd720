#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork {

/// One life of an engine, as it registered itself. An engine may start again under its identifier; it then holds and
/// knows nothing of before.
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
  /// When this life began by the engine's own wall clock; zero where it does not tell.
  WallMillis born = 0;
  /// How much longer it stays cold, as it told when it became so; zero while it is warm. A cold engine bears few
  /// requests a second.
  std::int64_t cold_ms = 0;
  bool operator==(const EngineRecord&) const = default;
};
/// An array without field names: every process of a fleet is sent all of them.
inline void to_json(nlohmann::json& json, const EngineRecord& engine) {
  json = nlohmann::json::array({engine.id, engine.service, engine.address, engine.zone, engine.slots, engine.leaving,
                                engine.born, engine.cold_ms});
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
  // Engines of older releases tell no birth.
  engine.born = is_array && json.size() > 6 ? json.at(6).get<WallMillis>() : 0;
  engine.cold_ms = is_array && json.size() > 7 ? json.at(7).get<std::int64_t>() : 0;
}

/// How one life of an engine stands to another one under the same identifier.
enum class LifeOrder { kSame, kNewer, kOlder };

/// Compares a life by its birth with a known one. Without both births nothing tells them apart: the same one.
inline LifeOrder compareLives(WallMillis born, WallMillis known_born) {
  if (born == known_born || born == 0 || known_born == 0) return LifeOrder::kSame;
  return born > known_born ? LifeOrder::kNewer : LifeOrder::kOlder;
}

/// Names one life of an engine, so that two ends of one engine are two ends.
inline EngineId nameOfLife(const EngineId& engine, WallMillis born) {
  return born == 0 ? engine : EngineId(engine.value + "@" + std::to_string(born));
}

/// A sign of life of an engine.
struct EngineBeat {
  EngineRecord engine;
  /// Rises with each beat of one life, so that a late one is recognised.
  std::uint64_t sequence = 0;
};

}  // namespace hatchfork
