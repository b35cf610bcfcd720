#include "process/exchange/gateway_program.hpp"

// Metrics of a gateway.
namespace hatchfork::exchange {

using connection::monotonicNow;

void GatewayProgram::fillMetrics(metrics::MetricsPage& page) const {
  const auto requests = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_requests_total", "Online requests by outcome.", static_cast<double>(value),
                 {{"outcome", outcome}});
  };
  requests("answered", counters_.answered);
  requests("refused", counters_.refused);
  requests("failed", counters_.failed);
  requests("caller_left", counters_.caller_left);
  page.gauge("hatchfork_held_for_peers_bytes", "Bytes buffered for callers and engines that read slowly.",
             static_cast<double>(slow_readers_->bytes()));
  page.gauge("hatchfork_held_for_peers_most_bytes", "Upper limit of hatchfork_held_for_peers_bytes.",
             static_cast<double>(slow_readers_->mostBytes()));
  const connection::SlowReaders::Counters& slow = slow_readers_->counters();
  const auto addClosedCounter = [&page](const char* side, std::uint64_t value) {
    page.counter("hatchfork_slow_readers_let_go_total",
                 "Connections closed because the peer read nothing for too long.", static_cast<double>(value),
                 {{"side", side}});
  };
  addClosedCounter("caller", slow.callers_let_go);
  addClosedCounter("engine", slow.engines_let_go);
  page.counter("hatchfork_waits_for_held_room_total",
               "Reads of answers and long requests delayed for lack of buffer space.", static_cast<double>(slow.waits));
  fleet::fillReleaseMetrics(page, fleet::leastReleaseOf(feed_->view().stores),
                            stores_.framesPassedOver() + feed_->framesPassedOver());
  page.counter("hatchfork_requests_rejected_early_total",
               "Requests refused on arrival because they would miss their objective.",
               static_cast<double>(counters_.rejected_early));
  page.counter("hatchfork_attempts_total", "Requests sent to engines.", static_cast<double>(counters_.attempts));
  page.counter("hatchfork_attempts_declined_total", "Attempts declined by the engine.",
               static_cast<double>(counters_.declined));
  page.counter("hatchfork_streams_resumed_total", "Streams resumed by a further attempt.",
               static_cast<double>(counters_.resumed));
  page.counter("hatchfork_events_repeated_total", "Engine events dropped because the caller already had them.",
               static_cast<double>(counters_.repeated_events));
  page.counter("hatchfork_events_misplaced_total", "Engine events that do not follow the last event of the caller.",
               static_cast<double>(counters_.misplaced_events));
  page.histogram("hatchfork_first_byte_ms", "From receipt to the first byte of the answer.", counters_.first_byte);
  page.histogram("hatchfork_request_ms", "From receipt to the end of the request.", counters_.whole);
  page.counter("hatchfork_engine_connections_total", "Connections made to engines.",
               static_cast<double>(engines_.connectionsMade()));
  page.counter("hatchfork_engine_connections_reused_total", "Requests sent on a reused connection.",
               static_cast<double>(engines_.connectionsReused()));
  const StartGateCounters& start = start_gate_.counters();
  const auto held = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_requests_at_start_total",
                 "Requests that arrived before this gateway could serve, by outcome.", static_cast<double>(value),
                 {{"outcome", outcome}});
  };
  held("served", start.served);
  held("refused", start.refused);
  held("caller_left", start.caller_left);
  page.histogram("hatchfork_start_hold_ms", "Wait of requests that arrived before this gateway could serve.",
                 start.wait);
  page.gauge("hatchfork_held_requests", "Requests currently waiting at this gateway.",
             static_cast<double>(pending_budget_.requests()));
  page.gauge("hatchfork_held_request_bytes", "Body bytes of the requests currently waiting at this gateway.",
             static_cast<double>(pending_budget_.bytes()));
  const PlacementClientCounters& placement = placement_.counters();
  page.counter("hatchfork_placements_total", "Attempts by the process that chose the engine.",
               static_cast<double>(placement.placed), {{"by", "store"}});
  page.counter("hatchfork_placements_total", "Attempts by the process that chose the engine.",
               static_cast<double>(placement.placed_locally), {{"by", "gateway"}});
  page.histogram("hatchfork_placement_wait_ms", "Wait for the answer of the placement store.", placement.wait);
  const auto queued = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_line_requests_total", "Requests queued at the placement store, by outcome.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  queued("stood", placement.queued);
  queued("refused", placement.refused);
  queued("left_waiting", placement.unresolved);
  const RateLimitCounters& limits = rate_limits_.counters();
  const auto limited = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_rate_limit_total",
                 "Requests of tenants with a rate limit, by the outcome of the limit check.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  limited("admitted", limits.admitted - limits.admitted_locally);
  limited("admitted_without_owner", limits.admitted_locally);
  limited("over_limit", limits.over_limit);
  limited("unanswered", limits.unanswered);
  limited("caller_left", limits.caller_left);
  page.counter("hatchfork_rate_limit_appointments_total",
               "Requests over a limit refused with a scheduled retry and a reserved credit.",
               static_cast<double>(limits.scheduled_retries));
  page.counter("hatchfork_rate_limit_held_total", "Requests that waited at this gateway for a reserved credit.",
               static_cast<double>(limits.admitted_held));
  page.counter("hatchfork_rate_limit_questions_total", "Credit requests sent to the owners of rate limits.",
               static_cast<double>(limits.questions));
  page.histogram("hatchfork_rate_limit_wait_ms", "Wait of requests that found no credit available.", limits.wait);
  page.gauge("hatchfork_rate_limit_tenants", "Tenants with a rate limit and recent requests at this gateway.",
             static_cast<double>(rate_limits_.accounts()));
  page.counter("hatchfork_engine_crashes_seen_total", "Requests at this gateway during which an engine crashed.",
               static_cast<double>(crashes_.counters().crashes_seen));
  page.counter("hatchfork_requests_quarantined_total", "Requests refused because engines crashed on the same content.",
               static_cast<double>(crashes_.counters().refused));
  page.gauge("hatchfork_crash_suspects", "Request contents that crashed an engine, fleet-wide.",
             static_cast<double>(crashes_.requestsKnown()));
  const JobApiCounters& jobs = jobs_.counters();
  page.counter("hatchfork_jobs_submitted_total", "Batch jobs submitted here.", static_cast<double>(jobs.submitted));
  page.counter("hatchfork_jobs_accepted_total", "Submitted batch jobs that were stored.",
               static_cast<double>(jobs.accepted));
  page.counter("hatchfork_jobs_refused_total", "Submitted batch jobs refused as not executed.",
               static_cast<double>(jobs.refused));
  page.counter("hatchfork_jobs_over_limit_total",
               "Submitted batch jobs refused because too many tokens wait on their route.",
               static_cast<double>(jobs.over_limit));
  page.counter("hatchfork_jobs_unclear_total", "Submitted batch jobs with an unknown outcome.",
               static_cast<double>(jobs.unclear));
  page.gauge("hatchfork_route_version", "Version of the routes in force here.",
             routes_ ? static_cast<double>(routes_->version()) : 0);
  const bool proved = feed_->provedAt() != Instant::min();
  page.gauge("hatchfork_configuration_age_ms", "Time since the configuration was last confirmed as the newest.",
             proved ? static_cast<double>(toMillis(monotonicNow() - feed_->provedAt())) : -1);
  page.gauge("hatchfork_engines_known", "Number of registered engines.", static_cast<double>(engine_keys_.size()));
  page.gauge("hatchfork_ready", "1 while this gateway accepts new callers, else 0.", isReady() ? 1 : 0);
}

}  // namespace hatchfork::exchange
