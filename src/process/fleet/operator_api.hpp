#pragma once

#include <functional>
#include <map>
#include <string>

#include "connection/http_server.hpp"
#include "process/fleet/engine_registrar.hpp"
#include "process/fleet/engine_watch.hpp"
#include "process/fleet/fleet_state.hpp"
#include "process/fleet/group_host.hpp"
#include "process/fleet/store_directory.hpp"
#include "version/dialect.hpp"

namespace hatchfork::fleet {

/// A call that has no outcome after this long gets no clear answer.
constexpr Duration kProposalTimeout = fromMillis(1500);

/// What the calls need to know of the process.
struct OperatorApiContext {
  const Dialect& dialect;
  GroupHost& group;
  StoreDirectory& directory;
  EngineWatch& engines;
  EngineRegistrar& registrar;
  std::uint32_t tolerated_losses = 1;
  /// All zones that the settings name; none where they name none.
  std::map<ZoneId, RegionId> zones;
  /// The state changes its place when the replica is opened anew.
  std::function<const FleetState&()> state;
  /// True once this process has run long enough to have heard of every store.
  std::function<bool()> knows_stores;
  /// False while control processes of a release that drops the builds of engines take part.
  std::function<bool()> keeps_builds;
  /// Beats that could not be read as an engine's.
  std::uint64_t entries_refused = 0;
};

/// The calls of operators and engines to a control process. An acknowledgement means committed by a quorum; an order
/// that may have been taken is never refused, only left without a clear answer. Belongs to one thread.
class OperatorApi {
 public:
  explicit OperatorApi(OperatorApiContext context) : context_(std::move(context)) {}

  connection::Awaitable<void> handle(const connection::HttpRequest& request, connection::ResponseWriter& writer);
  std::uint64_t entriesRefused() const { return context_.entries_refused; }

 private:
  connection::Awaitable<connection::HttpResponse> respond(const connection::HttpRequest& request);
  connection::Awaitable<connection::HttpResponse> putDocument(const connection::HttpRequest& request);
  connection::Awaitable<connection::HttpResponse> getDocument();
  connection::Awaitable<connection::HttpResponse> takeBeat(const EngineHeartbeatCall& call,
                                                           const connection::HttpRequest& request);
  connection::Awaitable<connection::HttpResponse> engineGone(const EngineGoneCall& call);
  connection::Awaitable<connection::HttpResponse> startRetirement(const StartRetirementCall& call);
  connection::Awaitable<connection::HttpResponse> getRetirement(const GetRetirementCall& call);
  connection::Awaitable<connection::HttpResponse> evacuate(const ZoneId& zone, bool evacuated);
  /// True if engines or stores are in the zone, or the settings name it.
  bool isKnownZone(const ZoneId& zone) const;
  connection::Awaitable<ProposalOutcome> registerEngine(const EngineRecord& engine);
  connection::Awaitable<ProposalOutcome> propose(const FleetCommand& command);
  connection::Awaitable<bool> readFresh();

  OperatorApiContext context_;
};

}  // namespace hatchfork::fleet
