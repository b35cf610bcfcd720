#include "process/exchange/header_rules.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace hatchfork::exchange {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {"connection", "keep-alive",     "proxy-connection",
                                                              "te",         "trailer",        "transfer-encoding",
                                                              "upgrade",    "content-length", "expect"};

/// True if the value of a `Connection` header lists the given header name.
bool isListed(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    std::string_view entry = list.substr(0, end);
    while (entry.starts_with(' ')) entry.remove_prefix(1);
    while (entry.ends_with(' ')) entry.remove_suffix(1);
    if (isSameHeader(entry, name)) return true;
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return false;
}

}  // namespace

std::vector<connection::HttpHeader> endToEndHeaders(const std::vector<connection::HttpHeader>& headers) {
  const std::string_view listed = connection::findHeader(headers, "Connection");
  std::vector<connection::HttpHeader> passed;
  for (const connection::HttpHeader& header : headers) {
    const bool is_hop_by_hop = std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                                           [&](std::string_view name) { return isSameHeader(name, header.name); });
    if (!is_hop_by_hop && !isListed(listed, header.name)) passed.push_back(header);
  }
  return passed;
}

std::optional<Duration> readMilliseconds(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end == text.data()) return std::nullopt;
  return Duration(static_cast<std::int64_t>(value * 1000));
}

void setRetryAfter(connection::HttpResponse& response, Duration after) {
  std::erase_if(response.headers,
                [](const connection::HttpHeader& header) { return isSameHeader(header.name, "Retry-After"); });
  response.headers.push_back({"Retry-After", fmt::format("{:.3f}", toSeconds(after))});
}

}  // namespace hatchfork::exchange
