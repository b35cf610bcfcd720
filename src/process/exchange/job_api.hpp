#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "connection/http_server.hpp"
#include "process/exchange/store_client.hpp"
#include "version/dialect.hpp"
#include "version/route_table.hpp"

namespace hatchfork::exchange {

struct JobApiCounters {
  std::uint64_t submitted = 0;
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  /// Submissions whose outcome is unknown.
  std::uint64_t unclear = 0;
  /// Submissions refused because too many tokens wait on their route.
  std::uint64_t over_limit = 0;
  std::uint64_t reads = 0;
};

/// Handles the calls of job owners at a gateway. A submission is refused with 429 or 503 only if no store can have
/// stored the job. Not thread-safe.
class JobApi {
 public:
  /// Within this time each call is answered.
  static constexpr Duration kLongestCall = fromMillis(3000);

  JobApi(const Dialect& dialect, StoreClient& stores, std::uint64_t seed)
      : dialect_(dialect), stores_(stores), attempts_(seed) {}

  /// `tenant` of these calls is the caller's tenant, empty for anonymous callers. Jobs of other tenants are not found.
  /// `configuration_version`: that of the configuration with the route.
  connection::Awaitable<connection::HttpResponse> submit(const Route& route, std::uint64_t configuration_version,
                                                         const TenantId& tenant,
                                                         const connection::HttpRequest& request);
  connection::Awaitable<connection::HttpResponse> respond(const JobCall& call, const TenantId& tenant,
                                                          const connection::HttpRequest& request);
  const JobApiCounters& counters() const { return counters_; }

 private:
  connection::Awaitable<connection::HttpResponse> readResults(const ReadResultsCall& call, const TenantId& tenant,
                                                              std::uint32_t wait_ms);
  connection::Awaitable<connection::HttpResponse> readItem(const ReadItemCall& call, const TenantId& tenant);
  connection::Awaitable<connection::HttpResponse> endJob(const EndJobCall& call, const TenantId& tenant);

  const Dialect& dialect_;
  StoreClient& stores_;
  /// Generates the identifiers of submission attempts.
  std::mt19937_64 attempts_;
  JobApiCounters counters_;
};

}  // namespace hatchfork::exchange
