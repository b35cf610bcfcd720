#include "bench/load/gateway_caller.hpp"

#include <algorithm>

namespace hatchfork::load {

using connection::Awaitable;
using connection::HttpClientRequest;
using connection::HttpExchange;
using connection::HttpHeader;
using connection::HttpResponse;
using connection::monotonicNow;

namespace {

constexpr Duration kAttemptTimeout = std::chrono::seconds(30);
constexpr Duration kShortestPause = fromMillis(50);
constexpr Duration kLongestPause = fromMillis(2000);

}  // namespace

bool isWorthRetry(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kUnavailable:
    case ErrorKind::kNotLeader:
    case ErrorKind::kConfigurationStale:
    case ErrorKind::kOverloaded:
    case ErrorKind::kRateLimited:
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kDeadlineExceeded:
    case ErrorKind::kOutcomeUnknown:
      return true;
    default:
      return false;
  }
}

GatewayCaller::GatewayCaller(connection::HttpClient& client, std::vector<connection::Endpoint> gateways,
                             std::string key, Duration patience)
    : client_(client), gateways_(std::move(gateways)), key_(std::move(key)), patience_(patience) {}

void GatewayCaller::authorize(HttpClientRequest& request) const {
  request.headers.push_back(HttpHeader{"Authorization", "Bearer " + key_});
}

const connection::Endpoint& GatewayCaller::nextGateway() {
  next_ = (next_ + 1) % gateways_.size();
  return gateways_[next_];
}

Awaitable<void> GatewayCaller::pauseAfter(const Error& error) {
  ++retries_;
  const Duration asked = error.retry_after.value_or(kShortestPause);
  co_await connection::sleepFor(std::clamp(asked, kShortestPause, kLongestPause));
}

Awaitable<Result<HttpResponse>> GatewayCaller::fetch(HttpClientRequest request) {
  authorize(request);
  const Instant deadline = monotonicNow() + patience_;
  while (true) {
    HttpClientRequest attempt = request;
    Result<HttpResponse> response = co_await client_.fetch(nextGateway(), std::move(attempt), kAttemptTimeout);
    const bool answered = isOk(response);
    if (answered && valueOf(response).status < 400) co_return response;
    const Error error =
        answered ? connection::errorFromResponse(valueOf(response).status, valueOf(response).body) : errorOf(response);
    if (!isWorthRetry(error) || monotonicNow() >= deadline) co_return error;
    co_await pauseAfter(error);
  }
}

Awaitable<Result<std::unique_ptr<HttpExchange>>> GatewayCaller::open(HttpClientRequest request) {
  authorize(request);
  Result<std::unique_ptr<HttpExchange>> opened =
      co_await client_.open(nextGateway(), std::move(request), kAttemptTimeout);
  if (!isOk(opened)) co_return errorOf(opened);
  HttpExchange& exchange = *valueOf(opened);
  if (exchange.status() < 400) co_return std::move(valueOf(opened));
  std::string body;
  while (true) {
    const Result<std::string> piece = co_await exchange.readSome(kAttemptTimeout);
    if (!isOk(piece)) co_return errorOf(piece);
    if (valueOf(piece).empty()) break;
    body += valueOf(piece);
  }
  co_return connection::errorFromResponse(exchange.status(), body);
}

}  // namespace hatchfork::load
