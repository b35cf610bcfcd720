#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "common/time.hpp"
#include "request/admission/engine_speed.hpp"
#include "version/engine_record.hpp"

namespace hatchfork::request {

/// What the other processes have in flight at an engine.
struct KnownLoad {
  std::uint32_t in_flight = 0;
  std::uint64_t unread_tokens = 0;
  std::uint32_t avoid_ms = 0;
};

/// What one process knows of one engine.
struct EngineState {
  EngineRecord record;
  /// Same at all processes: ranks the engine for lanes and prefixes.
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;
  /// Prompt tokens of own requests that have not begun to answer.
  std::uint64_t unread_tokens = 0;
  /// When the first byte of each own request that has none is due.
  std::multiset<Instant> due;
  /// Requests of other processes at the time of the last report.
  double others = 0;
  Instant load_at = Instant::min();
  /// Exact counts of the other processes, and in which telling of them: engines that the newest one did not name have
  /// none.
  KnownLoad known_others;
  std::uint64_t known_telling = 0;
  /// Batch runs that give way to online requests, counted apart from all else, and in which telling of them.
  std::uint32_t background = 0;
  std::uint64_t background_telling = 0;
  bool in_long_lane = false;
  bool gone = false;
  bool evacuated = false;
  /// Until when it is cold, and from when on it bears the next request while it is.
  Instant cold_until = Instant::min();
  Instant next_when_cold = Instant::min();
  std::uint32_t failures = 0;
  Instant ejected_until = Instant::min();
  /// When requests that share a prefix were last sent here, by the identity of the prefix.
  std::unordered_map<std::uint64_t, Instant> prefixes;
  /// How fast this life works, and what is usual at its service, which the owner of this state keeps.
  EngineSpeed pace;
  ServiceSpeed* service_pace = nullptr;
  /// Where its pool keeps it: among all, among those of its zone.
  std::size_t place = 0;
  std::size_t zone_place = 0;

  /// False if nothing more may be sent to it.
  bool isOpen() const { return !record.leaving && !gone && !evacuated; }
};

}  // namespace hatchfork::request
