#pragma once

#include <boost/beast/http.hpp>

#include "connection/http_types.hpp"

namespace hatchfork::connection {

/// Converts a request that was received whole.
HttpRequest convertRequest(boost::beast::http::request<boost::beast::http::string_body>&& message);

}  // namespace hatchfork::connection
