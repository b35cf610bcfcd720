#include "connection/slow_readers.hpp"

#include <utility>

#include "common/log.hpp"

namespace hatchfork::connection {
namespace {

constexpr Duration kLookInterval = fromMillis(250);
constexpr Duration kRoomInterval = fromMillis(50);

std::string_view nameOf(PeerSide side) {
  return side == PeerSide::kCaller ? "caller" : "engine";
}

}  // namespace

SlowReaders::SlowReaders(asio::io_context& context, request::ByteBudgetLimits limits)
    : context_(context), timer_(context), budget_(limits) {}

void SlowReaders::start() {
  lookLater();
}

void SlowReaders::stop() {
  timer_.cancel();
}

void SlowReaders::lookLater() {
  timer_.expires_after(kLookInterval);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const std::shared_ptr<SlowReaders> self = weak.lock();
    if (error || !self) return;
    self->look();
    self->lookLater();
  });
}

void SlowReaders::look() {
  if (budget_.peers() == 0) return;
  for (const request::SlowPeer& slow : budget_.slowPeers(monotonicNow())) letGo(slow);
}

void SlowReaders::letGo(const request::SlowPeer& slow) {
  const auto found = peers_.find(slow.held);
  // Its connection is being closed already.
  if (found == peers_.end() || !found->second.let_go) return;
  const Peer& peer = found->second;
  logEvent(LogLevel::kWarning, "slow_reader_let_go",
           {{"side", nameOf(peer.side)},
            {"peer", peer.name},
            {"bytes", slow.bytes},
            {"silent_ms", toMillis(slow.silent_for)},
            {"held", budget_.bytes()},
            {"most", budget_.limits().most_bytes}});
  ++(peer.side == PeerSide::kCaller ? counters_.callers_let_go : counters_.engines_let_go);
  const std::function<void()> let_go = std::exchange(found->second.let_go, nullptr);
  let_go();
}

std::unique_ptr<HeldBytes> SlowReaders::hold(PeerSide side, std::string peer, std::size_t bytes,
                                             std::function<void()> let_go) {
  const request::BufferId id = budget_.hold(bytes);
  peers_.emplace(id, Peer{side, std::move(peer), std::move(let_go)});
  return std::make_unique<HeldBytes>(shared_from_this(), id);
}

std::unique_ptr<HeldBytes> SlowReaders::collect(std::string peer) {
  const request::BufferId id = budget_.beginCollecting();
  peers_.emplace(id, Peer{PeerSide::kCaller, std::move(peer), nullptr});
  return std::make_unique<HeldBytes>(shared_from_this(), id);
}

Awaitable<bool> SlowReaders::awaitRoom(const HeldBytes* held, Instant deadline) {
  const auto may_go_on = [&] { return held == nullptr ? budget_.hasRoom() : budget_.mayGrow(held->id_); };
  if (may_go_on()) co_return true;
  ++counters_.waits;
  while (!may_go_on()) {
    if (monotonicNow() >= deadline) co_return false;
    co_await sleepFor(kRoomInterval);
  }
  co_return true;
}

HeldBytes::~HeldBytes() {
  readers_->budget_.release(id_);
  readers_->peers_.erase(id_);
}

void HeldBytes::add(std::size_t bytes) {
  readers_->budget_.add(id_, bytes);
}

void HeldBytes::offer() {
  readers_->budget_.offer(monotonicNow(), id_);
}

void HeldBytes::noteTaken(std::size_t bytes) {
  readers_->budget_.noteTaken(monotonicNow(), id_, bytes);
}

}  // namespace hatchfork::connection
