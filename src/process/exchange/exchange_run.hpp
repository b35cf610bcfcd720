#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/engine_exchange.hpp"
#include "connection/event_stream.hpp"
#include "connection/http_server.hpp"
#include "process/exchange/placement_client.hpp"
#include "process/fleet/crash_watch.hpp"
#include "process/metrics/metrics_page.hpp"
#include "request/access/allowed_zones.hpp"
#include "request/crash/request_fingerprint.hpp"
#include "request/exchange/arrival_gate.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/stream_position.hpp"
#include "version/dialect.hpp"
#include "version/route_table.hpp"

namespace hatchfork::exchange {

/// Counters of the traffic of one gateway.
struct ExchangeCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  /// Of these, at their arrival, since no engine would have begun them in time.
  std::uint64_t rejected_early = 0;
  std::uint64_t failed = 0;
  std::uint64_t caller_left = 0;
  std::uint64_t attempts = 0;
  std::uint64_t declined = 0;
  std::uint64_t resumed = 0;
  /// Events of engines that were left out since the caller had them, and that others were missing before.
  std::uint64_t repeated_events = 0;
  std::uint64_t misplaced_events = 0;
  /// From the receipt of a request to the first byte of its answer, and to its end.
  metrics::LatencyHistogram first_byte;
  metrics::LatencyHistogram whole;
};

/// What the run of a request uses of the process.
struct ExchangeTools {
  const Dialect& dialect;
  connection::EngineClient& engines;
  request::EngineSelector& selector;
  ExchangeCounters& counters;
  ZoneId zone;
  const request::ZoneRegions& regions;
  request::ArrivalGate& gate;
  PlacementClient& placement;
  /// Requests wait in line at the store that places them, where there is no place for them.
  bool stands_in_line;
  fleet::CrashWatch& crashes;
  /// Of the request's service.
  request::AnswerFraming& framing;
  connection::SlowReaders& slow_readers;
  /// When the request came, before it waited for anything.
  Instant received_at{};
};

/// One online request from its receipt to its final answer: chooses engines, sends the request, relays the answer,
/// repeats or resumes where that is allowed. Lives in the frame of the request's coroutine.
///
/// Invariants: a request that is not repeatable is sent again only after the engine declined it or could not be
/// reached; a refusal that promises "not run" goes out only if that holds for every attempt; nothing of an answer is
/// passed on before its identifier matched; every attempt goes on after what the caller has, whoever it got that from;
/// a content under which engines have ended is not sent while it is refused for that, whoever saw these ends.
class ExchangeRun {
 public:
  /// `route` and `tenant` belong to `routes`; no tenant where the caller needs no key and has none.
  ExchangeRun(ExchangeTools tools, std::shared_ptr<const RouteTable> routes, const Route& route, const Tenant* tenant,
              ServiceId service, const connection::HttpRequest& request, connection::ResponseWriter& writer);

  connection::Awaitable<void> run();

 private:
  /// How one attempt ended.
  enum class AttemptEnd {
    /// The caller has its final answer, or as much of it as there will be.
    kAnswered,
    /// The engine did not run it.
    kDeclined,
    /// It never reached the engine.
    kNotSent,
    /// It may have run, and nothing was passed on.
    kBroken,
    /// A stream broke after events were passed on.
    kStreamBroken,
    kCallerLeft,
  };

  void readRequest();
  /// Asks the store that places this zone's requests; chooses here where that gives no engine, and for prompts that go
  /// to the engines at home for their prefix.
  connection::Awaitable<std::optional<request::EngineChoice>> chooseEngine();
  connection::Awaitable<std::optional<request::EngineChoice>> chooseAmong(const request::EngineQuery& query);
  connection::Awaitable<std::optional<PlacementClient::Place>> askForPlace(const request::EngineQuery& query);
  /// How long the request may wait for a place; nothing if it is not to stand in line.
  std::optional<PlacementClient::Wait> waitForPlace() const;
  void noteLine(const PlacementClient::Place& place);
  /// True if engines ended under such a request, so that it is not sent now. Says when the caller may come back.
  bool isKeptFromEngines();
  connection::Awaitable<AttemptEnd> attempt(const request::EngineChoice& choice);
  connection::Awaitable<AttemptEnd> relay(connection::EngineExchange& exchange);
  connection::Awaitable<AttemptEnd> relayWhole(connection::EngineExchange& exchange);
  /// Reads a whole answer, as fast as the process has room for it. False with `cause_` set if it breaks.
  connection::Awaitable<bool> collectAnswer(connection::EngineExchange& exchange, std::string& body);
  connection::Awaitable<AttemptEnd> relayStream(connection::EngineExchange& exchange);
  /// Reads events until the answer ends; fails the attempt where an event's place is not known or others are missing.
  connection::Awaitable<AttemptEnd> relayEvents(connection::EngineExchange& exchange);
  /// Judges the next event of an engine; the caller gets it if it is added to `events`. False if the attempt has
  /// failed.
  bool takeEvent(const connection::StreamEvent& event, std::string& events);
  connection::Awaitable<AttemptEnd> endStream(const connection::EngineExchange& exchange, bool is_framed);
  connection::Awaitable<AttemptEnd> finishStream(unsigned status);
  /// Reads the event that the caller goes on after. A refusal to be sent if it names none or the route allows no
  /// resume.
  std::optional<Error> readResume();
  connection::Awaitable<void> refuseResume(Error error);
  connection::Awaitable<bool> passOn(std::string events);
  connection::Awaitable<void> conclude(AttemptEnd last);
  /// Headers of the caller that engines get: neither its key nor what the gateway tells itself.
  std::vector<connection::HttpHeader> callerHeaders() const;
  connection::EngineRequest engineRequest(const request::EngineChoice& choice) const;
  bool mayGoOn(AttemptEnd end) const;
  /// True if the request was rejected early before it was sent to any engine, since it would be late.
  bool rejectsEarly(const request::EngineChoice& choice);
  bool isDeclined(const connection::EngineExchange& exchange) const;
  /// How long the attempt's engine took, if it has answered.
  std::optional<request::AnswerTiming> attemptTiming(Instant now) const;
  std::vector<connection::HttpHeader> answerHeaders(const connection::EngineExchange& exchange) const;
  /// After an engine ended the connection: looks whether the engine itself has ended.
  connection::Awaitable<void> probeEngine(const connection::Endpoint& endpoint);
  std::string_view callerHas() const;
  void logAttempt(const request::EngineChoice& choice) const;
  void logAttemptEnd(AttemptEnd end, const std::string& cause) const;
  void logEnd(std::string_view outcome, unsigned status) const;
  std::int64_t elapsedMs() const;

  ExchangeTools tools_;
  std::shared_ptr<const RouteTable> routes_;
  const Route& route_;
  const Tenant* tenant_;
  const connection::HttpRequest& request_;
  connection::ResponseWriter& writer_;
  request::EngineQuery query_;
  std::string id_;
  request::RequestFingerprint fingerprint_;
  Instant received_at_;
  Instant deadline_;
  std::shared_ptr<connection::ExchangeControl> control_;
  bool caller_left_ = false;
  /// The store that places requests refused it, since it could not be in time.
  bool refused_in_line_ = false;
  Duration come_back_after_{};
  /// Engines that may have run it.
  std::uint32_t runs_ = 0;
  /// Engines that declined it or could not be reached.
  std::uint32_t refusals_ = 0;
  EngineId engine_;
  WallMillis engine_born_ = 0;
  request::TicketId ticket_ = 0;
  /// Names the attempt at the store that places requests; zero before one is placed.
  std::uint64_t place_ = 0;
  request::EngineVerdict verdict_ = request::EngineVerdict::kNeutral;
  std::string cause_;
  /// How the attempt's connection ended, and what was seen of its engine after that.
  Instant attempt_began_at_{};
  /// When the attempt's answer began, and how many events there were before it.
  std::optional<Instant> attempt_first_at_;
  std::uint32_t events_before_ = 0;
  bool closed_by_engine_ = false;
  connection::EngineReachability engine_state_ = connection::EngineReachability::kUnknown;
  bool stream_started_ = false;
  /// Status of the answer that was begun.
  unsigned answer_status_ = 0;
  /// Event that the caller named as the last one it has, as it stands in the request; empty if it named none.
  std::string caller_has_;
  std::optional<std::uint64_t> first_event_;
  /// What the caller has: its own event at first, then what was passed on.
  request::StreamPosition position_;
  std::uint32_t events_ = 0;
  /// Events of engines that were left out since the caller had them.
  std::uint32_t repeated_ = 0;
  std::optional<Instant> first_byte_at_;
};

}  // namespace hatchfork::exchange
