#include "process/store/store_program.hpp"

// Metrics of a store.
namespace hatchfork::store {

using connection::monotonicNow;

void StoreProgram::fillMetrics(metrics::MetricsPage& page) const {
  // Memory metrics come first, since collectors may truncate a long page.
  fillMemoryMetrics(page);
  fleet::fillGroupMetrics(page, group_->status());
  const JobExecutorCounters& counters = executor_->counters();
  const auto items = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_item_runs_total", "Runs of batch items by their end.", static_cast<double>(value),
                 {{"outcome", outcome}});
  };
  items("completed", counters.completed);
  items("errored", counters.errored);
  items("broken", counters.broken);
  items("yielded", counters.preempted);
  page.counter("hatchfork_item_texts_dropped_total",
               "Texts of items begun anew, since no engine of their build was left or had room, at the leader.",
               static_cast<double>(counters.texts_dropped));
  page.counter("hatchfork_item_failures_kept_total", "Failed runs counted for their items, at the leader.",
               static_cast<double>(counters.failures_stored));
  page.gauge("hatchfork_item_answers_unkept", "Answers against items heard here that no leader is known to have kept.",
             static_cast<double>(runner_->unconfirmedAnswers()));
  page.gauge("hatchfork_items_running", "Batch items in flight, at the leader.",
             static_cast<double>(executor_->running()));
  page.gauge("hatchfork_items_run_here", "Batch items that this store runs.", static_cast<double>(runner_->running()));
  page.gauge("hatchfork_items_waiting", "Batch items that wait for a slot.", static_cast<double>(executor_->waiting()));
  for (const ServiceId& service : executor_->batchServices()) {
    const request::TroughScheduler& trough = executor_->trough();
    page.gauge("hatchfork_batch_lasting_places",
               "Places that no expected rise of online requests takes, at the leader.",
               trough.lastingSlots(service, executor_->estimatedRunTime()), {{"service", service.value}});
    page.gauge("hatchfork_batch_pressing", "How little slack waiting items have, from 0 to 1, at the leader.",
               trough.urgency(service), {{"service", service.value}});
  }
  page.gauge("hatchfork_waiting_tokens", "Tokens of open batch items, of all jobs.",
             static_cast<double>(state_->waitingTokens()));
  page.counter("hatchfork_jobs_over_limit_total", "Job submissions refused here by the limit of waiting tokens.",
               static_cast<double>(over_limit_jobs_));
  page.counter("hatchfork_handler_overruns_total", "Handlers that kept the thread for longer than they may.",
               static_cast<double>(handlers_.overruns()));
  page.gauge("hatchfork_handler_longest_ms", "The longest handler since the start.",
             static_cast<double>(toMillis(handlers_.longest())));
  page.gauge("hatchfork_load_receivers", "Processes that report their loads to this store.",
             static_cast<double>(aggregator_.receivers()));
  const PlacementCounters& placements = placement_.counters();
  const auto placed = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_placed_total", "Online requests placed for gateways, by what was found.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  placed("free_slot", placements.placed - placements.placed_without_free_slot - placements.preempted);
  placed("gave_way", placements.preempted);
  placed("no_free_slot", placements.placed_without_free_slot);
  placed("no_engine", placements.unplaced);
  fillQueueMetrics(page);
  page.gauge("hatchfork_streams_recorded", "Streams of several builds that gateways have recorded here.",
             static_cast<double>(streams_.size()));
  page.gauge("hatchfork_rate_limit_buckets", "Tenants whose rate limits this store has kept lately.",
             static_cast<double>(rate_limits_.buckets()));
  const request::RetryCounters returns = rate_limits_.returns();
  const auto kept = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_return_credits_total", "Callers over a limit, by what was agreed and what became of it.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  kept("promised", returns.promised);
  kept("used", returns.used);
  kept("lapsed", returns.lapsed);
  kept("unkept", returns.unkept);
  kept("refused_again", returns.refused_again);
  page.gauge("hatchfork_return_credits_outstanding", "Credits that are kept for callers that come back or wait.",
             static_cast<double>(rate_limits_.promised()));
  page.counter("hatchfork_engine_crashes_seen_total", "Batch items run here under which an engine ended.",
               static_cast<double>(crashes_.counters().crashes_seen));
  page.gauge("hatchfork_crash_suspects", "Contents under which an engine has ended, of the whole fleet.",
             static_cast<double>(crashes_.requestsKnown()));
  page.gauge("hatchfork_crash_listeners", "Processes that are told by this store of requests that end engines.",
             static_cast<double>(crash_relay_.receivers()));
  fleet::fillReleaseMetrics(page, fleet::leastReleaseOf(feed_->view().stores),
                            frames_.passedOver() + feed_->framesPassedOver());
}

void StoreProgram::fillQueueMetrics(metrics::MetricsPage& page) const {
  const PlacementCounters& queue_counters = placement_.counters();
  const auto left = [&page](const char* outcome, std::uint64_t value) {
    page.counter("hatchfork_line_left_total", "Online requests that stood in line here, by how they left it.",
                 static_cast<double>(value), {{"outcome", outcome}});
  };
  left("placed", queue_counters.placed_from_queue);
  left("refused", queue_counters.refused_from_queue);
  left("by_itself", queue_counters.left_queue);
  page.counter("hatchfork_line_refused_at_once_total", "Online requests that could not have been in time in line.",
               static_cast<double>(queue_counters.refused));
  page.gauge("hatchfork_line_length", "Online requests that stand in line here.",
             static_cast<double>(placement_.queuedRequests()));
  page.histogram("hatchfork_line_wait_ms", "Wait in line of requests that were placed or refused from it.",
                 queue_counters.queue_wait);
}

}  // namespace hatchfork::store
