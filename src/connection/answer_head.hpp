#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hatchfork::connection {

using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Parses a head from what was read of an answer, and removes it from `buffer`, once all of it is there, which
/// `parser.is_header_done()` tells. Returns the error of a head that is none. Stricter than the parser, which takes any
/// three digits for a status and joins lines that begin with a blank.
boost::system::error_code parseHead(AnswerParser& parser, boost::beast::flat_buffer& buffer);

/// True for the status of an interim answer, which another answer follows.
bool isInterimStatus(unsigned status);

}  // namespace hatchfork::connection
