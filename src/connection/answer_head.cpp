#include "connection/answer_head.hpp"

#include <string_view>

namespace hatchfork::connection {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned kSwitchingProtocols = 101;

/// True for the numbers that can be the status of an answer to a request of ours, none of which asks for another
/// protocol.
bool isStatus(unsigned number) {
  return number >= 100 && number <= 599 && number != kSwitchingProtocols;
}

/// True if a line of a head begins with a blank: it may belong to the field before it or be a field of its own, so
/// nobody can tell what the head says.
bool hasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

}  // namespace

boost::system::error_code parseHead(AnswerParser& parser, beast::flat_buffer& buffer) {
  if (buffer.size() == 0) return {};
  const auto bytes = buffer.data();
  beast::error_code error;
  // The parser takes a head at once, when all of it is there.
  const std::size_t used = parser.put(bytes, error);
  const bool is_folded = hasFoldedLine(std::string_view(static_cast<const char*>(bytes.data()), used));
  buffer.consume(used);
  if (error && error != http::error::need_more) return error;
  if (!parser.is_header_done()) return {};
  if (is_folded) return http::error::bad_field;
  if (!isStatus(parser.get().result_int())) return http::error::bad_status;
  return {};
}

bool isInterimStatus(unsigned status) {
  return status / 100 == 1;
}

}  // namespace hatchfork::connection
