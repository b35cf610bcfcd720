#pragma once

// Boost.Asio and Beast names used by the connection code. Only files of the driver library include this.
#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "common/time.hpp"

namespace hatchfork::connection {

namespace asio = boost::asio;
using asio::ip::tcp;
template <class T>
using Awaitable = asio::awaitable<T>;

/// The operating system's monotonic clock, for drivers.
inline Instant monotonicNow() {
  return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Wall clock in milliseconds since the epoch, for records only.
inline WallMillis wallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Lets the kernel end a connection whose peer has gone silent: no byte acknowledged and no keep-alive probe answered
/// for about `timeout`.
void detectSilentPeer(tcp::socket& socket, Duration timeout);

/// Waits on the calling coroutine's executor.
Awaitable<void> sleepFor(Duration duration);

}  // namespace hatchfork::connection
