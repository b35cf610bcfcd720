#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/placement_messages.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/load_board.hpp"
#include "version/engine_record.hpp"

namespace hatchfork::store {

struct PlacementCounters {
  std::uint64_t placed = 0;
  /// Of these, at an engine where a batch run gives way.
  std::uint64_t gave_way = 0;
  /// Of these, at an engine without a free slot, since none of the service was known to have one.
  std::uint64_t placed_at_full = 0;
  /// Questions without a usable engine.
  std::uint64_t unplaced = 0;
};

/// Places the online requests of all gateways of a zone, so that each slot of the zone's engines is given away once:
/// many gateways that choose for themselves know each other's choices too late, and queue at an engine while another
/// one has a free slot. What the other zones and the batch runs have in flight comes from the load totals. Its state is
/// soft: gateways tell a new one all that they have. No I/O, no clock. Belongs to one thread.
class PlacementService {
 public:
  /// Asks that a batch run at an engine gives way now.
  using GiveWayFunction = std::function<void(const EngineId& engine)>;

  /// `zone`: this store's own, whose cold engines it alone sends to.
  PlacementService(std::uint64_t seed, ZoneId zone, GiveWayFunction give_way);

  void takeEngines(Instant now, const EngineChanges& changes) { selector_.takeEngines(now, changes); }
  void setEvacuated(Instant now, const std::set<ZoneId>& zones) { selector_.setEvacuated(now, zones); }
  void setServices(const std::map<ServiceId, RoutedService>& services) { selector_.setServices(services); }
  /// What processes have in flight whose requests are not placed here.
  void noteOthers(Instant now, const std::vector<request::EngineShare>& others) { selector_.noteOthers(now, others); }
  /// What batch runs have in flight.
  void noteBackground(const std::vector<request::EngineShare>& background) { selector_.noteBackground(background); }
  /// `connection`: identity of the connection that the gateway is reached by.
  fleet::PlacementAnswer take(Instant now, const fleet::PlacementQuestion& question, const void* connection);
  void take(Instant now, const fleet::PlacementNotes& notes, const void* connection);
  /// The connection has ended: so has what its gateway had in flight, or it will tell anew.
  void drop(Instant now, const void* connection);
  /// Forgets gateways that have told nothing for long.
  void expire(Instant now);

  const PlacementCounters& counters() const { return counters_; }
  std::size_t gateways() const { return gateways_.size(); }

 private:
  struct Gateway {
    const void* connection = nullptr;
    Instant heard_at{};
    std::map<std::uint64_t, request::TicketId> tickets;
  };

  Gateway& gatewayOf(Instant now, const std::string& node, const void* connection);
  void begin(Instant now, Gateway& gateway, const fleet::PlacedRequest& request);
  void end(Instant now, Gateway& gateway, std::uint64_t number, request::EngineVerdict verdict);
  void endAll(Instant now, Gateway& gateway);
  void dropIf(Instant now, const std::function<bool(const Gateway&)>& is_gone);

  GiveWayFunction give_way_;
  request::EngineSelector selector_;
  std::map<std::string, Gateway> gateways_;
  PlacementCounters counters_;
};

}  // namespace hatchfork::store
