#pragma once

namespace hatchfork::request {

/// What one zone's engines of a service can run, and what they run of others than batch.
struct ZoneLoad {
  double slots = 0;
  double online = 0;
};

}  // namespace hatchfork::request
