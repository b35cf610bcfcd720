#pragma once

namespace hatchfork::request {

/// Slots of the engines of one service in one zone, and the requests other than batch in flight there.
struct ZoneLoad {
  double slots = 0;
  double online = 0;
};

}  // namespace hatchfork::request
