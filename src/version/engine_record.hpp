#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace hatchfork {

/// One incarnation of an engine, as registered by the engine. An engine may restart under the same identifier; the new
/// incarnation has none of the state of the previous one.
struct EngineRecord {
  EngineId id;
  ServiceId service;
  /// "ip:port".
  std::string address;
  ZoneId zone;
  /// Maximum number of concurrent requests.
  std::uint32_t slots = 0;
  /// True once the engine has announced that it is about to shut down; never returns to false.
  bool leaving = false;
  /// Start time of this incarnation by the engine's own wall clock; serves as its incarnation number. Zero if the
  /// engine does not report its start.
  WallMillis born = 0;
  /// Remaining warm-up time in milliseconds, as reported when the engine became cold; zero while the engine is warm. A
  /// cold engine sustains only a few requests per second.
  std::int64_t cold_ms = 0;
  EngineBuild build;
  bool operator==(const EngineRecord&) const = default;
};
/// Encodes an array without field names, because every process of a fleet receives the records of all engines.
inline void to_json(nlohmann::json& json, const EngineRecord& engine) {
  json = nlohmann::json::array({engine.id, engine.service, engine.address, engine.zone, engine.slots, engine.leaving,
                                engine.born, engine.cold_ms, engine.build});
}
/// Also accepts objects with field names, as in the logs and snapshots of older releases.
inline void from_json(const nlohmann::json& json, EngineRecord& engine) {
  const bool is_array = json.is_array();
  (is_array ? json.at(0) : json.at("id")).get_to(engine.id);
  (is_array ? json.at(1) : json.at("service")).get_to(engine.service);
  (is_array ? json.at(2) : json.at("address")).get_to(engine.address);
  (is_array ? json.at(3) : json.at("zone")).get_to(engine.zone);
  (is_array ? json.at(4) : json.at("slots")).get_to(engine.slots);
  (is_array ? json.at(5) : json.at("leaving")).get_to(engine.leaving);
  // Records of older releases have no start time.
  engine.born = is_array && json.size() > 6 ? json.at(6).get<WallMillis>() : 0;
  engine.cold_ms = is_array && json.size() > 7 ? json.at(7).get<std::int64_t>() : 0;
  engine.build = is_array && json.size() > 8 ? json.at(8).get<EngineBuild>() : EngineBuild();
}

/// Order of two incarnations of an engine with the same identifier.
enum class IncarnationOrder { kSame, kNewer, kOlder };

/// Compares the start time of an incarnation with that of a recorded incarnation. Returns `kSame` if either start time
/// is not reported (zero), because the two can't be distinguished then.
inline IncarnationOrder compareIncarnations(WallMillis born, WallMillis recorded_born) {
  if (born == recorded_born || born == 0 || recorded_born == 0) return IncarnationOrder::kSame;
  return born > recorded_born ? IncarnationOrder::kNewer : IncarnationOrder::kOlder;
}

/// Returns an identifier of one incarnation, so that two exits of the same engine are distinct.
inline EngineId incarnationId(const EngineId& engine, WallMillis born) {
  return born == 0 ? engine : EngineId(engine.value + "@" + std::to_string(born));
}

/// A heartbeat of an engine.
struct EngineHeartbeat {
  EngineRecord engine;
  /// Increases with each heartbeat of an incarnation, so that delayed heartbeats can be detected.
  std::uint64_t sequence = 0;
};

}  // namespace hatchfork
