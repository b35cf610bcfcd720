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

/// An engine ended under a request that is refused for that. The time is the wall clock's, since it outlives processes.
struct StoredCrash {
  request::RequestFingerprint content;
  EngineId engine;
  WallMillis ended_at = 0;
  /// How long the request had been at the engine.
  std::int64_t ran_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoredCrash, content, engine, ended_at, ran_ms)

/// Keeps crashes, so that they are known after all processes have ended at once.
struct SaveCrashes {
  static constexpr std::string_view kKind = "crashes";
  std::vector<StoredCrash> crashes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SaveCrashes, crashes)

/// The crashes that a group keeps: bounded, equal at all replicas. What is too old to matter gives way, and beyond the
/// bound the requests whose last crash is the oldest.
class StoredCrashes {
 public:
  /// True if one of them was not kept.
  bool add(const std::vector<StoredCrash>& crashes);
  bool contains(const request::RequestFingerprint& content, const EngineId& engine) const;
  std::vector<StoredCrash> all() const;
  std::size_t requests() const { return crashes_.size(); }
  /// Changes whenever something is added.
  std::uint64_t version() const { return version_; }

 private:
  struct End {
    WallMillis ended_at = 0;
    std::int64_t ran_ms = 0;
  };
  using Ends = std::map<EngineId, End>;

  static WallMillis lastOf(const Ends& ends);
  void makeRoom(WallMillis newest);

  std::map<request::RequestFingerprint, Ends> crashes_;
  std::uint64_t version_ = 0;
};

}  // namespace hatchfork::store
