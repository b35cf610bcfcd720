#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/crash/request_fingerprint.hpp"

namespace hatchfork::store {

/// A crash of an engine during a request that may be its cause. The time is wall-clock time, since the record
/// outlives processes.
struct StoredCrash {
  request::RequestFingerprint content;
  EngineId engine;
  WallMillis ended_at = 0;
  /// Time for which the request had been at the engine, in milliseconds.
  std::int64_t ran_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoredCrash, content, engine, ended_at, ran_ms)

/// Log command that stores crashes, so that they survive a simultaneous exit of all processes, and removes those of
/// requests that have got a complete answer since.
struct SaveCrashes {
  static constexpr std::string_view kKind = "crashes";
  std::vector<StoredCrash> crashes;
  std::vector<request::RequestFingerprint> cleared;
};
/// Logs of older versions have no cleared requests.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SaveCrashes, crashes, cleared)

/// The crashes that a store group has stored: bounded, and equal at all replicas of one version. Requests are evicted
/// once their last crash has expired; beyond the bound, those with too few crashes to be refused are evicted first, the
/// oldest before the others.
class StoredCrashes {
 public:
  /// Returns true if at least one of the crashes was not stored before.
  bool add(const std::vector<StoredCrash>& crashes);
  /// Removes the crashes of these requests. Returns true if there were any.
  bool remove(const std::vector<request::RequestFingerprint>& contents);
  bool contains(const request::RequestFingerprint& content, const EngineId& engine) const;
  std::vector<StoredCrash> all() const;
  std::size_t requests() const { return crashes_.size(); }
  /// Increases whenever crashes are added or removed.
  std::uint64_t version() const { return version_; }

 private:
  struct EngineCrash {
    WallMillis ended_at = 0;
    std::int64_t ran_ms = 0;
  };
  using EngineCrashes = std::map<EngineId, EngineCrash>;

  static WallMillis lastCrashAt(const EngineCrashes& engine_crashes);
  static WallMillis expiresAt(const EngineCrashes& engine_crashes);
  static bool mayBeRefused(const EngineCrashes& engine_crashes);
  void evict(WallMillis newest);

  std::map<request::RequestFingerprint, EngineCrashes> crashes_;
  std::uint64_t version_ = 0;
};

}  // namespace hatchfork::store
