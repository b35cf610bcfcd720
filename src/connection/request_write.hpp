#pragma once

#include "connection/asio.hpp"

namespace hatchfork::connection {

/// The write of a request that goes on beside the wait for its answer. Shared with its handler; belongs to one thread.
class RequestWrite {
 public:
  explicit RequestWrite(asio::io_context& context) : ended_(context, Timer::time_point::max()) {}

  /// Called once, by the handler of the write.
  void noteEnd(const boost::system::error_code& error);
  /// True if the write has ended without an error.
  bool isDone() const { return has_ended_ && !error_; }
  /// Waits until the write has ended, and returns its error. To close the socket, or to cancel its operations, ends it.
  Awaitable<boost::system::error_code> awaitEnd();

 private:
  bool has_ended_ = false;
  boost::system::error_code error_;
  /// Cancelled when the write has ended.
  Timer ended_;
};

/// True while the peer's machine has not acknowledged all bytes that were written, and may still do so. False where the
/// kernel does not tell.
bool hasUnacknowledgedBytes(tcp::socket& socket);
/// True if the connection broke, which a read may show as a proper end. False where the kernel does not tell.
bool isBroken(tcp::socket& socket);

}  // namespace hatchfork::connection
