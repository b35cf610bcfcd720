#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "process/batch/batch_types.hpp"
#include "process/ctl/api_client.hpp"
#include "process/ctl/job_parts.hpp"
#include "process/ctl/job_progress.hpp"

namespace hatchfork::ctl {

/// What names and describes a job to submit.
struct JobSubmission {
  std::string model;
  std::string idempotency_key;
  bool unrepeatable = false;
  std::optional<std::uint64_t> deadline_ms;
  std::vector<JobPart> parts;
};

/// A page of results, as JSON Lines.
struct ResultPage {
  std::string lines;
  std::uint32_t next = 0;
  std::uint32_t total = 0;
};

/// The callers' batch interface of the gateways. Every call may be repeated.
class JobClient {
 public:
  using PartHandler = std::function<void(std::size_t parts_sent)>;

  explicit JobClient(ApiClient& api) : api_(api) {}

  /// Opens the job, sends its parts, seals it. Gives the job as the gateway shows it. `on_part` hears of each part.
  Result<nlohmann::json> submit(const JobSubmission& submission, const PartHandler& on_part);
  Result<nlohmann::json> status(const std::string& job);
  Result<nlohmann::json> cancel(const std::string& job);
  Result<ResultPage> results(const std::string& job, std::uint32_t from);

 private:
  Result<nlohmann::json> post(std::string target, std::vector<connection::HttpHeader> headers, std::string body);

  ApiClient& api_;
};

/// The progress of a job as the gateway shows it.
JobProgress progressOfJob(const nlohmann::json& job, WallMillis now);
bool isFinished(const nlohmann::json& job);

}  // namespace hatchfork::ctl
