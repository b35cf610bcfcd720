#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/time.hpp"

namespace hatchfork {

/// The sorts of failure that a caller, an operator or another process can tell apart.
enum class ErrorKind {
  kInvalidArgument,
  kUnauthenticated,
  kPermissionDenied,
  kNotFound,
  kConflict,
  kTooLarge,
  kRateLimited,
  kOverloaded,
  kDeadlineExceeded,
  kUnavailable,
  kNotLeader,
  kConfigurationStale,
  kOutcomeUnknown,
  kCancelled,
  kUpstreamFailed,
  /// A policy program refused the request.
  kPolicyDenied,
  /// A policy program faulted, which denies the request.
  kPolicyFailed,
  kStorageFailed,
  kStorageCorrupt,
  kProtocol,
  kInternal,
};

/// Whether the refused or failed work may have been run. `kNo` is a promise: it was not run and never will be.
enum class Executed { kNo, kUnknown };

/// A typed failure. `message` says what happened, `remedy` what the reader can do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;
  Executed executed = Executed::kNo;
  /// How long to wait before a retry has a chance; absent where a retry is of no use.
  std::optional<Duration> retry_after;
};

/// Stable lower-case name of a kind, used on the wire, in logs and in metrics ("not_found").
std::string_view toString(ErrorKind kind);
/// Inverse of `toString`; unknown names give `kInternal`.
ErrorKind errorKindFromString(std::string_view name);
/// "no" or "unknown".
std::string_view toString(Executed executed);
/// One line for a terminal: message and remedy.
std::string describe(const Error& error);

}  // namespace hatchfork
