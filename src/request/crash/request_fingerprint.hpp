#pragma once

#include <string>
#include <string_view>

#include "common/ids.hpp"

namespace hatchfork::request {

/// Identifies the content of a request: equal for all attempts of one caller with the same content, regardless of
/// request identifier and gateway. The first 128 bits of a SHA-256 hash as hexadecimal text; cryptographic, so that
/// nobody can craft a request that is taken for another one. Also names the other subjects of a request that crashes
/// are attributed to, see `CrashSubjects`.
using RequestFingerprint = StringId<struct RequestFingerprintTag>;

/// Parts of a request that make up its fingerprint. Views of memory that the caller owns.
struct RequestContent {
  /// The tenant, or the source address of the request if no tenants are configured.
  std::string_view caller;
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

/// Returns the fingerprint of a request. Cost: a hash of all bytes, about 2 microseconds per kilobyte.
RequestFingerprint fingerprintOf(const RequestContent& content);

}  // namespace hatchfork::request
