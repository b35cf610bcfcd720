#include "connection/request_write.hpp"

namespace hatchfork::connection {

void RequestWrite::noteEnd(const boost::system::error_code& error) {
  has_ended_ = true;
  error_ = error;
  ended_.cancel();
}

Awaitable<boost::system::error_code> RequestWrite::awaitEnd() {
  boost::system::error_code ignored;
  while (!has_ended_) co_await ended_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return error_;
}

}  // namespace hatchfork::connection
