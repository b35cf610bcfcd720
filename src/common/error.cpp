#include "common/error.hpp"

#include <array>
#include <utility>

namespace hatchfork {
namespace {

struct KindName {
  ErrorKind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    KindName{ErrorKind::kInvalidArgument, "invalid_argument"},
    KindName{ErrorKind::kUnauthenticated, "unauthenticated"},
    KindName{ErrorKind::kPermissionDenied, "permission_denied"},
    KindName{ErrorKind::kNotFound, "not_found"},
    KindName{ErrorKind::kConflict, "conflict"},
    KindName{ErrorKind::kTooLarge, "too_large"},
    KindName{ErrorKind::kRateLimited, "rate_limited"},
    KindName{ErrorKind::kOverloaded, "overloaded"},
    KindName{ErrorKind::kDeadlineExceeded, "deadline_exceeded"},
    KindName{ErrorKind::kUnavailable, "unavailable"},
    KindName{ErrorKind::kNotLeader, "not_leader"},
    KindName{ErrorKind::kConfigurationStale, "configuration_stale"},
    KindName{ErrorKind::kOutcomeUnknown, "outcome_unknown"},
    KindName{ErrorKind::kCancelled, "cancelled"},
    KindName{ErrorKind::kUpstreamFailed, "upstream_failed"},
    KindName{ErrorKind::kPolicyDenied, "policy_denied"},
    KindName{ErrorKind::kPolicyFailed, "policy_failed"},
    KindName{ErrorKind::kStorageFailed, "storage_failed"},
    KindName{ErrorKind::kStorageCorrupt, "storage_corrupt"},
    KindName{ErrorKind::kProtocol, "protocol"},
    KindName{ErrorKind::kInternal, "internal"},
};

}  // namespace

std::string_view toString(ErrorKind kind) {
  for (const KindName& entry : kKindNames) {
    if (entry.kind == kind) return entry.name;
  }
  return "internal";
}

ErrorKind errorKindFromString(std::string_view name) {
  for (const KindName& entry : kKindNames) {
    if (entry.name == name) return entry.kind;
  }
  return ErrorKind::kInternal;
}

std::string_view toString(Executed executed) {
  return executed == Executed::kNo ? "no" : "unknown";
}

std::string describe(const Error& error) {
  std::string text = std::string(toString(error.kind)) + ": " + error.message;
  if (!error.remedy.empty()) text += "; " + error.remedy;
  return text;
}

}  // namespace hatchfork
