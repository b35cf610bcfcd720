#include "connection/stop_signal.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <initializer_list>

namespace hatchfork::connection {
namespace {

sigset_t signalSet(std::initializer_list<int> numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : numbers) sigaddset(&signals, number);
  return signals;
}

/// Waits for one of the signals and takes it.
Awaitable<void> awaitSignal(sigset_t signals) {
  const int file = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  asio::posix::stream_descriptor descriptor(co_await asio::this_coro::executor, file);
  boost::system::error_code error;
  co_await descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                 asio::redirect_error(asio::use_awaitable, error));
  signalfd_siginfo taken{};
  [[maybe_unused]] const ssize_t bytes = ::read(file, &taken, sizeof(taken));
}

}  // namespace

void holdStopSignals() {
  const sigset_t signals = signalSet({SIGTERM, SIGINT, SIGHUP});
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

Awaitable<void> awaitStopSignal() {
  const sigset_t signals = signalSet({SIGTERM, SIGINT});
  co_await awaitSignal(signals);
}

Awaitable<void> awaitReloadSignal() {
  const sigset_t signals = signalSet({SIGHUP});
  co_await awaitSignal(signals);
}

}  // namespace hatchfork::connection
