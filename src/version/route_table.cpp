#include "version/route_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace hatchfork {
namespace {

Error invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

std::uint64_t totalWeight(const Route& route) {
  return std::accumulate(route.split.begin(), route.split.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const WeightedService& part) { return sum + part.weight; });
}

}  // namespace

std::string_view toString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kSafe:
      return "safe";
    case RouteKind::kUnsafe:
      return "unsafe";
    case RouteKind::kStream:
      return "stream";
    case RouteKind::kBatch:
      return "batch";
  }
  return "unsafe";
}

Result<std::shared_ptr<const RouteTable>> RouteTable::build(std::uint64_t version, std::vector<Route> routes,
                                                            std::vector<RoutedService> services, CallerLimits limits,
                                                            std::vector<Tenant> tenants) {
  auto table = std::make_shared<RouteTable>();
  table->version_ = version;
  table->routes_ = std::move(routes);
  table->limits_ = limits;
  for (RoutedService& service : services) {
    const ServiceId id = service.id;
    if (!table->services_.emplace(id, std::move(service)).second) {
      return invalid("service " + id.value + " is listed twice", "list each service once");
    }
  }
  Result<TenantTable> tenant_table = buildTenantTable(std::move(tenants));
  if (!isOk(tenant_table)) return errorOf(tenant_table);
  table->tenants_ = std::move(valueOf(tenant_table));
  const Status checked = table->check();
  if (!isOk(checked)) return errorOf(checked);
  for (std::size_t position = 0; position < table->routes_.size(); ++position) {
    const Route& route = table->routes_[position];
    if (!table->index_[route.host].emplace(route.prefix, position).second) {
      return invalid(fmt::format("two routes have host {} and prefix {}", route.host, route.prefix),
                     "give each route a unique pair of host and prefix");
    }
  }
  return std::shared_ptr<const RouteTable>(std::move(table));
}

Status RouteTable::check() const {
  for (const Route& route : routes_) {
    if (route.host.empty()) return invalid("route " + route.name + " has no host", "set the host of the route");
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
      return invalid("route " + route.name + " has a malformed prefix", "begin and end the prefix with a slash");
    }
    if (route.timeout <= Duration::zero()) {
      return invalid("route " + route.name + " has a time-out of zero", "give a positive time-out");
    }
    if (totalWeight(route) == 0) {
      return invalid("the weights of route " + route.name + " sum to zero", "give a service a positive weight");
    }
    for (const WeightedService& part : route.split) {
      if (!services_.contains(part.service)) {
        return invalid(fmt::format("route {} refers to the unknown service {}", route.name, part.service.value),
                       "add the service, or correct its name in the route");
      }
    }
  }
  return okStatus();
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  const auto of_host = index_.find(host);
  if (of_host == index_.end()) return nullptr;
  // Every prefix ends with a slash, so only the parts of the path that end with a slash are looked up, longest first.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
    const auto found = of_host->second.find(path.substr(0, end + 1));
    if (found != of_host->second.end()) return &routes_[found->second];
    if (end == 0) break;
  }
  return nullptr;
}

bool RouteTable::allowsAnonymousJobs(std::string_view host) const {
  return std::any_of(routes_.begin(), routes_.end(), [&](const Route& route) {
    return route.kind == RouteKind::kBatch && route.allows_anonymous && route.host == host;
  });
}

const RoutedService* RouteTable::service(const ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace hatchfork
