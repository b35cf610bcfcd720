#include "process/exchange/store_client.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/start_timeline.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;
using store::StoreReply;
using store::UnavailableReply;

namespace {

constexpr Duration kPauseBetweenRounds = fromMillis(40);
/// A large request costs the stores much each time that it is sent, so its pauses are longer and double with each
/// round.
constexpr std::size_t kLargeRequestBytes = 64 * 1024;
constexpr Duration kPauseOfLargeRequest = fromMillis(160);

}  // namespace

StoreClient::StoreClient(connection::asio::io_context& context, std::uint16_t store_port, std::uint64_t seed)
    : context_(context), store_port_(store_port), seed_(seed) {}

StoreClient::~StoreClient() {
  for (const auto& [store, entry] : links_) entry.link->stop();
}

void StoreClient::setStores(const std::vector<ReplicaId>& stores) {
  for (const ReplicaId& store : stores) {
    if (links_.contains(store)) continue;
    auto link = std::make_shared<connection::ReconnectingLink>(
        context_, connection::Endpoint{store.value, store_port_},
        [this, store](const std::string& body) { onFrame(store, body); },
        [this, store](bool connected) { onLinkState(store, connected); });
    links_[store].link = link;
    link->start();
  }
  std::erase_if(links_, [&](const auto& entry) {
    const bool gone = std::find(stores.begin(), stores.end(), entry.first) == stores.end();
    if (gone) entry.second.link->stop();
    return gone;
  });
}

void StoreClient::onLinkState(const ReplicaId& store, bool connected) {
  logEvent(LogLevel::kInfo, connected ? "store_connected" : "store_lost", {{"store", store.value}});
  if (connected) {
    noteStartStep("store_linked");
    if (on_connect_) on_connect_(store);
    return;
  }
  // Requests in flight at this store fail.
  std::vector<ReplyHandler> lost;
  std::erase_if(pending_, [&](auto& entry) {
    if (entry.second.store != store) return false;
    lost.push_back(std::move(entry.second.done));
    return true;
  });
  for (const ReplyHandler& done : lost) done(UnavailableReply{true, "the connection to the store broke"});
}

bool StoreClient::send(const ReplicaId& store, const fleet::FleetMessage& message) {
  const auto found = links_.find(store);
  return found != links_.end() && found->second.link->isConnected() && found->second.link->send(encodeTagged(message));
}

void StoreClient::onFrame(const ReplicaId& from, const std::string& body) {
  const Result<std::optional<fleet::FleetMessage>> message = frames_.read(body);
  if (!isOk(message)) {
    logEvent(LogLevel::kWarning, "frame_refused", {{"store", from.value}, {"cause", describe(errorOf(message))}});
    return;
  }
  if (!valueOf(message)) return;
  const fleet::FleetMessage& decoded = *valueOf(message);
  if (const auto* digest = std::get_if<fleet::LoadDigestFrame>(&decoded)) {
    if (on_digest_) on_digest_(*digest);
    return;
  }
  if (const auto* credit = std::get_if<fleet::CreditAnswerFrame>(&decoded)) {
    if (on_credit_) on_credit_(*credit);
    return;
  }
  if (const auto* placement = std::get_if<fleet::PlacementAnswer>(&decoded)) {
    if (on_placement_) on_placement_(*placement);
    return;
  }
  if (const auto* crashes = std::get_if<fleet::CrashNotesFrame>(&decoded)) {
    if (on_crashes_) on_crashes_(from, *crashes);
    return;
  }
  if (const auto* stream = std::get_if<fleet::StreamAnswerFrame>(&decoded)) {
    if (on_stream_) on_stream_(*stream);
    return;
  }
  const auto* frame = std::get_if<fleet::StoreReplyFrame>(&decoded);
  if (frame == nullptr) return;
  const auto found = pending_.find(frame->number);
  if (found == pending_.end()) return;
  const ReplyHandler done = std::move(found->second.done);
  pending_.erase(found);
  Result<StoreReply> reply = decodeTagged<StoreReply>(frame->reply);
  done(isOk(reply) ? std::move(valueOf(reply)) : StoreReply(UnavailableReply{true, "malformed reply"}));
}

std::vector<ReplicaId> StoreClient::storesByPreference() const {
  std::vector<ReplicaId> stores;
  for (const auto& [store, entry] : links_) {
    if (entry.link->isConnected()) stores.push_back(store);
  }
  if (stores.empty()) return stores;
  std::rotate(stores.begin(), stores.begin() + static_cast<std::ptrdiff_t>(seed_ % stores.size()), stores.end());
  const auto preferred = std::find(stores.begin(), stores.end(), preferred_);
  if (preferred != stores.end()) std::rotate(stores.begin(), preferred, preferred + 1);
  return stores;
}

struct StoreClient::CallState {
  explicit CallState(connection::asio::io_context& context) : changed(context) {}
  /// Timer that is cancelled whenever an attempt ends.
  connection::Timer changed;
  std::optional<StoreReply> answer;
  ReplicaId answered_by;
  /// Set once a store has answered that no store can serve the request.
  bool is_final = false;
  /// Stores with a request in flight, and stores tried in this round.
  std::set<ReplicaId> in_flight;
  std::set<ReplicaId> asked;
  bool may_apply = false;
  std::string cause = "no store is known";

  void end(const ReplicaId& store, StoreReply reply) {
    in_flight.erase(store);
    changed.cancel();
    if (const auto* unavailable = std::get_if<UnavailableReply>(&reply)) {
      may_apply = may_apply || unavailable->may_apply;
      cause = unavailable->cause;
      is_final = is_final || unavailable->is_final;
      return;
    }
    if (answer) return;
    answer = std::move(reply);
    answered_by = store;
  }
};

void StoreClient::sendRequest(const ReplicaId& store, const std::string& encoded, Duration store_timeout,
                              const std::shared_ptr<CallState>& state) {
  const auto link = links_.find(store);
  if (link == links_.end()) return;
  state->asked.insert(store);
  state->in_flight.insert(store);
  const std::uint64_t number = ++last_number_;
  auto timeout = std::make_shared<connection::Timer>(context_);
  pending_[number] = Pending{store, [state, store, timeout](StoreReply reply) {
                               timeout->cancel();
                               state->end(store, std::move(reply));
                             }};
  timeout->expires_after(store_timeout);
  timeout->async_wait([this, number](boost::system::error_code error) {
    const auto found = error ? pending_.end() : pending_.find(number);
    if (found == pending_.end()) return;
    const ReplyHandler late = std::move(found->second.done);
    pending_.erase(found);
    late(UnavailableReply{true, "the store did not answer in time"});
  });
  link->second.link->send(encodeTagged(fleet::FleetMessage(fleet::StoreRequestFrame{number, encoded})));
}

std::optional<ReplicaId> StoreClient::nextStore(const CallState& state) const {
  for (const ReplicaId& store : storesByPreference()) {
    if (!state.asked.contains(store) && !state.in_flight.contains(store)) return store;
  }
  return std::nullopt;
}

Awaitable<StoreReply> StoreClient::call(const store::StoreRequest& request, StoreCallLimits limits) {
  const std::string encoded = encodeTagged(request);
  auto state = std::make_shared<CallState>(context_);
  const bool is_large = encoded.size() >= kLargeRequestBytes;
  Duration next_large_pause = kPauseOfLargeRequest;
  while (monotonicNow() < limits.deadline) {
    if (state->is_final && state->in_flight.empty()) break;
    const std::optional<ReplicaId> store = state->is_final ? std::nullopt : nextStore(*state);
    if (store) sendRequest(*store, encoded, std::min(limits.store_timeout, limits.deadline - monotonicNow()), state);
    const bool uncertain = state->may_apply || !state->in_flight.empty();
    if (!store && !uncertain && monotonicNow() + kPauseBetweenRounds >= limits.refuse_at) break;
    // Waits for an answer or the end of the hedging interval; if no store is left in this round, pauses and starts a
    // new round.
    const Duration pause = is_large && uncertain ? next_large_pause : kPauseBetweenRounds;
    state->changed.expires_after(store ? limits.hedge_delay : pause);
    if (!store) {
      state->asked.clear();
      next_large_pause = 2 * pause;
    }
    boost::system::error_code ignored;
    co_await state->changed.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
    if (!state->answer) continue;
    preferred_ = state->answered_by;
    co_return std::move(*state->answer);
  }
  co_return UnavailableReply{state->may_apply || !state->in_flight.empty(), state->cause, state->is_final};
}

}  // namespace hatchfork::exchange
