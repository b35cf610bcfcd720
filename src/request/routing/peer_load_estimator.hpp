#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/time.hpp"

namespace hatchfork::request {

struct PeerLoadOptions {
  /// Typical age of a reported load on arrival.
  Duration report_age = fromMillis(600);
  /// Time constant over which the reported and the own load are averaged.
  Duration averaging_time = fromMillis(2000);
  /// Time after the last report from which on the peer load counts as unknown.
  Duration report_lifetime = fromMillis(3000);
};

/// Estimates the online requests that peer gateways have at one engine, from the engine's delayed reports and this
/// gateway's own load. A single report says little: it includes requests that have ended since, and does not
/// distinguish own requests from those of peers. Therefore the difference between the reported load and the own load at
/// the time of the report is averaged, so that only a lasting difference counts. Not thread-safe.
class PeerLoadEstimator {
 public:
  explicit PeerLoadEstimator(PeerLoadOptions options = {}) : options_(options) {}

  /// `reported`: online requests running or queued at the engine; `own`: current online requests of this gateway there.
  void recordReport(Instant now, std::uint32_t reported, std::uint32_t own);
  /// Estimated online requests of peers; zero if unknown.
  double estimate(Instant now) const;

 private:
  struct OwnSample {
    Instant at;
    std::uint32_t in_flight = 0;
  };
  /// Own load at about the time that a report received at `now` describes.
  std::uint32_t ownLoadAtReport(Instant now);

  PeerLoadOptions options_;
  std::deque<OwnSample> own_samples_;
  double mean_peer_load_ = 0;
  std::optional<Instant> reported_at_;
};

}  // namespace hatchfork::request
