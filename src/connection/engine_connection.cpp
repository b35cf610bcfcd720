#include "connection/engine_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace hatchfork::connection {
namespace {

/// A connection that the engine closes after some idle seconds is not used in the last of them.
constexpr Duration kIdleMargin = fromMillis(700);

}  // namespace

bool isUsable(EngineConnection& connection, Instant now) {
  if (now > connection.idle_since + connection.idle_time) return false;
  char byte = 0;
  const ssize_t received = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Duration idleTimeOf(std::string_view keep_alive) {
  const std::size_t at = keep_alive.find("timeout=");
  if (at == std::string_view::npos) return kDefaultIdleTime;
  const std::string_view digits = keep_alive.substr(at + 8);
  int seconds = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc() || end == digits.data()) return kDefaultIdleTime;
  return std::max(Duration::zero(), Duration(std::chrono::seconds(seconds)) - kIdleMargin);
}

std::string encodeRequest(const EngineRequest& request) {
  std::string bytes;
  bytes.reserve(512 + request.body.size());
  bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  for (const HttpHeader& header : request.headers) {
    bytes.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  bytes.append("\r\n").append(request.body);
  return bytes;
}

}  // namespace hatchfork::connection
