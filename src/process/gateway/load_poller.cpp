#include "process/gateway/load_poller.hpp"

#include "common/codec.hpp"
#include "request/routing/load_report.hpp"

namespace hatchfork::gateway {

using connection::Awaitable;

namespace {

constexpr Duration kPollInterval = fromMillis(250);
constexpr Duration kPollTimeout = fromMillis(1000);

}  // namespace

LoadPoller::LoadPoller(TrafficState& traffic, connection::HttpClient& client) : traffic_(traffic), client_(client) {}

Awaitable<void> LoadPoller::run() {
  while (true) {
    for (const auto& [service, traffic] : traffic_.services()) {
      for (const EngineId& engine : traffic->router.subset()) {
        const std::optional<connection::Endpoint> endpoint = traffic_.endpointOf(engine);
        if (!endpoint || !in_flight_.insert(engine).second) continue;
        connection::asio::co_spawn(client_.context(), poll(service, engine, *endpoint), connection::asio::detached);
      }
    }
    co_await connection::sleepFor(kPollInterval);
  }
}

Awaitable<void> LoadPoller::poll(ServiceId service, EngineId engine, connection::Endpoint endpoint) {
  connection::HttpClientRequest request;
  request.target = "/load";
  const Result<connection::HttpResponse> response = co_await client_.fetch(endpoint, std::move(request), kPollTimeout);
  in_flight_.erase(engine);
  if (!isOk(response) || valueOf(response).status != 200) co_return;
  const Result<nlohmann::json> json = parseJsonText(valueOf(response).body);
  if (!isOk(json)) co_return;
  const Result<request::LoadReport> report = structFromJson<request::LoadReport>(valueOf(json));
  ServiceTraffic* traffic = traffic_.service(service);
  if (!isOk(report) || traffic == nullptr) co_return;
  const Instant now = connection::monotonicNow();
  traffic->router.applyLoadReport(now, engine, valueOf(report));
  traffic->admission.applyLoadReport(now, engine, valueOf(report));
}

}  // namespace hatchfork::gateway
