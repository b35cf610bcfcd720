#include "process/exchange/store_client.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "connection/awaited.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;
using store::StoreReply;
using store::UnavailableReply;

namespace {

/// A store that has answered a load report is the one to tell for this long.
constexpr Duration kHubKnownFor = fromMillis(600);
constexpr Duration kPauseBetweenRounds = fromMillis(40);

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
  if (connected) return;
  // Requests under way there get no answer any more.
  std::vector<ReplyHandler> lost;
  std::erase_if(pending_, [&](auto& entry) {
    if (entry.second.store != store) return false;
    lost.push_back(std::move(entry.second.done));
    return true;
  });
  for (const ReplyHandler& done : lost) done(UnavailableReply{true, "the connection to the store broke"});
}

void StoreClient::reportLoad(Instant now, const std::string& node, std::vector<request::EngineShare> shares) {
  const std::string bytes = encodeTagged(fleet::FleetMessage(fleet::LoadFrame{node, std::move(shares)}));
  const bool hub_known = load_heard_at_ != Instant::min() && now < load_heard_at_ + kHubKnownFor;
  for (const auto& [store, entry] : links_) {
    if (!hub_known || store == load_hub_) entry.link->send(bytes);
  }
}

void StoreClient::onFrame(const ReplicaId& store, const std::string& body) {
  Result<fleet::FleetMessage> message = decodeTagged<fleet::FleetMessage>(body);
  if (!isOk(message)) return;
  if (const auto* load = std::get_if<fleet::LoadFrame>(&valueOf(message))) {
    load_hub_ = store;
    load_heard_at_ = monotonicNow();
    if (on_load_) on_load_(load->shares);
    return;
  }
  const auto* frame = std::get_if<fleet::StoreReplyFrame>(&valueOf(message));
  if (frame == nullptr) return;
  const auto found = pending_.find(frame->number);
  if (found == pending_.end()) return;
  const ReplyHandler done = std::move(found->second.done);
  pending_.erase(found);
  Result<StoreReply> reply = decodeTagged<StoreReply>(frame->reply);
  done(isOk(reply) ? std::move(valueOf(reply)) : StoreReply(UnavailableReply{true, "malformed reply"}));
}

std::vector<ReplicaId> StoreClient::order() const {
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

Awaitable<StoreReply> StoreClient::call(const store::StoreRequest& request, Instant deadline, Duration patience,
                                        Duration refuse_after) {
  const Instant refuse_at = monotonicNow() + refuse_after;
  const std::string encoded = encodeTagged(request);
  bool may_apply = false;
  std::string cause = "no store is known";
  while (monotonicNow() < deadline) {
    const std::vector<ReplicaId> stores = order();
    for (const ReplicaId& store : stores) {
      const Instant now = monotonicNow();
      if (now >= deadline) break;
      connection::Awaited<StoreReply> answer(co_await connection::asio::this_coro::executor);
      const std::uint64_t number = ++last_number_;
      const ReplyHandler done = answer.handler();
      pending_[number] = Pending{store, done};
      connection::asio::steady_timer timeout(context_);
      timeout.expires_after(std::min(patience, deadline - now));
      timeout.async_wait([this, number](boost::system::error_code error) {
        const auto found = pending_.find(number);
        if (error || found == pending_.end()) return;
        const ReplyHandler late = std::move(found->second.done);
        pending_.erase(found);
        late(UnavailableReply{true, "the store did not answer in time"});
      });
      const auto link = links_.find(store);
      if (link != links_.end())
        link->second.link->send(encodeTagged(fleet::FleetMessage(fleet::StoreRequestFrame{number, encoded})));
      StoreReply reply = co_await answer.wait();
      timeout.cancel();
      const auto* unavailable = std::get_if<UnavailableReply>(&reply);
      if (unavailable == nullptr) {
        preferred_ = store;
        co_return reply;
      }
      may_apply = may_apply || unavailable->may_apply;
      cause = unavailable->cause;
    }
    if (!may_apply && monotonicNow() + kPauseBetweenRounds >= refuse_at) break;
    co_await connection::sleepFor(kPauseBetweenRounds);
  }
  co_return UnavailableReply{may_apply, cause};
}

}  // namespace hatchfork::exchange
