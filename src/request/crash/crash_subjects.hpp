#pragma once

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "request/crash/request_fingerprint.hpp"

namespace hatchfork::request {

/// Subjects of one request that a crash of its engine may be attributed to.
struct CrashSubjects {
  CrashSubjects() = default;
  // Implicit, since a request without a prompt has no other subject.
  CrashSubjects(RequestFingerprint request_content) : content(std::move(request_content)) {}
  CrashSubjects(RequestFingerprint request_content, std::vector<RequestFingerprint> prompt_parts)
      : content(std::move(request_content)), parts(std::move(prompt_parts)) {}

  bool contains(const RequestFingerprint& subject) const;

  RequestFingerprint content;
  /// Parts of the prompt that other requests may share: all but the last, without repetitions.
  std::vector<RequestFingerprint> parts;
};

/// Returns the name of a prompt part at the engines of one service, which is the same for all callers. Callers choose
/// the identifiers of parts, so the name is no proof of the text.
RequestFingerprint fingerprintOfPart(const ServiceId& service, std::uint64_t part);
/// True for names made by `fingerprintOfPart`.
bool isPromptPart(const RequestFingerprint& subject);

}  // namespace hatchfork::request
