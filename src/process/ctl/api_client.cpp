#include "process/ctl/api_client.hpp"

#include <algorithm>
#include <optional>
#include <thread>

#include "common/codec.hpp"
#include "process/ctl/call_plan.hpp"

namespace hatchfork::ctl {

using connection::Endpoint;
using connection::HttpClientRequest;
using connection::HttpHeader;
using connection::HttpResponse;
using connection::monotonicNow;

ApiClient::ApiClient(const CommonOptions& options)
    : options_(options), context_(1), client_(context_), give_up_(monotonicNow() + options.patience) {}

void ApiClient::renewPatience() {
  give_up_ = monotonicNow() + options_.patience;
}

void ApiClient::sleep(Duration duration) {
  std::this_thread::sleep_for(duration);
}

HttpClientRequest ApiClient::makeRequest(const ApiCall& call) const {
  HttpClientRequest request;
  request.method = call.method;
  request.target = call.target;
  request.headers = call.headers;
  if (!options_.key.empty()) request.headers.push_back(HttpHeader{"Authorization", "Bearer " + options_.key});
  request.body = call.body;
  return request;
}

Result<HttpResponse> ApiClient::fetch(const Endpoint& server, HttpClientRequest request, Duration timeout) {
  std::optional<Result<HttpResponse>> end;
  connection::asio::co_spawn(context_, client_.fetch(server, std::move(request), timeout),
                             [&end](std::exception_ptr, Result<HttpResponse> result) { end = std::move(result); });
  context_.restart();
  context_.run();
  return std::move(*end);
}

Result<HttpResponse> ApiClient::call(const ApiCall& call) {
  const bool bounded = call.longest < give_up_ - monotonicNow();
  const Instant give_up = bounded ? monotonicNow() + call.longest : give_up_;
  CallPlan plan(options_.servers, call.mutates, give_up);
  while (true) {
    sleep(plan.pause());
    // Even the last try gets time for an answer.
    const Duration left = std::chrono::duration_cast<Duration>(give_up - monotonicNow());
    const Duration timeout = std::max(std::min(call.attempt_timeout, left), fromMillis(200));
    Result<HttpResponse> answer = fetch(plan.server(), makeRequest(call), timeout);
    std::optional<Result<HttpResponse>> end = plan.take(monotonicNow(), std::move(answer));
    if (end) return std::move(*end);
  }
}

Result<nlohmann::json> ApiClient::callJson(const ApiCall& api_call) {
  const Result<HttpResponse> response = call(api_call);
  if (!isOk(response)) return errorOf(response);
  Result<nlohmann::json> json = parseJsonText(valueOf(response).body);
  if (isOk(json)) return json;
  return Error{ErrorKind::kProtocol,
               "the server's answer is no JSON",
               "check that --server names the right sort of server",
               api_call.mutates ? Executed::kUnknown : Executed::kNo,
               {}};
}

std::vector<ServerAnswer> ApiClient::getFromEach(const std::string& target, Duration timeout) {
  std::vector<ServerAnswer> answers;
  for (const Endpoint& server : options_.servers) answers.push_back(ServerAnswer{server, nlohmann::json()});
  for (ServerAnswer& slot : answers) {
    ApiCall call;
    call.target = target;
    auto done = [&slot](std::exception_ptr, Result<HttpResponse> result) {
      if (!isOk(result)) {
        slot.answer = errorOf(result);
        return;
      }
      const HttpResponse& response = valueOf(result);
      if (response.status >= 300) {
        slot.answer = connection::errorFromResponse(response.status, response.body);
        return;
      }
      slot.answer = parseJsonText(response.body);
    };
    connection::asio::co_spawn(context_, client_.fetch(slot.server, makeRequest(call), timeout), done);
  }
  context_.restart();
  context_.run();
  return answers;
}

}  // namespace hatchfork::ctl
