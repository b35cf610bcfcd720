#pragma once

// Boost.Asio and Beast names used by the connection code. Only files of the driver library include this.
#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "common/clock.hpp"
#include "common/time.hpp"

namespace hatchfork::connection {

namespace asio = boost::asio;
using asio::ip::tcp;
template <class T>
using Awaitable = asio::awaitable<T>;

/// The clock of all waits, leases and deadlines of the drivers.
inline Instant monotonicNow() {
  return bootClockNow();
}

/// The same clock for timers.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = Instant;
  static constexpr bool is_steady = true;
  static time_point now() { return bootClockNow(); }
};

/// A timer whose time goes on while the machine is suspended: it fires once the process has gone on and any other event
/// wakes it, at the next of its short timers at the latest.
using Timer = asio::basic_waitable_timer<BootClock>;

/// Wall clock in milliseconds since the epoch, for records only.
inline WallMillis wallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Lets the kernel end a connection whose peer has gone silent: no byte acknowledged and no keep-alive probe answered
/// for about `timeout`.
void detectSilentPeer(tcp::socket& socket, Duration timeout);

/// Waits until the peer's machine has acknowledged all bytes of a socket whose sending side was shut down, and for no
/// longer than `timeout`. A socket that is closed while the peer's bytes are unread resets the connection, which drops
/// what was not acknowledged. Must be called on the socket's executor.
Awaitable<void> awaitDelivery(tcp::socket& socket, Duration timeout);

/// Waits on the calling coroutine's executor.
Awaitable<void> sleepFor(Duration duration);

}  // namespace hatchfork::connection
