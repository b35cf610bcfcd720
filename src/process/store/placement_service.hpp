#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "process/fleet/placement_messages.hpp"
#include "process/metrics/metrics_page.hpp"
#include "request/admission/load_features.hpp"
#include "request/admission/zone_line.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/load_table.hpp"
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
  /// Requests that stood in line; of these, those that got a place, and those that left it by themselves.
  std::uint64_t stood = 0;
  std::uint64_t placed_from_line = 0;
  std::uint64_t left_line = 0;
  /// Requests that were refused, since they could not be in time: when they came, and after they had stood in line.
  std::uint64_t refused = 0;
  std::uint64_t refused_from_line = 0;
  metrics::LatencyHistogram line_wait;
};

/// Places the online requests of all gateways of a zone, so that each slot of the zone's engines is given away once:
/// many gateways that choose for themselves know each other's choices too late, and queue at an engine while another
/// one has a free slot. What the other zones and the batch runs have in flight comes from the load totals. Its state is
/// soft: gateways tell a new one all that they have. No I/O, no clock. Belongs to one thread.
///
/// Where engines tell their pace, requests of gateways that know it stand here in line once no engine has a place, and
/// get the next one that falls free. The requests themselves stay with their gateways: one that hears nothing of the
/// line for a moment chooses for itself, and says that its request is over here.
class PlacementService {
 public:
  /// Asks that a batch run at an engine gives way now.
  using GiveWayFunction = std::function<void(const EngineId& engine)>;
  /// Sends a later answer to the gateway at the other end of a connection.
  using AnswerFunction = std::function<void(const void* connection, const fleet::PlacementAnswer& answer)>;

  /// `zone`: this store's own, whose cold engines it alone sends to.
  PlacementService(std::uint64_t seed, ZoneId zone, GiveWayFunction give_way, request::LoadFeatures features = {});

  /// Without one, no request stands in line.
  void setAnswerHandler(AnswerFunction answer) { answer_ = std::move(answer); }
  void takeEngines(Instant now, const EngineChanges& changes);
  void setEvacuated(Instant now, const std::set<ZoneId>& zones) { selector_.setEvacuated(now, zones); }
  void setServices(const std::map<ServiceId, RoutedService>& services) { selector_.setServices(services); }
  /// What processes have in flight whose requests are not placed here.
  void notePeerLoads(Instant now, const std::vector<request::EngineShare>& others);
  /// What batch runs have in flight.
  void noteBackground(const std::vector<request::EngineShare>& background) { selector_.noteBackground(background); }
  /// `connection`: identity of the connection that the gateway is reached by.
  fleet::PlacementAnswer take(Instant now, const fleet::PlacementQuestion& question, const void* connection);
  void take(Instant now, const fleet::PlacementNotes& notes, const void* connection);
  /// The connection has ended: so has what its gateway had in flight, or it will tell anew.
  void drop(Instant now, const void* connection);
  /// Forgets gateways that have told nothing for long.
  void expire(Instant now);
  /// Answers those who stand in line; call many times a second.
  void tick(Instant now);

  const PlacementCounters& counters() const { return counters_; }
  std::size_t gateways() const { return gateways_.size(); }
  /// Requests that stand in line.
  std::size_t standing() const { return waiting_.size(); }

 private:
  struct Gateway {
    const void* connection = nullptr;
    Instant heard_at{};
    std::map<std::uint64_t, request::TicketId> tickets;
    std::map<std::uint64_t, request::LineNumber> standing;
    /// When it was last told that its requests stand in line.
    Instant told_at{};
  };
  /// A request that stands in line.
  struct Waiting {
    fleet::PlacementQuestion question;
  };

  static request::EngineQuery queryOf(const fleet::PlacementQuestion& question);
  Gateway& gatewayOf(Instant now, const std::string& node, const void* connection);
  void begin(Instant now, Gateway& gateway, const fleet::PlacedRequest& request);
  void end(Instant now, Gateway& gateway, std::uint64_t number, request::EngineVerdict verdict);
  void endAll(Instant now, Gateway& gateway);
  void dropIf(Instant now, const std::function<bool(const Gateway&)>& is_gone);
  void notePaces(Instant now, const Gateway& gateway, const std::vector<fleet::ToldPace>& paces);

  /// At the best engine there is, with or without a free place.
  fleet::PlacementAnswer placeAnywhere(Instant now, const fleet::PlacementQuestion& question);
  fleet::PlacementAnswer placeAt(Instant now, const fleet::PlacementQuestion& question,
                                 const request::EngineChoice& choice);
  /// True if the request stands in line where there is no place for it.
  bool usesLine(const fleet::PlacementQuestion& question) const;
  fleet::PlacementAnswer placeOrLine(Instant now, Gateway& gateway, const fleet::PlacementQuestion& question);
  /// An engine with a free place that is worth more than a wait of this long in line.
  std::optional<request::EngineChoice> freePlace(Instant now, const fleet::PlacementQuestion& question, double wait_ms);
  /// True if engines' own queues are as good for the request as a line.
  bool hasFastQueues(const fleet::PlacementQuestion& question) const;
  /// Expected wait of a request before which so many others get a place; zero where it is not known.
  double lineWaitMs(Instant now, const ServiceId& service, std::size_t ahead) const;
  fleet::PlacementAnswer refusal(Instant now, const fleet::PlacementQuestion& question) const;
  /// Gives places to those who stand in line, and refuses those who can't be in time any more.
  void serveLines(Instant now);
  bool serveOne(Instant now, request::ZoneLine& line);
  void refuseLate(Instant now, request::ZoneLine& line);
  /// Takes a request out of the line, if it stands there.
  void leaveLine(Gateway& gateway, std::uint64_t number);
  /// Forgets a request that has left the line, and answers its gateway.
  void answerStanding(request::LineNumber number, const std::function<fleet::PlacementAnswer(const Waiting&)>& answer);

  GiveWayFunction give_way_;
  AnswerFunction answer_;
  request::LoadFeatures features_;
  ZoneId zone_;
  request::EngineSelector selector_;
  std::map<std::string, Gateway> gateways_;
  std::map<ServiceId, request::ZoneLine> lines_;
  std::map<request::LineNumber, Waiting> waiting_;
  request::LineNumber last_line_number_ = 0;
  PlacementCounters counters_;
};

}  // namespace hatchfork::store
