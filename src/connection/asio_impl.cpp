// The one place where the separately compiled parts of Asio and Beast are built.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "connection/asio.hpp"

namespace hatchfork::connection {
namespace {

constexpr Duration kFirstDeliveryPoll = fromMillis(2);
constexpr Duration kMaxDeliveryPoll = fromMillis(50);

/// True if the peer has not yet acknowledged the end of the sending side. Where the kernel does not tell, false.
bool hasUnacknowledgedEnd(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
  return info.tcpi_state == TCP_FIN_WAIT1 || info.tcpi_state == TCP_CLOSING || info.tcpi_state == TCP_LAST_ACK;
}

}  // namespace

void detectSilentPeer(tcp::socket& socket, Duration timeout) {
  const int descriptor = socket.native_handle();
  const int on = 1;
  const int probe_seconds = 1;
  const int probes = 2;
  const auto milliseconds = static_cast<unsigned>(toMillis(timeout));
  ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds, sizeof(probe_seconds));
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof(probe_seconds));
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

Awaitable<void> awaitDelivery(tcp::socket& socket, Duration timeout) {
  const Instant give_up = monotonicNow() + timeout;
  Duration poll = kFirstDeliveryPoll;
  while (hasUnacknowledgedEnd(socket) && monotonicNow() < give_up) {
    co_await sleepFor(poll);
    poll = std::min(poll * 2, kMaxDeliveryPoll);
  }
}

Awaitable<void> sleepFor(Duration duration) {
  Timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

}  // namespace hatchfork::connection
