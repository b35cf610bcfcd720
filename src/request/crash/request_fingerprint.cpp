#include "request/crash/request_fingerprint.hpp"

#include "common/sha256.hpp"

namespace hatchfork::request {
namespace {

constexpr std::size_t kHexDigits = 32;

/// Appends the length and the part, so that different lists of parts never give the same bytes.
void appendPart(std::string& bytes, std::string_view part) {
  bytes += std::to_string(part.size());
  bytes += ':';
  bytes += part;
}

}  // namespace

RequestFingerprint fingerprintOf(const RequestContent& content) {
  std::string bytes;
  bytes.reserve(content.body.size() + content.target.size() + 128);
  for (const std::string_view part : {content.caller, content.method, content.host, content.target, content.body}) {
    appendPart(bytes, part);
  }
  return RequestFingerprint(sha256Hex(bytes).substr(0, kHexDigits));
}

}  // namespace hatchfork::request
