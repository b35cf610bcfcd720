#include "process/ctl/job_client.hpp"

#include <fmt/format.h>

#include <charconv>

#include "common/codec.hpp"

namespace hatchfork::ctl {

using connection::HttpHeader;
using connection::HttpResponse;

namespace {

/// A gateway asks control for up to 10 s before it gives up.
constexpr Duration kJobCallTimeout = fromMillis(12000);

std::uint32_t numberHeader(const HttpResponse& response, std::string_view name) {
  const std::string_view text = response.header(name);
  std::uint32_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

Result<nlohmann::json> JobClient::post(std::string target, std::vector<HttpHeader> headers, std::string body) {
  ApiCall call;
  call.method = "POST";
  call.target = std::move(target);
  call.headers = std::move(headers);
  call.body = std::move(body);
  call.mutates = true;
  call.attempt_timeout = kJobCallTimeout;
  api_.renewPatience();
  return api_.callJson(call);
}

Result<nlohmann::json> JobClient::submit(const JobSubmission& submission, const PartHandler& on_part) {
  std::vector<HttpHeader> headers = {HttpHeader{"Idempotency-Key", submission.idempotency_key}};
  if (submission.unrepeatable) headers.push_back(HttpHeader{"X-Hatchfork-Unrepeatable", "true"});
  if (submission.deadline_ms) {
    headers.push_back(HttpHeader{"X-Hatchfork-Deadline-Ms", std::to_string(*submission.deadline_ms)});
  }
  const Result<nlohmann::json> opened =
      post(fmt::format("/v1/batches?model={}&sealed=false", submission.model), std::move(headers), "");
  if (!isOk(opened)) return opened;
  const std::string job = valueOf(opened).value("id", "");
  for (std::size_t part = 0; part < submission.parts.size(); ++part) {
    const std::string target = fmt::format("/v1/batches/{}/parts/{}", job, part);
    const Result<nlohmann::json> added = post(target, {}, submission.parts[part].lines);
    if (!isOk(added)) return added;
    on_part(part + 1);
  }
  return post(fmt::format("/v1/batches/{}/seal?parts={}", job, submission.parts.size()), {}, "");
}

Result<nlohmann::json> JobClient::status(const std::string& job) {
  ApiCall call;
  call.target = "/v1/batches/" + job;
  call.attempt_timeout = kJobCallTimeout;
  api_.renewPatience();
  return api_.callJson(call);
}

Result<nlohmann::json> JobClient::cancel(const std::string& job) {
  return post(fmt::format("/v1/batches/{}/cancel", job), {}, "");
}

Result<ResultPage> JobClient::results(const std::string& job, std::uint32_t from) {
  ApiCall call;
  call.target = fmt::format("/v1/batches/{}/results?from={}", job, from);
  call.attempt_timeout = kJobCallTimeout;
  api_.renewPatience();
  const Result<HttpResponse> answer = api_.call(call);
  if (!isOk(answer)) return errorOf(answer);
  const HttpResponse& response = valueOf(answer);
  return ResultPage{response.body, numberHeader(response, "X-Hatchfork-Next"),
                    numberHeader(response, "X-Hatchfork-Total")};
}

JobProgress progressOfJob(const nlohmann::json& job, WallMillis now) {
  const auto counts = structFromJson<batch::JobCounts>(job.value("request_counts", nlohmann::json::object()));
  if (!isOk(counts)) return JobProgress{};
  return progressOf(valueOf(counts), job.value("created_at_ms", now), now);
}

bool isFinished(const nlohmann::json& job) {
  return job.value("status", "") == "finished";
}

}  // namespace hatchfork::ctl
