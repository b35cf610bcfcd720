#include "process/ctl/call_plan.hpp"

#include <algorithm>

#include "common/codec.hpp"

namespace hatchfork::ctl {

using connection::Endpoint;
using connection::HttpResponse;

namespace {

constexpr Duration kPauseAfterRound = fromMillis(200);
constexpr Duration kLongestPause = fromMillis(5000);

/// Failures of one server or one moment, which another try may not meet.
bool isWorthAnotherTry(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kNotLeader:
    case ErrorKind::kUnavailable:
    case ErrorKind::kConfigurationStale:
    case ErrorKind::kOverloaded:
    case ErrorKind::kRateLimited:
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kDeadlineExceeded:
    case ErrorKind::kUpstreamFailed:
      return true;
    default:
      return false;
  }
}

/// Refusals given before a resend is recognised: they do not tell what became of an earlier try.
bool comesBeforeRecognition(ErrorKind kind) {
  return kind == ErrorKind::kUnauthenticated || kind == ErrorKind::kPermissionDenied ||
         kind == ErrorKind::kPolicyDenied || kind == ErrorKind::kPolicyFailed;
}

std::string leaderAddressOf(const HttpResponse& response) {
  const Result<nlohmann::json> json = parseJsonText(response.body);
  if (!isOk(json) || !valueOf(json).is_object()) return "";
  const nlohmann::json error = valueOf(json).value("error", nlohmann::json::object());
  if (!error.is_object() || !error.contains("leader_address") || !error.at("leader_address").is_string()) return "";
  return error.at("leader_address").get<std::string>();
}

}  // namespace

CallPlan::CallPlan(std::vector<Endpoint> servers, bool mutates, Instant give_up)
    : servers_(std::move(servers)), mutates_(mutates), give_up_(give_up), server_(servers_.front()) {}

std::optional<Result<HttpResponse>> CallPlan::take(Instant now, Result<HttpResponse> end) {
  std::string leader;
  Error error;
  if (isOk(end)) {
    const HttpResponse& response = valueOf(end);
    if (response.status < 300) return end;
    error = connection::errorFromResponse(response.status, response.body);
    leader = leaderAddressOf(response);
  } else {
    error = errorOf(end);
  }
  const bool try_again = isWorthAnotherTry(error);
  const bool told_nothing = maybe_done_ && comesBeforeRecognition(error.kind);
  if (error.executed == Executed::kUnknown) maybe_done_ = true;
  if (!try_again) {
    // A definite answer to a resend also tells what became of the earlier tries.
    if (!told_nothing && error.executed == Executed::kNo) maybe_done_ = false;
    return finalError(std::move(error));
  }
  chooseNext(error, leader);
  if (now + pause_ >= give_up_) return finalError(std::move(error));
  return std::nullopt;
}

void CallPlan::chooseNext(const Error& error, const std::string& leader) {
  ++tries_;
  pause_ = Duration::zero();
  const std::optional<Endpoint> named = connection::parseEndpoint(leader);
  const bool every_server_asked = tries_ >= servers_.size();
  if (every_server_asked) {
    tries_ = 0;
    pause_ = std::clamp(error.retry_after.value_or(kPauseAfterRound), kPauseAfterRound, kLongestPause);
  }
  if (named && *named != server_) {
    server_ = *named;
    return;
  }
  position_ = (position_ + 1) % servers_.size();
  server_ = servers_[position_];
}

Error CallPlan::finalError(Error error) const {
  error.executed = mutates_ && maybe_done_ ? Executed::kUnknown : Executed::kNo;
  if (error.executed == Executed::kNo) return error;
  error.kind = ErrorKind::kOutcomeUnknown;
  error.message = "the outcome is not known; the last try ended with: " + error.message;
  error.remedy = "send it again with the same identifier: it is recognised and not carried out twice";
  return error;
}

}  // namespace hatchfork::ctl
