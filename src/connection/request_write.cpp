#include "connection/request_write.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

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

bool isBroken(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
  return info.tcpi_state == TCP_CLOSE;
}

bool hasUnacknowledgedBytes(tcp::socket& socket) {
  if (isBroken(socket)) return false;
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

}  // namespace hatchfork::connection
