#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "connection/asio.hpp"

namespace hatchfork::connection {

/// Turns one callback into a value that a coroutine waits for. The handler may be called on any thread, before or
/// during the wait, and may outlive this object; it must be called exactly once for `wait` to return.
template <class T>
class Awaited {
 public:
  explicit Awaited(asio::any_io_executor executor)
      : state_(std::make_shared<State>(State{Timer(executor, Timer::time_point::max()), {}})) {}

  std::function<void(T)> handler() {
    return [state = state_](T value) {
      auto shared_value = std::make_shared<T>(std::move(value));
      asio::post(state->signal.get_executor(), [state, shared_value] {
        state->value = std::move(*shared_value);
        state->signal.cancel();
      });
    };
  }

  Awaitable<T> wait() {
    std::shared_ptr<State> state = state_;
    boost::system::error_code ignored;
    while (!state->value) co_await state->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return std::move(*state->value);
  }

 private:
  struct State {
    Timer signal;
    std::optional<T> value;
  };
  std::shared_ptr<State> state_;
};

}  // namespace hatchfork::connection
