#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/time.hpp"

namespace hatchfork::request {

struct PeerLoadOptions {
  /// Typical age of the load that a report shows when it arrives.
  Duration report_age = fromMillis(600);
  /// Time over which reported and own load are averaged.
  Duration averaging_time = fromMillis(2000);
  /// Without a report for this long nothing is known of others.
  Duration report_lifetime = fromMillis(3000);
};

/// Estimates how many online requests other gateways have at an engine, from its late reports and from what this
/// gateway itself had there. A single report says little: it describes requests that have long ended, and the own ones
/// among them are not marked. So both are averaged, the own load as it was when the report was true, and only the
/// steady difference counts. One engine, one traffic thread.
class PeerLoadEstimator {
 public:
  explicit PeerLoadEstimator(PeerLoadOptions options = {}) : options_(options) {}

  /// `reported`: online requests running or queued at the engine; `own`: this gateway's in flight now.
  void recordReport(Instant now, std::uint32_t reported, std::uint32_t own);
  /// Others' online requests; zero when nothing is known.
  double estimate(Instant now) const;

 private:
  struct OwnSample {
    Instant at;
    std::uint32_t in_flight = 0;
  };
  /// The own load at about the time that a report of `now` describes.
  std::uint32_t ownThen(Instant now);

  PeerLoadOptions options_;
  std::deque<OwnSample> own_;
  double average_ = 0;
  std::optional<Instant> reported_at_;
};

}  // namespace hatchfork::request
