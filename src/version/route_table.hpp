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

/// What may be repeated of the requests on a route.
enum class RouteKind {
  /// May run more than once.
  kSafe,
  /// Runs at most once for each request.
  kUnsafe,
  /// Answered by a stream of events; unsafe unless the route is resumable.
  kStream,
  /// Takes batch jobs whose items run later.
  kBatch,
};
std::string_view toString(RouteKind kind);

/// One of the services that a route is split over.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// Sends requests of one host whose path begins with a prefix to services.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  /// Longest that a request is held.
  Duration timeout{};
  /// Time within which an answer (a stream's first event, a job's acceptance) has its full worth.
  Duration objective{};
  /// Longest pause between two events of a stream at which it is still in time.
  Duration event_gap{};
  /// Most engines that one request may be sent to, or that one batch item may fail at.
  std::uint32_t most_attempts = 1;
  /// Zero is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> split;
  /// Streams may be resumed at another engine.
  bool resumable = false;
  /// Requests need no API key, also where the document has tenants.
  bool allows_anonymous = false;
  /// Requests that share a prompt prefix should meet the same engines.
  bool prefix_affinity = false;
  /// Batch only: when the results are due, counted from the job's first send.
  Duration completion_target{};
  /// Batch only: when an item may be given up, counted from the job's first send.
  Duration retention{};
  /// Batch only: the most tokens of open items that may wait on the route, for each tenant; zero without a limit.
  std::uint64_t most_waiting_tokens = 0;
  /// Regions whose machines may serve, run or keep its requests; empty for all.
  std::set<RegionId> allowed_regions;

  /// True if a request may run at a second engine after it may have run at a first.
  bool isRepeatable() const { return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable); }
};

/// A set of engines that run the same thing.
struct RoutedService {
  ServiceId id;
  std::string health_path;
  /// Connections that one engine takes from all callers together.
  std::uint32_t most_connections = 0;
  /// Requests that one engine runs at once; zero where it is not told.
  std::uint32_t slots = 0;
  /// Tokens of key-value memory of one engine; zero for services that run no model.
  std::uint64_t memory_tokens = 0;
  /// How long an engine stays cold after its start.
  Duration cold_time{};
  /// Requests a second that a cold engine bears from all callers together; zero without a bound.
  double cold_requests_per_second = 0;
};

/// Bounds on what callers may send.
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
  /// Checks the parts and builds the index. `kInvalidArgument` for a route to an unknown service, two routes with the
  /// same host and prefix, a malformed prefix, a time-out of zero, weights that sum to zero, or tenants that
  /// `buildTenantTable` refuses.
  static Result<std::shared_ptr<const RouteTable>> build(std::uint64_t version, std::vector<Route> routes,
                                                         std::vector<RoutedService> services, CallerLimits limits,
                                                         std::vector<Tenant> tenants = {});

  std::uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const CallerLimits& limits() const { return limits_; }
  /// Without any, requests need no API key.
  const TenantTable& tenants() const { return tenants_; }
  /// The route of `host` with the longest prefix that begins `path`; null if there is none.
  const Route* find(std::string_view host, std::string_view path) const;
  /// True if some batch route of the host needs no API key.
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
  /// host -> prefix -> position in `routes_`.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> index_;
};

}  // namespace hatchfork
