#include "process/exchange/placement_client.hpp"

#include <utility>

#include "common/log.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// An answer takes a millisecond where all is well; a store that is busy for longer than this costs a request more than
/// a choice of its own.
constexpr Duration kPatience = fromMillis(25);
/// A store that did not answer is asked again after this long.
constexpr Duration kAvoidedFor = fromMillis(250);
/// Notes that are closer together than this go out together.
constexpr Duration kNotesDelay = fromMillis(5);
/// Everything is told again this often, in case notes were lost.
constexpr Duration kWholeInterval = std::chrono::seconds(1);

}  // namespace

void PlacementClient::setPlacer(const ReplicaId& placer) {
  if (placer == placer_) return;
  logEvent(LogLevel::kInfo, "placer_used", {{"store", placer.value}, {"before", placer_.value}});
  placer_ = placer;
  avoided_until_ = Instant{};
  next_whole_ = Instant{};
}

Awaitable<std::optional<PlacementClient::Place>> PlacementClient::place(const request::EngineQuery& query,
                                                                        std::vector<EngineId> unreachable) {
  const Instant asked_at = monotonicNow();
  if (!isAskable(asked_at)) co_return std::nullopt;
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
  if (!send_(placer_, message)) co_return std::nullopt;
  connection::Timer timer(context_);
  timer.expires_after(kPatience);
  Question question{&timer, std::nullopt};
  questions_[number] = &question;
  boost::system::error_code ignored;
  co_await timer.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
  questions_.erase(number);
  const Instant now = monotonicNow();
  counters_.wait.observe(now - asked_at);
  if (!question.answer) {
    avoided_until_ = now + kAvoidedFor;
    logEvent(LogLevel::kInfo, "placer_silent", {{"store", placer_.value}, {"waited_ms", toMillis(now - asked_at)}});
    noteEnded(number, request::EngineVerdict::kNeutral);
    co_return std::nullopt;
  }
  if (question.answer->engine.empty()) co_return std::nullopt;
  present_[number] = fleet::PlacedRequest{number, question.answer->engine, query.prompt.prompt_tokens, false};
  ++counters_.placed;
  co_return Place{number, *question.answer};
}

void PlacementClient::take(const fleet::PlacementAnswer& answer) {
  const auto question = questions_.find(answer.number);
  if (question == questions_.end()) return;
  question->second->answer = answer;
  question->second->timer->cancel();
}

std::uint64_t PlacementClient::noteBegun(const EngineId& engine, const request::EngineQuery& query) {
  ++counters_.alone;
  const std::uint64_t number = ++last_number_;
  const fleet::PlacedRequest request{number, engine, query.prompt.prompt_tokens, false};
  present_[number] = request;
  notes_.present.push_back(request);
  sendSoon();
  return number;
}

void PlacementClient::noteAnswering(std::uint64_t number) {
  const auto found = present_.find(number);
  if (found == present_.end() || std::exchange(found->second.is_answering, true)) return;
  notes_.answering.push_back(number);
  sendSoon();
}

void PlacementClient::noteEnded(std::uint64_t number, request::EngineVerdict verdict) {
  present_.erase(number);
  notes_.ended.push_back(fleet::EndedRequest{number, verdict});
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
  // What was lost is told with everything else.
  if (!sent) next_whole_ = Instant{};
}

void PlacementClient::tick(Instant now) {
  if (placer_.empty() || now < next_whole_) return;
  fleet::PlacementNotes whole = std::exchange(notes_, {});
  whole.node = node_;
  whole.is_whole = true;
  whole.present.clear();
  for (const auto& [number, request] : present_) whole.present.push_back(request);
  // Requests whose question is in flight are not at an engine yet.
  for (const auto& [number, question] : questions_) whole.present.push_back(fleet::PlacedRequest{number, {}, 0, false});
  if (send_(placer_, whole)) next_whole_ = now + kWholeInterval;
}

}  // namespace hatchfork::exchange
