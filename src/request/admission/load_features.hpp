#pragma once

namespace hatchfork::request {

/// Which decisions under load a process makes. Each acts only where the configuration gives it something to decide on
/// (limits of tenants, engines that tell their pace); switched off, the process does what it does without it. Equal on
/// all machines. Source: the table `load` of the settings file.
struct LoadFeatures {
  /// Callers that are turned away for lack of credits get a time at which one is kept for them.
  bool return_appointments = true;
  /// Requests wait at the gateway for what will be there within their objective, most urgent first.
  bool ordered_waiting = true;
  /// The speed of each engine is learned, and what it tells of its pace is used.
  bool engine_pace = true;
  /// Requests wait at the store that places them once all places of the zone are taken.
  bool zone_line = true;
  /// Room that is short is shared between tenants by weight.
  bool fair_shares = true;
  /// Batch runs begin by least slack into the room that online requests leave. Only where the settings ask for it: it
  /// makes batch wait for the sake of work that is not run again.
  bool batch_by_slack = false;
};

}  // namespace hatchfork::request
