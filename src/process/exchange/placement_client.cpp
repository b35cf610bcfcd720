#include "process/exchange/placement_client.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// An answer takes a millisecond where all is well; a store that is busy for longer than this costs a request more than
/// a choice of its own.
constexpr Duration kPatience = fromMillis(25);
/// A store that keeps requests in line tells so every 50 ms; one that has been silent for longer than this has lost
/// them.
constexpr Duration kLinePatience = fromMillis(150);
/// A store that did not answer is asked again after this long.
constexpr Duration kAvoidedFor = fromMillis(250);
/// Notes that are closer together than this go out together.
constexpr Duration kNotesDelay = fromMillis(5);
/// Everything is told again this often, in case notes were lost.
constexpr Duration kWholeInterval = std::chrono::seconds(1);

}  // namespace

void PlacementClient::setPlacer(const ReplicaId& placer) {
  if (placer == placer_) return;
  logEvent(LogLevel::kInfo, "placer_used",
           {{"store", placer.value}, {"before", placer_.value}, {"standing", questions_.size()}});
  placer_ = placer;
  avoided_until_ = Instant{};
  next_whole_ = Instant{};
  placer_knows_line_ = false;
  // The new one does not know who stood in line at the one before.
  for (const auto& [number, question] : questions_) {
    question->is_given_up = true;
    question->timer->cancel();
  }
}

Awaitable<std::optional<PlacementClient::Place>> PlacementClient::place(const request::EngineQuery& query,
                                                                        std::vector<EngineId> unreachable,
                                                                        std::optional<Wait> wait) {
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
  const Duration most_wait = wait ? fromMillis(std::max<std::int64_t>(0, wait->terms.left_ms)) : Duration::zero();
  if (wait && placer_knows_line_) message.terms = wait->terms;
  if (!send_(placer_, message)) co_return std::nullopt;
  connection::Timer timer(context_);
  Question question;
  question.timer = &timer;
  questions_[number] = &question;
  const std::shared_ptr<connection::ExchangeControl> control = wait ? wait->control : nullptr;
  if (control) {
    control->cancel = [&question] {
      question.is_given_up = true;
      question.timer->cancel();
    };
  }
  co_await await(question, asked_at + most_wait + kLinePatience);
  if (control) control->cancel = nullptr;
  questions_.erase(number);
  co_return concludeQuestion(number, question, asked_at, query.prompt.prompt_tokens);
}

Awaitable<void> PlacementClient::await(Question& question, Instant give_up_at) {
  Instant until = monotonicNow() + kPatience;
  while (!question.answer && !question.is_given_up) {
    question.timer->expires_after(until - monotonicNow());
    boost::system::error_code ignored;
    co_await question.timer->async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
    if (question.position >= 0) until = std::min(give_up_at, heard_at_ + kLinePatience);
    if (monotonicNow() >= until) break;
  }
}

std::optional<PlacementClient::Place> PlacementClient::concludeQuestion(std::uint64_t number, const Question& question,
                                                                        Instant asked_at, std::uint64_t prompt_tokens) {
  const Instant now = monotonicNow();
  const bool stood = question.position >= 0;
  Place place;
  place.stood = stood ? now - asked_at : Duration::zero();
  place.position = question.position;
  if (!stood) counters_.wait.observe(now - asked_at);
  if (stood) ++counters_.stood;
  if (!question.answer) {
    if (!question.is_given_up) {
      avoided_until_ = now + kAvoidedFor;
      placer_knows_line_ = false;
      logEvent(LogLevel::kInfo, "placer_silent",
               {{"store", placer_.value}, {"waited_ms", toMillis(now - asked_at)}, {"stood_in_line", stood}});
    }
    noteEnded(number, request::EngineVerdict::kNeutral);
    if (!stood) return std::nullopt;
    ++counters_.left_waiting;
    place.line = question.is_given_up ? LineEnd::kMoved : LineEnd::kSilent;
    return place;
  }
  place.answer = *question.answer;
  if (place.answer.isRefused()) {
    ++counters_.refused;
    place.line = LineEnd::kRefused;
    return place;
  }
  if (place.answer.engine.empty()) return std::nullopt;
  place.number = number;
  if (stood) place.line = LineEnd::kPlaced;
  present_[number] = fleet::PlacedRequest{number, place.answer.engine, prompt_tokens, false};
  ++counters_.placed;
  return place;
}

void PlacementClient::take(const fleet::PlacementAnswer& answer) {
  heard_at_ = monotonicNow();
  placer_knows_line_ = answer.knows_line;
  const auto found = questions_.find(answer.number);
  if (found == questions_.end() || found->second->answer) return;
  Question& question = *found->second;
  const bool is_known_to_stand = question.position >= 0;
  if (answer.stands()) {
    question.position = answer.position;
  } else {
    question.answer = answer;
  }
  // Who is known to stand looks for signs of life by itself.
  if (question.answer || !is_known_to_stand) question.timer->cancel();
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
