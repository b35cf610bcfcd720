#pragma once

#include <string_view>

#include "common/ids.hpp"
#include "request/crash/request_fingerprint.hpp"

namespace hatchfork::request {

/// Identifies a stream over all requests of its caller: a hash of the content and of the identifier of the request
/// whose answer brought the first event. Another tenant or another content never has the same key.
using StreamKey = StringId<struct StreamKeyTag>;

StreamKey streamKeyOf(const RequestFingerprint& content, std::string_view first_request);

/// Which build of a service's engines began a stream.
struct StreamRecord {
  StreamKey stream;
  ServiceId service;
  EngineBuild build;
};

}  // namespace hatchfork::request
