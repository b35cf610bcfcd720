#include "process/exchange/gateway_program.hpp"

// Metrics of a gateway.
namespace hatchfork::exchange {

using connection::monotonicNow;

void GatewayProgram::fillMetrics(metrics::MetricsPage& page) const {
  const auto requests = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_requests_total", "Online requests by their end.", static_cast<double>(value),
                 {{"outcome", outcome}});
  };
  requests("answered", counters_.answered);
  requests("refused", counters_.refused);
  requests("failed", counters_.failed);
  requests("caller_left", counters_.caller_left);
  page.gauge("hatchfork_held_for_peers_bytes", "Held for callers and engines that have not read it yet.",
             static_cast<double>(slow_readers_->bytes()));
  page.gauge("hatchfork_held_for_peers_most_bytes", "Bound of that.", static_cast<double>(slow_readers_->mostBytes()));
  const connection::SlowReaders::Counters& slow = slow_readers_->counters();
  const auto addClosedCounter = [&page](const char* side, std::uint64_t value) {
    page.counter("hatchfork_slow_readers_let_go_total", "Connections ended since the far side took nothing for long.",
                 static_cast<double>(value), {{"side", side}});
  };
  addClosedCounter("caller", slow.callers_let_go);
  addClosedCounter("engine", slow.engines_let_go);
  page.counter("hatchfork_waits_for_held_room_total", "Answers and long requests that were not read for lack of room.",
               static_cast<double>(slow.waits));
  fleet::fillReleaseMetrics(page, fleet::leastReleaseOf(feed_->view().stores),
                            stores_.framesPassedOver() + feed_->framesPassedOver());
  page.counter("hatchfork_requests_rejected_early_total", "Refused at their arrival, since they would be late.",
               static_cast<double>(counters_.rejected_early));
  page.counter("hatchfork_attempts_total", "Requests sent to engines.", static_cast<double>(counters_.attempts));
  page.counter("hatchfork_attempts_declined_total", "Of these, declined by the engine.",
               static_cast<double>(counters_.declined));
  page.counter("hatchfork_streams_resumed_total", "Streams that went on at another engine.",
               static_cast<double>(counters_.resumed));
  page.counter("hatchfork_events_repeated_total", "Events of engines left out since the caller had them.",
               static_cast<double>(counters_.repeated_events));
  page.counter("hatchfork_events_misplaced_total", "Events of engines that do not follow what the caller has.",
               static_cast<double>(counters_.misplaced_events));
  page.histogram("hatchfork_first_byte_ms", "From receipt to the first byte of the answer.", counters_.first_byte);
  page.histogram("hatchfork_request_ms", "From receipt to the end of the request.", counters_.whole);
  page.counter("hatchfork_engine_connections_total", "Connections made to engines.",
               static_cast<double>(engines_.connectionsMade()));
  page.counter("hatchfork_engine_connections_reused_total", "Requests on a kept connection.",
               static_cast<double>(engines_.connectionsReused()));
  const StartGateCounters& start = start_gate_.counters();
  const auto held = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_requests_at_start_total",
                 "Requests that came before this gateway could serve, by their end.", static_cast<double>(value),
                 {{"outcome", outcome}});
  };
  held("served", start.served);
  held("refused", start.refused);
  held("caller_left", start.caller_left);
  page.histogram("hatchfork_start_hold_ms", "How long such requests were held.", start.wait);
  page.gauge("hatchfork_held_requests", "Requests that wait at this gateway now.",
             static_cast<double>(pending_budget_.requests()));
  page.gauge("hatchfork_held_request_bytes", "Bytes of their bodies.", static_cast<double>(pending_budget_.bytes()));
  const PlacementClientCounters& placement = placement_.counters();
  page.counter("hatchfork_placements_total", "Attempts by who chose their engine.",
               static_cast<double>(placement.placed), {{"by", "store"}});
  page.counter("hatchfork_placements_total", "Attempts by who chose their engine.",
               static_cast<double>(placement.placed_locally), {{"by", "gateway"}});
  page.histogram("hatchfork_placement_wait_ms", "Wait for the store that places requests.", placement.wait);
  const auto queued = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_line_requests_total", "Requests in line at the store that places them, by outcome.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  queued("stood", placement.queued);
  queued("refused", placement.refused);
  queued("left_waiting", placement.unresolved);
  const RateLimitCounters& limits = rate_limits_.counters();
  const auto limited = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_rate_limit_total", "Requests of tenants with a rate limit, by what became of them there.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  limited("admitted", limits.admitted - limits.admitted_locally);
  limited("admitted_without_owner", limits.admitted_locally);
  limited("over_limit", limits.over_limit);
  limited("unanswered", limits.unanswered);
  limited("caller_left", limits.caller_left);
  page.counter("hatchfork_rate_limit_appointments_total", "Refused over a limit with a time at which a credit is kept.",
               static_cast<double>(limits.scheduled_retries));
  page.counter("hatchfork_rate_limit_held_total", "Requests that waited here for a credit that was kept for them.",
               static_cast<double>(limits.admitted_held));
  page.counter("hatchfork_rate_limit_questions_total", "Questions to the owners of rate limits.",
               static_cast<double>(limits.questions));
  page.histogram("hatchfork_rate_limit_wait_ms", "Wait of the requests that found no credit.", limits.wait);
  page.gauge("hatchfork_rate_limit_tenants", "Tenants with a rate limit that sent requests here lately.",
             static_cast<double>(rate_limits_.accounts()));
  page.counter("hatchfork_engine_crashes_seen_total", "Requests here under which an engine ended.",
               static_cast<double>(crashes_.counters().crashes_seen));
  page.counter("hatchfork_requests_quarantined_total", "Refused here, since engines ended under such a request.",
               static_cast<double>(crashes_.counters().refused));
  const TrialClientCounters& trials = trials_.counters();
  const auto leases = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_trial_leases_total",
                 "Leases requested here to run a request that is likely to end its engine.", static_cast<double>(value),
                 {{"outcome", outcome}});
  };
  leases("granted", trials.granted);
  leases("denied", trials.denied);
  leases("unanswered", trials.unanswered);
  const StreamClientCounters& streams = streams_.counters();
  page.counter("hatchfork_streams_begun_total", "Resumable streams that began here.",
               static_cast<double>(streams.begun));
  page.counter("hatchfork_stream_records_sent_total", "Records of these that were sent to stores.",
               static_cast<double>(streams.records_sent));
  page.counter("hatchfork_stream_questions_total", "Lookups of streams that asked the stores.",
               static_cast<double>(streams.questions));
  const auto lookups = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_stream_lookups_total", "Streams that callers resumed here, by what was known of them.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  lookups("recorded", streams.found);
  lookups("one_build", streams.any_build);
  lookups("unknown", streams.unknown);
  page.gauge("hatchfork_streams_recorded", "Streams that began here and may still be resumed.",
             static_cast<double>(streams_.streams()));
  page.gauge("hatchfork_crash_suspects", "Contents under which an engine has ended, of the whole fleet.",
             static_cast<double>(crashes_.requestsKnown()));
  const JobApiCounters& jobs = jobs_.counters();
  page.counter("hatchfork_jobs_submitted_total", "Batch jobs submitted here.", static_cast<double>(jobs.submitted));
  page.counter("hatchfork_jobs_accepted_total", "Of these, kept.", static_cast<double>(jobs.accepted));
  page.counter("hatchfork_jobs_refused_total", "Of these, refused as not run.", static_cast<double>(jobs.refused));
  page.counter("hatchfork_jobs_over_limit_total", "Of these, refused since too many tokens wait on their route.",
               static_cast<double>(jobs.over_limit));
  page.counter("hatchfork_jobs_unclear_total", "Of these, without a clear outcome.", static_cast<double>(jobs.unclear));
  page.gauge("hatchfork_route_version", "Version of the routes in force here.",
             routes_ ? static_cast<double>(routes_->version()) : 0);
  const bool proved = feed_->provedAt() != Instant::min();
  page.gauge("hatchfork_configuration_age_ms", "Time since the configuration was proved the newest.",
             proved ? static_cast<double>(toMillis(monotonicNow() - feed_->provedAt())) : -1);
  page.gauge("hatchfork_engines_known", "Engines that are registered.", static_cast<double>(engine_keys_.size()));
  page.gauge("hatchfork_ready", "One while this gateway takes new callers.", isReady() ? 1 : 0);
}

}  // namespace hatchfork::exchange
