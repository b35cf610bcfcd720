#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "version/tenant_table.hpp"

namespace hatchfork {

/// Kind of the requests on a route; determines whether they may be repeated.
enum class RouteKind {
  /// May run more than once.
  kSafe,
  /// Runs at most once for each request.
  kUnsafe,
  /// The response is a stream of events; unsafe unless the route is resumable.
  kStream,
  /// Takes batch jobs whose items run later.
  kBatch,
};
std::string_view toString(RouteKind kind);

/// One of the services that the traffic of a route is split between.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// Maps the requests of one host whose path begins with a prefix to services.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  /// Maximum total time of a request.
  Duration timeout{};
  /// Latency objective of the response (of a stream's first event, of a job's acceptance).
  Duration objective{};
  /// Latency objective between two events of a stream.
  Duration event_gap{};
  /// Maximum number of engines that one request may be sent to, or that one batch item may fail on.
  std::uint32_t most_attempts = 1;
  /// Zero is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> split;
  /// True if streams may be resumed on another engine.
  bool resumable = false;
  /// True if requests need no API key, even if the document has tenants.
  bool allows_anonymous = false;
  /// True if requests that share a prompt prefix should be routed to the same engines.
  bool prefix_affinity = false;
  /// Batch only: when the results are due, counted from the job's first submission.
  Duration completion_target{};
  /// Batch only: when an unfinished item may be dropped, counted from the job's first submission.
  Duration retention{};
  /// Batch only: maximum number of tokens of unfinished items on the route, per tenant; zero means unlimited.
  std::uint64_t most_waiting_tokens = 0;
  /// Regions whose machines may serve, run or store the requests; empty means all regions.
  std::set<RegionId> allowed_regions;

  /// True if a request may run on another engine after it may have run on a first one.
  bool isRepeatable() const { return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable); }
};

/// A set of interchangeable engines.
struct RoutedService {
  ServiceId id;
  std::string health_path;
  /// Maximum number of connections that one engine accepts from all gateways together.
  std::uint32_t most_connections = 0;
  /// Maximum number of concurrent requests of one engine; zero if not configured.
  std::uint32_t slots = 0;
  /// Capacity of one engine's key-value cache, in tokens; zero for services that run no model.
  std::uint64_t memory_tokens = 0;
  /// Warm-up time of an engine after its start.
  Duration cold_time{};
  /// Requests per second that a cold engine sustains from all gateways together; zero means unlimited.
  double cold_requests_per_second = 0;
};

/// Limits on the size and the timing of requests from callers.
struct CallerLimits {
  std::uint32_t most_header_bytes = 16384;
  std::uint64_t most_body_bytes = 4u << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the routes, services, tenants and caller limits. Immutable once published; shared by all threads.
/// Holds no API key in clear.
class RouteTable {
 public:
  RouteTable() = default;
  /// Validates the arguments and builds the index. Returns `kInvalidArgument` for a route to an unknown service, two
  /// routes with the same host and prefix, a malformed prefix, a time-out of zero, weights that sum to zero, or tenants
  /// that `buildTenantTable` rejects.
  static Result<std::shared_ptr<const RouteTable>> build(std::uint64_t version, std::vector<Route> routes,
                                                         std::vector<RoutedService> services, CallerLimits limits,
                                                         std::vector<Tenant> tenants = {});

  std::uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const CallerLimits& limits() const { return limits_; }
  /// If the table is empty, requests need no API key.
  const TenantTable& tenants() const { return tenants_; }
  /// Returns the route of `host` with the longest prefix that `path` begins with; null if there is none.
  const Route* find(std::string_view host, std::string_view path) const;
  /// True if at least one batch route of the host needs no API key.
  bool allowsAnonymousJobs(std::string_view host) const;
  const std::map<ServiceId, RoutedService>& services() const { return services_; }
  /// Null for an unknown service.
  const RoutedService* service(const ServiceId& id) const;

 private:
  Status check() const;

  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<ServiceId, RoutedService> services_;
  CallerLimits limits_;
  TenantTable tenants_;
  /// Host -> prefix -> position in `routes_`.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> index_;
};

}  // namespace hatchfork
