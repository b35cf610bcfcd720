#include "request/crash/crash_subjects.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Names of contents are hexadecimal, so no content has the name of a part.
constexpr std::string_view kPartPrefix = "part-";

}  // namespace

bool CrashSubjects::contains(const RequestFingerprint& subject) const {
  return subject == content || std::find(parts.begin(), parts.end(), subject) != parts.end();
}

RequestFingerprint fingerprintOfPart(const ServiceId& service, std::uint64_t part) {
  const std::uint64_t seed = XXH3_64bits(service.value.data(), service.value.size());
  return RequestFingerprint(fmt::format("{}{:016x}-{:x}", kPartPrefix, seed, part));
}

bool isPromptPart(const RequestFingerprint& subject) {
  return subject.value.starts_with(kPartPrefix);
}

}  // namespace hatchfork::request
