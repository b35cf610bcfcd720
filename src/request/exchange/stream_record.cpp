#include "request/exchange/stream_record.hpp"

#include <string>

#include "common/sha256.hpp"

namespace hatchfork::request {
namespace {

constexpr std::size_t kHexDigits = 32;

}  // namespace

StreamKey streamKeyOf(const RequestFingerprint& content, std::string_view first_request) {
  std::string bytes = content.value;
  bytes += ':';
  bytes += first_request;
  return StreamKey(sha256Hex(bytes).substr(0, kHexDigits));
}

}  // namespace hatchfork::request
