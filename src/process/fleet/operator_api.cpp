#include "process/fleet/operator_api.hpp"

#include <algorithm>

#include "common/log.hpp"
#include "connection/awaited.hpp"
#include "process/consensus/membership.hpp"

namespace hatchfork::fleet {

using connection::Awaitable;
using connection::HttpResponse;

namespace {

constexpr std::size_t kFewestVoters = 3;

HttpResponse notCertain(std::string message) {
  return connection::errorResponse(Error{ErrorKind::kUnavailable, std::move(message),
                                         "send the same call again, here or to another control process",
                                         Executed::kUnknown, fromMillis(200)});
}

HttpResponse notFound(std::string message) {
  return connection::errorResponse(
      Error{ErrorKind::kNotFound, std::move(message), "mend the name in the path", Executed::kNo, {}});
}

std::string_view resultName(ProposalResult result) {
  switch (result) {
    case ProposalResult::kApplied:
      return "committed";
    case ProposalResult::kNotRun:
      return "not_run";
    case ProposalResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

Awaitable<void> OperatorApi::handle(const connection::HttpRequest& request, connection::ResponseWriter& writer) {
  HttpResponse response = co_await respond(request);
  co_await writer.send(std::move(response));
}

Awaitable<HttpResponse> OperatorApi::respond(const connection::HttpRequest& request) {
  const ControlCall call = context_.dialect.controlCall(request.method, request.target);
  if (std::holds_alternative<PutDocumentCall>(call)) co_return co_await putDocument(request);
  if (std::holds_alternative<GetDocumentCall>(call)) co_return co_await getDocument();
  if (const auto* beat = std::get_if<EngineHeartbeatCall>(&call)) co_return co_await takeBeat(*beat, request);
  if (const auto* gone = std::get_if<EngineGoneCall>(&call)) co_return co_await engineGone(*gone);
  if (const auto* start = std::get_if<StartRetirementCall>(&call)) co_return co_await startRetirement(*start);
  if (const auto* get = std::get_if<GetRetirementCall>(&call)) co_return co_await getRetirement(*get);
  if (const auto* evacuation = std::get_if<StartEvacuationCall>(&call)) {
    co_return co_await evacuate(evacuation->zone, /*evacuated=*/true);
  }
  if (const auto* evacuation = std::get_if<EndEvacuationCall>(&call)) {
    co_return co_await evacuate(evacuation->zone, /*evacuated=*/false);
  }
  co_return notFound("no such call: " + request.method + " " + request.path);
}

Awaitable<ProposalOutcome> OperatorApi::propose(const FleetCommand& command) {
  connection::Awaited<ProposalOutcome> outcome(co_await connection::asio::this_coro::executor);
  context_.group.propose(encodeTagged(command), kProposalTimeout, outcome.handler());
  co_return co_await outcome.wait();
}

Awaitable<ProposalOutcome> OperatorApi::registerEngine(const EngineRecord& engine) {
  connection::Awaited<ProposalOutcome> outcome(co_await connection::asio::this_coro::executor);
  context_.registrar.add(engine, outcome.handler());
  co_return co_await outcome.wait();
}

Awaitable<bool> OperatorApi::readFresh() {
  connection::Awaited<bool> fresh(co_await connection::asio::this_coro::executor);
  context_.group.read(fresh.handler());
  co_return co_await fresh.wait();
}

Awaitable<HttpResponse> OperatorApi::putDocument(const connection::HttpRequest& request) {
  const std::string& document = request.body;
  const auto parsed = context_.dialect.parseRoutes(document);
  if (!isOk(parsed)) {
    logEvent(LogLevel::kInfo, "document_refused", {{"error", describe(errorOf(parsed))}, {"bytes", document.size()}});
    co_return connection::errorResponse(errorOf(parsed));
  }
  const std::uint64_t version = valueOf(parsed)->version();
  const std::uint64_t held = context_.state().documentVersion();
  // What is held here was committed, so a version that is not above it can be acknowledged as it is.
  if (version <= held) {
    logEvent(LogLevel::kInfo, "document_unchanged", {{"version", version}, {"held", held}});
    co_return connection::jsonResponse(200, "{}");
  }
  const FleetCommand command = PutDocument{version, document};
  const ProposalOutcome outcome = co_await propose(command);
  logEvent(LogLevel::kInfo, "document_put",
           {{"version", version}, {"held", held}, {"outcome", resultName(outcome.result)}, {"reply", outcome.reply}});
  if (outcome.result != ProposalResult::kApplied) co_return notCertain("no quorum has confirmed the document yet");
  co_return connection::jsonResponse(200, "{}");
}

Awaitable<HttpResponse> OperatorApi::getDocument() {
  const bool fresh = co_await readFresh();
  const FleetState& state = context_.state();
  logEvent(LogLevel::kInfo, "document_read", {{"version", state.documentVersion()}, {"fresh", fresh}});
  if (!fresh) co_return notCertain("no quorum has confirmed that the document is the newest");
  if (state.documentVersion() == 0) co_return notFound("no document has been put yet");
  co_return connection::jsonResponse(200, state.document());
}

Awaitable<HttpResponse> OperatorApi::takeBeat(const EngineHeartbeatCall& call, const connection::HttpRequest& request) {
  Result<EngineHeartbeat> beat = context_.dialect.parseHeartbeat(call.engine, request.body);
  if (!isOk(beat)) {
    ++context_.entries_refused;
    logEvent(LogLevel::kWarning, "engine_entry_refused",
             {{"engine", call.engine.value}, {"caller", request.peer}, {"cause", errorOf(beat).message}});
    co_return connection::errorResponse(errorOf(beat));
  }
  // A control process of an older release would drop the build from its state.
  if (!context_.keeps_builds()) valueOf(beat).engine.build = EngineBuild();
  const std::optional<RegisterEngine> command =
      context_.engines.take(connection::monotonicNow(), valueOf(beat), context_.state());
  if (command) {
    const EngineRecord& engine = valueOf(beat).engine;
    const ProposalOutcome outcome = co_await registerEngine(engine);
    logEvent(LogLevel::kInfo, "engine_registered",
             {{"engine", engine.id.value},
              {"service", engine.service.value},
              {"address", engine.address},
              {"build", engine.build.value},
              {"leaving", engine.leaving},
              {"born", engine.born},
              {"cold_ms", engine.cold_ms},
              {"sequence", valueOf(beat).sequence},
              {"outcome", resultName(outcome.result)}});
    if (outcome.result != ProposalResult::kApplied) co_return notCertain("no quorum has confirmed the beat yet");
  }
  co_return connection::jsonResponse(200, context_.dialect.heartbeatResponse());
}

Awaitable<HttpResponse> OperatorApi::engineGone(const EngineGoneCall& call) {
  if (!context_.state().isGone(call.engine)) {
    const FleetCommand command = DepartEngine{call.engine, connection::wallNow()};
    const ProposalOutcome outcome = co_await propose(command);
    logEvent(LogLevel::kInfo, "engine_departed",
             {{"engine", call.engine.value}, {"outcome", resultName(outcome.result)}});
    if (outcome.result != ProposalResult::kApplied) co_return notCertain("no quorum has confirmed the departure yet");
  }
  co_return connection::jsonResponse(200, "{}");
}

Awaitable<HttpResponse> OperatorApi::startRetirement(const StartRetirementCall& call) {
  const FleetState& state = context_.state();
  if (state.retiring().contains(call.node)) co_return connection::jsonResponse(200, "{}");
  const StorePresence* store = context_.directory.find(call.node);
  if (store == nullptr) {
    if (!context_.knows_stores()) co_return notCertain("this control process has not heard of all stores yet");
    logEvent(LogLevel::kInfo, "retirement_refused", {{"node", call.node}, {"cause", "unknown"}});
    co_return notFound("no store is named " + call.node);
  }
  const ReplicaId address = store->address;
  std::size_t remaining = 0;
  for (const auto& [other, presence] : context_.directory.stores()) {
    if (other != address && !state.retiring().contains(presence.node)) ++remaining;
  }
  const std::size_t needed = std::max<std::size_t>(kFewestVoters, 2 * context_.tolerated_losses + 1);
  if (remaining < needed) {
    if (!context_.knows_stores()) co_return notCertain("this control process has not heard of all stores yet");
    logEvent(LogLevel::kInfo, "retirement_refused",
             {{"node", call.node}, {"cause", "too_few"}, {"remaining", remaining}, {"needed", needed}});
    co_return connection::errorResponse(
        Error{ErrorKind::kConflict, "too few stores would be left", "add a store first", Executed::kNo, {}});
  }
  const FleetCommand command = RetireStore{call.node, address};
  const ProposalOutcome outcome = co_await propose(command);
  logEvent(LogLevel::kInfo, "retirement_started",
           {{"node", call.node}, {"remaining", remaining}, {"outcome", resultName(outcome.result)}});
  if (outcome.result != ProposalResult::kApplied) co_return notCertain("no quorum has confirmed the order yet");
  co_return connection::jsonResponse(200, "{}");
}

Awaitable<HttpResponse> OperatorApi::getRetirement(const GetRetirementCall& call) {
  const bool fresh = co_await readFresh();
  if (!fresh) co_return notCertain("no quorum has confirmed the state of the order");
  const auto found = context_.state().retiring().find(call.node);
  if (found == context_.state().retiring().end()) co_return notFound("store " + call.node + " is not being emptied");
  const auto& membership = context_.directory.groupMembership();
  const bool complete = membership && consensus::findMember(*membership, found->second) == nullptr;
  logEvent(LogLevel::kInfo, "retirement_read", {{"node", call.node}, {"complete", complete}});
  co_return connection::jsonResponse(200, context_.dialect.retirementAnswer(complete));
}

bool OperatorApi::isKnownZone(const ZoneId& zone) const {
  const FleetState& state = context_.state();
  if (context_.zones.contains(zone)) return true;
  if (state.evacuated().zones.contains(zone)) return true;
  const auto& stores = context_.directory.stores();
  const auto& engines = state.engines();
  return std::any_of(stores.begin(), stores.end(), [&](const auto& entry) { return entry.second.zone == zone; }) ||
         std::any_of(engines.begin(), engines.end(), [&](const auto& entry) { return entry.second.zone == zone; });
}

/// Committed even where this replica holds the same already: it may not know yet that an order since took it back.
Awaitable<HttpResponse> OperatorApi::evacuate(const ZoneId& zone, bool evacuated) {
  if (!isKnownZone(zone)) {
    if (context_.zones.empty() && !context_.knows_stores()) {
      co_return notCertain("this control process has not heard of all zones yet");
    }
    logEvent(LogLevel::kInfo, "evacuation_refused", {{"zone", zone.value}, {"cause", "unknown"}});
    co_return notFound("no zone is named " + zone.value);
  }
  const FleetCommand command = SetZoneEvacuated{zone, evacuated};
  const ProposalOutcome outcome = co_await propose(command);
  logEvent(LogLevel::kInfo, "zone_evacuation_set",
           {{"zone", zone.value},
            {"evacuated", evacuated},
            {"revision", context_.state().evacuated().revision},
            {"outcome", resultName(outcome.result)},
            {"reply", outcome.reply}});
  if (outcome.result != ProposalResult::kApplied) co_return notCertain("no quorum has confirmed the order yet");
  co_return connection::jsonResponse(200, "{}");
}

}  // namespace hatchfork::fleet
