#include "connection/http_conversion.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hatchfork::connection {
namespace {

namespace http = boost::beast::http;

std::vector<HttpHeader> parseQuery(std::string_view query) {
  std::vector<HttpHeader> parameters;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view();
    parameters.push_back(HttpHeader{std::string(pair.substr(0, equals)), std::string(value)});
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return parameters;
}

}  // namespace

HttpRequest convertRequest(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string_view target(message.target().data(), message.target().size());
  const std::size_t question = std::min(target.find('?'), target.size());
  request.target = std::string(target);
  request.path = std::string(target.substr(0, question));
  if (question < target.size()) request.query = parseQuery(target.substr(question + 1));
  for (const auto& field : message) {
    request.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace hatchfork::connection
