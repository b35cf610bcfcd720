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
#include "process/exchange/planned_stop.hpp"
#include "process/exchange/stream_client.hpp"
#include "process/exchange/trial_client.hpp"
#include "process/fleet/crash_watch.hpp"
#include "process/metrics/metrics_page.hpp"
#include "request/access/allowed_zones.hpp"
#include "request/crash/request_fingerprint.hpp"
#include "request/exchange/answering_prompts.hpp"
#include "request/exchange/arrival_gate.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/stream_position.hpp"
#include "version/dialect.hpp"
#include "version/route_table.hpp"

namespace hatchfork::exchange {

/// Traffic counters of one gateway.
struct ExchangeCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  /// Subset of `refused`: rejected on arrival, since no engine was expected to start them within the objective.
  std::uint64_t rejected_early = 0;
  std::uint64_t failed = 0;
  std::uint64_t caller_left = 0;
  std::uint64_t attempts = 0;
  std::uint64_t declined = 0;
  std::uint64_t resumed = 0;
  /// Engine events dropped as duplicates.
  std::uint64_t repeated_events = 0;
  /// Engine events that followed a gap or had no identifier.
  std::uint64_t misplaced_events = 0;
  /// Time from the receipt of a request to the first byte of its answer.
  metrics::LatencyHistogram first_byte;
  /// Time from the receipt of a request to its end.
  metrics::LatencyHistogram whole;
};

/// Process-wide services and per-request settings that an `ExchangeRun` uses. The referenced objects must outlive the
/// run.
struct ExchangeContext {
  const Dialect& dialect;
  connection::EngineClient& engines;
  request::EngineSelector& selector;
  ExchangeCounters& counters;
  ZoneId zone;
  const request::ZoneRegions& regions;
  request::ArrivalGate& gate;
  PlacementClient& placement;
  /// True if requests queue at the placement store when no engine has a free slot.
  bool queues_at_store;
  fleet::CrashWatch& crashes;
  /// Prompts on which answers of this gateway are under way.
  request::AnsweringPrompts& answering_prompts;
  TrialClient& trials;
  StreamClient& streams;
  connection::SlowReaders& slow_readers;
  PlannedStop& stop;
  /// True if the gateway's list of engines is current.
  bool has_current_builds = false;
  /// Time of receipt, before any wait at the gateway.
  Instant received_at{};
};

/// Runs one online request from its receipt to its final answer: chooses engines, sends the request, relays the answer,
/// and retries or resumes where that is allowed. Lives in the frame of the request's coroutine.
///
/// Invariants:
/// - A request that is not repeatable is retried only after the engine declined it or could not be reached.
/// - A refusal that states "not executed" is sent only if that holds for every attempt.
/// - No part of an answer is relayed before its request identifier has matched.
/// - Every attempt resumes after the last event that the caller has, whichever engine or gateway sent that event.
/// - All events of a stream come from engines of one build, also over several requests of the caller.
/// - No attempt begins while its gateway stops unless it can end in time, and none goes on once the time is up.
/// - What has crashed engines, a content or a prompt part, is not sent while it is quarantined, whichever gateway
///   observed the crashes.
class ExchangeRun {
 public:
  /// `route` and `tenant` must belong to `routes`. `tenant` is null for an anonymous caller.
  ExchangeRun(ExchangeContext context, std::shared_ptr<const RouteTable> routes, const Route& route,
              const Tenant* tenant, ServiceId service, const connection::HttpRequest& request,
              connection::ResponseWriter& writer);

  connection::Awaitable<void> run();

 private:
  /// Outcome of one attempt.
  enum class AttemptEnd {
    /// The caller has received its final answer.
    kAnswered,
    /// The engine declined the request without executing it.
    kDeclined,
    /// The request did not reach the engine.
    kNotSent,
    /// The request may have been executed; nothing was relayed to the caller.
    kBroken,
    /// The stream broke after the caller's stream had started.
    kStreamBroken,
    kCallerLeft,
  };

  /// Whether a check obtains the trial lease of a request that needs one.
  enum class LeaseUse { kNone, kObtain };
  /// Permission to run a request whose subjects may crash its engine.
  enum class RunPermission {
    kGranted,
    /// The request holds what crashes engines.
    kRefused,
    /// Another run decides soon whether the request may run.
    kUndecided,
  };

  void readRequest();
  /// Ends whatever the request waits for, since the gateway stops.
  void endForStop();
  /// Requests an engine from the placement store of this zone. Chooses locally if the store returns none, and for
  /// prompts that are routed by prefix affinity.
  connection::Awaitable<std::optional<request::EngineChoice>> chooseEngine();
  connection::Awaitable<std::optional<request::EngineChoice>> chooseAmong(const request::EngineQuery& query);
  connection::Awaitable<std::optional<PlacementClient::Placement>> requestPlacement(const request::EngineQuery& query);
  /// Returns how long the request may queue for a slot, or nullopt if it must not queue.
  std::optional<PlacementClient::QueueTerms> placementWait() const;
  void recordQueueOutcome(const PlacementClient::Placement& place);
  /// True if the request must not be sent now because its content or a part of its prompt has crashed engines. Sets
  /// `cause_`, and the retry delay. Waits for a moment if another run is about to decide on a part that many share.
  connection::Awaitable<bool> rejectsQuarantined(LeaseUse lease_use);
  /// Requests a trial lease for what is likely to crash the next engine. Sets `cause_` and the retry delay unless the
  /// permission is granted.
  connection::Awaitable<RunPermission> requestPermission(LeaseUse lease_use);
  /// True if the next run has its trial lease, or does without one; else sets `cause_` and the retry delay.
  connection::Awaitable<bool> obtainTrial(request::CrashVerdict verdict);
  /// What crashes of the request's engines may be attributed to.
  const request::CrashSubjects& crashSubjects();
  /// An engine has begun to answer: it has read the prompt.
  void noteAnswerBegun();
  /// Checks the chosen engine and the request's content immediately before an attempt.
  connection::Awaitable<bool> mayAttempt(const std::optional<request::EngineChoice>& choice);
  connection::Awaitable<AttemptEnd> attempt(const request::EngineChoice& choice);
  connection::Awaitable<AttemptEnd> relay(connection::EngineExchange& exchange);
  connection::Awaitable<AttemptEnd> relayBuffered(connection::EngineExchange& exchange);
  /// Reads an answer to its end, waiting for buffer space between reads. Returns false with `cause_` set on failure.
  connection::Awaitable<bool> collectAnswer(connection::EngineExchange& exchange, std::string& body);
  connection::Awaitable<AttemptEnd> relayStream(connection::EngineExchange& exchange);
  /// Reads events until the answer ends. Fails the attempt on an event without an identifier or after a gap.
  connection::Awaitable<AttemptEnd> relayEvents(connection::EngineExchange& exchange);
  /// Returns the time by which the next event is awaited, given when the unfinished one began and when a useful one
  /// came.
  Instant nextEventBy(const connection::EventSplitter& splitter, Instant event_began_at, Instant useful_at) const;
  /// Checks the next engine event and appends it to `events` if the caller does not have it yet. Returns false if the
  /// attempt has failed.
  bool acceptEvent(const connection::StreamEvent& event, std::string& events);
  connection::Awaitable<AttemptEnd> endStream(const connection::EngineExchange& exchange, bool is_framed);
  connection::Awaitable<AttemptEnd> finishStream(unsigned status);
  /// Reads the identifier of the event to resume after. Returns the error to send if the identifier is invalid or the
  /// route is not resumable.
  std::optional<Error> readResume();
  connection::Awaitable<void> refuseResume(Error error);
  /// Determines which build has to continue the stream that the caller resumes. Returns the error to send if that is
  /// not known or no engine runs that build.
  connection::Awaitable<std::optional<Error>> findResumedBuild();
  Error unknownBuild(const UnknownStream& unknown) const;
  /// True if only some of the service's engines may run the next attempt.
  bool isBoundToBuild() const;
  /// Records which build began the stream, once the caller is about to have its first event.
  void noteStreamBegun();
  connection::Awaitable<bool> forwardEvents(const connection::EngineExchange& exchange, std::string events);
  /// Starts the caller's stream with the head of this answer, unless it was started before.
  connection::Awaitable<bool> beginStream(const connection::EngineExchange& exchange);
  connection::Awaitable<void> conclude(AttemptEnd last);
  /// Returns the caller's headers to forward to engines, without its key and the headers that the gateway sets itself.
  std::vector<connection::HttpHeader> callerHeaders() const;
  connection::EngineRequest engineRequest(const request::EngineChoice& choice) const;
  bool mayRetry(AttemptEnd end) const;
  /// Rejects a request, before its first attempt, whose expected wait exceeds the route's objective. Returns true if
  /// rejected.
  bool rejectsEarly(const request::EngineChoice& choice);
  bool isDeclined(const connection::EngineExchange& exchange) const;
  /// Returns the timing of the attempt's answer, or nullopt if the engine did not answer successfully.
  std::optional<request::AnswerTiming> attemptTiming(Instant now) const;
  std::vector<connection::HttpHeader> answerHeaders(const connection::EngineExchange& exchange) const;
  /// Checks, after the engine closed the connection, whether the engine process itself has exited. Sets
  /// `engine_state_`.
  connection::Awaitable<void> probeEngine();
  /// True if the engine, which has just closed an answer without a length, has ended although it was not leaving. Its
  /// answer may be incomplete then. Sets the cause and the verdict.
  connection::Awaitable<bool> hasCrashedAfterClose();
  /// Records a crash of the engine if it was found to have exited.
  void noteEngineCrash();
  std::string_view shownLastEventId() const;
  void logAttempt(const request::EngineChoice& choice) const;
  void logAttemptEnd(AttemptEnd end, const std::string& cause) const;
  void logEnd(std::string_view outcome, unsigned status) const;
  std::int64_t elapsedMs() const;

  ExchangeContext context_;
  std::shared_ptr<const RouteTable> routes_;
  const Route& route_;
  const Tenant* tenant_;
  const connection::HttpRequest& request_;
  connection::ResponseWriter& writer_;
  request::EngineQuery query_;
  std::string id_;
  request::RequestFingerprint fingerprint_;
  /// Empty until needed.
  std::optional<request::CrashSubjects> crash_subjects_;
  std::optional<request::AnsweringPrompts::Registration> answering_prompt_;
  Instant received_at_;
  Instant deadline_;
  /// Name of the next run in trial leases, the subject that its lease is for, and the time at which it was granted.
  std::string trial_holder_;
  request::RequestFingerprint trial_subject_;
  std::optional<Instant> trial_granted_at_;
  std::shared_ptr<connection::ExchangeControl> control_;
  bool caller_left_ = false;
  bool is_ended_by_stop_ = false;
  /// True if the placement store rejected the request because it could not start within its objective.
  bool rejected_in_queue_ = false;
  Duration retry_after_{};
  /// Number of attempts that may have been executed.
  std::uint32_t runs_ = 0;
  /// Number of attempts that were declined or did not reach the engine.
  std::uint32_t refusals_ = 0;
  EngineId engine_;
  connection::Endpoint engine_endpoint_;
  EngineBuild engine_build_;
  WallMillis engine_incarnation_ = 0;
  request::TicketId ticket_ = 0;
  /// Identifies the attempt at the placement store; zero if there is none.
  std::uint64_t placement_number_ = 0;
  request::EngineVerdict verdict_ = request::EngineVerdict::kNeutral;
  std::string cause_;
  Instant attempt_began_at_{};
  /// Time of the first byte of the attempt's answer.
  std::optional<Instant> attempt_first_at_;
  /// Value of `events_` when the attempt began.
  std::uint32_t events_before_ = 0;
  bool closed_by_engine_ = false;
  /// State of the engine, probed after it closed the connection.
  connection::EngineReachability engine_state_ = connection::EngineReachability::kUnknown;
  bool stream_started_ = false;
  /// HTTP status of the stream that was started.
  unsigned answer_status_ = 0;
  /// Raw last event identifier from the request; empty if absent.
  std::string last_event_id_;
  /// Identifies the stream over all requests of its caller; empty if the route is not resumable.
  request::StreamKey stream_;
  bool is_stream_recorded_ = false;
  std::optional<std::uint64_t> first_event_;
  /// Position of the last event that the caller has: initially from the request, then advanced by each relayed event.
  request::StreamPosition position_;
  std::uint32_t events_ = 0;
  /// Number of engine events dropped as duplicates.
  std::uint32_t repeated_ = 0;
  /// Comments of this answer since its last event; passed on with the next one, or at its end.
  std::string comments_;
  std::optional<Instant> first_byte_at_;
};

}  // namespace hatchfork::exchange
