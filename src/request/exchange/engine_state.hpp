#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "common/time.hpp"
#include "request/admission/engine_speed.hpp"
#include "version/engine_record.hpp"

namespace hatchfork::request {

/// Load that the peer processes have at an engine.
struct PeerLoad {
  std::uint32_t in_flight = 0;
  std::uint64_t unread_tokens = 0;
  std::uint32_t avoid_ms = 0;
};

/// State that one process keeps of one engine.
struct EngineState {
  EngineRecord record;
  /// Hash of the engine's id. The engines of a service with the lowest hashes are those for long prompts, so that all
  /// processes choose the same engines.
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;
  /// Prompt tokens of own requests without a first byte yet.
  std::uint64_t unread_tokens = 0;
  /// Due time of the first byte of each own request that has none yet.
  std::multiset<Instant> due;
  /// Requests of the peer processes according to the engine's last load report.
  double others = 0;
  Instant load_at = Instant::min();
  /// Exact counts of the peer processes, and the number of the peer report that they come from: engines that the newest
  /// report does not name have no peer load.
  PeerLoad peer_load;
  std::uint64_t peer_report = 0;
  /// Preemptible batch runs, counted apart from all other requests, and the number of the report that they come from.
  std::uint32_t background = 0;
  std::uint64_t background_report = 0;
  bool in_long_lane = false;
  bool gone = false;
  bool evacuated = false;
  /// End of the cold period, and the earliest time of the next request within that period.
  Instant cold_until = Instant::min();
  Instant next_while_cold = Instant::min();
  /// Time from which the build of the engine counts as settled.
  Instant build_settled_at = Instant::min();
  std::uint32_t failures = 0;
  Instant ejected_until = Instant::min();
  /// When requests with a shared prefix were last sent here, by prefix identity.
  std::unordered_map<std::uint64_t, Instant> prefixes;
  /// Speed of this incarnation of the engine, and the usual speed at its service, which the owner of this state keeps.
  EngineSpeed pace;
  ServiceSpeed* service_pace = nullptr;
  /// Index in the pool's list of all engines and in its list of the zone's engines.
  std::size_t pool_index = 0;
  std::size_t zone_index = 0;

  /// False if the engine must get no new requests.
  bool isOpen() const { return !record.leaving && !gone && !evacuated; }
};

}  // namespace hatchfork::request
