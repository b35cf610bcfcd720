#include "process/exchange/placement_client.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// Timeout for an answer, which normally takes a millisecond. Waiting longer for a busy store costs a request more than
/// a local choice.
constexpr Duration kAnswerTimeout = fromMillis(25);
/// A store sends a heartbeat for queued requests every 50 ms; after this time without one, the requests count as lost.
constexpr Duration kQueueHeartbeatTimeout = fromMillis(150);
/// Backoff after which a store that did not answer is used again.
constexpr Duration kPlacerBackoff = fromMillis(250);
/// Batching interval of notes.
constexpr Duration kNotesDelay = fromMillis(5);
/// Interval of full reports, which make up for lost notes.
constexpr Duration kFullReportInterval = std::chrono::seconds(1);

}  // namespace

void PlacementClient::setPlacer(const ReplicaId& placer) {
  if (placer == placer_) return;
  logEvent(LogLevel::kInfo, "placer_used",
           {{"store", placer.value}, {"before", placer_.value}, {"standing", queries_.size()}});
  placer_ = placer;
  avoided_until_ = Instant{};
  next_full_report_ = Instant{};
  placer_supports_queue_ = false;
  // The new store does not have the queue of the previous one.
  for (const auto& [number, pending] : queries_) {
    pending->is_given_up = true;
    pending->timer->cancel();
  }
}

Awaitable<std::optional<PlacementClient::Placement>> PlacementClient::place(const request::EngineQuery& query,
                                                                            std::vector<EngineId> unreachable,
                                                                            std::optional<QueueTerms> wait) {
  const Instant asked_at = monotonicNow();
  if (!isPlacerAvailable(asked_at)) co_return std::nullopt;
  const std::uint64_t number = ++last_number_;
  fleet::PlacementQuestion message;
  message.node = node_;
  message.zone = query.zone;
  message.number = number;
  message.service = query.service;
  message.prompt_tokens = query.prompt.prompt_tokens;
  message.excluded = std::move(unreachable);
  message.excluded.insert(message.excluded.end(), query.excluded.begin(), query.excluded.end());
  message.zones = query.zones;
  const Duration most_wait = wait ? fromMillis(std::max<std::int64_t>(0, wait->terms.left_ms)) : Duration::zero();
  if (wait && placer_supports_queue_) message.terms = wait->terms;
  if (!send_(placer_, message)) co_return std::nullopt;
  connection::Timer timer(context_);
  PendingQuery pending;
  pending.timer = &timer;
  queries_[number] = &pending;
  const std::shared_ptr<connection::ExchangeControl> control = wait ? wait->control : nullptr;
  if (control) {
    control->cancel = [&pending] {
      pending.is_given_up = true;
      pending.timer->cancel();
    };
  }
  co_await await(pending, asked_at + most_wait + kQueueHeartbeatTimeout);
  if (control) control->cancel = nullptr;
  queries_.erase(number);
  co_return concludeQuery(number, pending, asked_at, query.prompt.prompt_tokens);
}

Awaitable<void> PlacementClient::await(PendingQuery& pending, Instant give_up_at) {
  Instant until = monotonicNow() + kAnswerTimeout;
  while (!pending.answer && !pending.is_given_up) {
    pending.timer->expires_after(until - monotonicNow());
    boost::system::error_code ignored;
    co_await pending.timer->async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
    if (pending.position >= 0) until = std::min(give_up_at, last_received_at_ + kQueueHeartbeatTimeout);
    if (monotonicNow() >= until) break;
  }
}

std::optional<PlacementClient::Placement> PlacementClient::concludeQuery(std::uint64_t number,
                                                                         const PendingQuery& pending, Instant asked_at,
                                                                         std::uint64_t prompt_tokens) {
  const Instant now = monotonicNow();
  const bool was_queued = pending.position >= 0;
  Placement place;
  place.queued_for = was_queued ? now - asked_at : Duration::zero();
  place.position = pending.position;
  if (!was_queued) counters_.wait.observe(now - asked_at);
  if (was_queued) ++counters_.queued;
  if (!pending.answer) {
    if (!pending.is_given_up) {
      avoided_until_ = now + kPlacerBackoff;
      placer_supports_queue_ = false;
      logEvent(LogLevel::kInfo, "placer_silent",
               {{"store", placer_.value}, {"waited_ms", toMillis(now - asked_at)}, {"stood_in_line", was_queued}});
    }
    noteEnded(number, request::EngineVerdict::kNeutral);
    if (!was_queued) return std::nullopt;
    ++counters_.unresolved;
    place.queue_outcome = pending.is_given_up ? QueueOutcome::kStoreChanged : QueueOutcome::kStoreSilent;
    return place;
  }
  place.answer = *pending.answer;
  if (place.answer.isRefused()) {
    ++counters_.refused;
    place.queue_outcome = QueueOutcome::kRejected;
    return place;
  }
  if (place.answer.engine.empty()) return std::nullopt;
  place.number = number;
  if (was_queued) place.queue_outcome = QueueOutcome::kPlaced;
  present_[number] = fleet::PlacedRequest{number, place.answer.engine, prompt_tokens, false};
  ++counters_.placed;
  return place;
}

void PlacementClient::take(const fleet::PlacementAnswer& answer) {
  last_received_at_ = monotonicNow();
  placer_supports_queue_ = answer.knows_line;
  const auto found = queries_.find(answer.number);
  if (found == queries_.end() || found->second->answer) return;
  PendingQuery& pending = *found->second;
  const bool was_queued = pending.position >= 0;
  if (answer.stands()) {
    pending.position = answer.position;
  } else {
    pending.answer = answer;
  }
  // A request already marked as queued checks the heartbeats itself when its timer expires.
  if (pending.answer || !was_queued) pending.timer->cancel();
}

std::uint64_t PlacementClient::noteBegun(const EngineId& engine, const request::EngineQuery& query) {
  ++counters_.placed_locally;
  const std::uint64_t number = ++last_number_;
  const fleet::PlacedRequest request{number, engine, query.prompt.prompt_tokens, false};
  present_[number] = request;
  notes_.present.push_back(request);
  sendSoon();
  return number;
}

void PlacementClient::noteAnswering(std::uint64_t number, std::uint32_t pace) {
  const auto found = present_.find(number);
  if (found == present_.end() || std::exchange(found->second.is_answering, true)) return;
  notes_.answering.push_back(number);
  if (pace > 0) notes_.paces.push_back(fleet::ToldPace{number, pace});
  sendSoon();
}

void PlacementClient::noteEnded(std::uint64_t number, request::EngineVerdict verdict,
                                const std::optional<request::AnswerTiming>& timing) {
  present_.erase(number);
  notes_.ended.push_back(fleet::EndedRequest{number, verdict, timing});
  sendSoon();
}

void PlacementClient::sendSoon() {
  if (std::exchange(timer_armed_, true)) return;
  auto timer = std::make_shared<connection::Timer>(context_);
  timer->expires_after(kNotesDelay);
  timer->async_wait([this, timer](boost::system::error_code error) {
    if (error) return;
    timer_armed_ = false;
    sendNotes();
  });
}

void PlacementClient::sendNotes() {
  if (notes_.isEmpty()) return;
  fleet::PlacementNotes notes = std::exchange(notes_, {});
  notes.node = node_;
  const bool sent = !placer_.empty() && send_(placer_, notes);
  // A full report replaces the lost notes.
  if (!sent) next_full_report_ = Instant{};
}

void PlacementClient::tick(Instant now) {
  if (placer_.empty() || now < next_full_report_) return;
  fleet::PlacementNotes whole = std::exchange(notes_, {});
  whole.node = node_;
  whole.is_whole = true;
  whole.present.clear();
  for (const auto& [number, request] : present_) whole.present.push_back(request);
  // Requests that wait for the store's answer are not at an engine yet.
  for (const auto& [number, pending] : queries_) whole.present.push_back(fleet::PlacedRequest{number, {}, 0, false});
  if (send_(placer_, whole)) next_full_report_ = now + kFullReportInterval;
}

}  // namespace hatchfork::exchange
