#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "connection/http_server.hpp"
#include "process/batch/batch_types.hpp"
#include "process/gateway/service_traffic.hpp"
#include "process/subscription/control_client.hpp"

namespace hatchfork::gateway {

/// The callers' batch interface:
///   POST /v1/batches?model=M[&sealed=false]   JSON Lines of items; Idempotency-Key names the job
///   POST /v1/batches/{id}/parts/{n}           one more numbered part of an unsealed job
///   POST /v1/batches/{id}/seal?parts=N        accepts the job as a whole
///   GET  /v1/batches/{id}                     status
///   GET  /v1/batches/{id}/results[?from=N]    JSON Lines; X-Hatchfork-Next tells where to go on
///   POST /v1/batches/{id}/cancel
/// Every call may be repeated at any gateway. Traffic thread only.
class BatchApi {
 public:
  /// Told of each group in which a job has just been sealed through this gateway.
  using SealedHandler = std::function<void(GroupId group)>;

  BatchApi(TrafficState& traffic, connection::ControlClient& control, std::uint32_t batch_groups,
           SealedHandler on_sealed);

  connection::Awaitable<connection::HttpResponse> respond(const connection::HttpRequest& request);

 private:
  connection::Awaitable<connection::HttpResponse> create(const connection::HttpRequest& request, const Tenant& tenant);
  /// Asks the policy of the service about a new job. A job that is known by its key was admitted before: its resend
  /// is not asked about again.
  connection::Awaitable<Status> admitJob(const batch::JobSpec& spec, PolicyUrgency urgency,
                                         const std::vector<batch::Item>& items);
  Status askPolicy(const batch::JobSpec& spec, PolicyUrgency urgency, const std::vector<batch::Item>& items);
  connection::Awaitable<connection::HttpResponse> addPart(const connection::HttpRequest& request, const Tenant& tenant,
                                                          JobId job, std::uint32_t part);
  connection::Awaitable<connection::HttpResponse> seal(JobId job, const Tenant& tenant, std::uint32_t parts);
  connection::Awaitable<connection::HttpResponse> results(JobId job, const Tenant& tenant, ItemIndex from);
  connection::Awaitable<connection::HttpResponse> callForJob(GroupId group, control::ControlRequest request);
  /// Sends the items as parts numbered from `first_part`; returns the number of parts.
  connection::Awaitable<Result<std::uint32_t>> sendParts(GroupId group, JobId job, std::vector<batch::Item> items);

  TrafficState& traffic_;
  connection::ControlClient& control_;
  std::uint32_t batch_groups_;
  SealedHandler on_sealed_;
};

/// Parses JSON Lines of {"custom_id", "body"}; the error names the line at fault. Empty lines are passed over.
Result<std::vector<batch::Item>> parseItemLines(std::string_view text);

}  // namespace hatchfork::gateway
