#pragma once

namespace hatchfork::request {

/// Switches for load-management features of a process. Each feature acts only if the configuration gives it something
/// to decide on (limits of tenants, engines that report their speed); if a feature is off, the process behaves as
/// without it. The values are the same on all machines. Source: the table `load` of the settings file.
struct LoadFeatures {
  /// Callers that are refused for lack of credits get a retry time at which a credit is reserved for them.
  bool return_appointments = true;
  /// Requests wait at the gateway for credits that become available within their objective, the most urgent first.
  bool ordered_waiting = true;
  /// The speed of each engine is learned, and the speed that it reports is used.
  bool engine_pace = true;
  /// Requests wait in a queue at the store that places them while all slots of the zone are in use.
  bool zone_line = true;
  /// Scarce slots are shared between tenants by weight.
  bool fair_shares = true;
  /// Batch runs start by least slack into the room that online requests leave. Off by default, because batch items wait
  /// longer so that less work is repeated.
  bool batch_by_slack = false;
};

}  // namespace hatchfork::request
