#pragma once

#include <boost/beast/core.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "common/time.hpp"
#include "connection/asio.hpp"
#include "connection/engine_exchange.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::connection {

/// Time for which a connection is kept idle if the engine names none.
inline constexpr Duration kDefaultIdleTime = std::chrono::seconds(6);

/// A connection to an engine, with the bytes read ahead of the parser. Shared with the write that may be in flight.
struct EngineConnection {
  explicit EngineConnection(asio::io_context& context) : socket(context) {}
  tcp::socket socket;
  /// Where it leads: an engine may start again at another address.
  Endpoint endpoint;
  boost::beast::flat_buffer buffer;
  std::uint32_t served = 0;
  Instant idle_since{};
  Duration idle_time = kDefaultIdleTime;
};
using EngineConnectionPtr = std::shared_ptr<EngineConnection>;

/// False if the connection was idle for too long, or if the engine has closed it or sent unasked bytes meanwhile.
bool isUsable(EngineConnection& connection, Instant now);
/// Returns the idle time that a `Keep-Alive: timeout=N` header gives, less a margin.
Duration idleTimeOf(std::string_view keep_alive);
/// Returns the bytes of the request.
std::string encodeRequest(const EngineRequest& request);

}  // namespace hatchfork::connection
