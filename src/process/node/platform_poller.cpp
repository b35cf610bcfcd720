#include "process/node/platform_poller.hpp"

#include "common/log.hpp"

namespace hatchfork::node {
namespace {

constexpr Duration kPollInterval = fromMillis(500);
constexpr Duration kPollTimeout = fromMillis(1000);

}  // namespace

PlatformPoller::PlatformPoller(connection::HttpClient& client, connection::Endpoint platform, Handler on_list)
    : client_(client), platform_(std::move(platform)), on_list_(std::move(on_list)) {}

connection::Awaitable<void> PlatformPoller::run() {
  while (true) {
    connection::HttpClientRequest request;
    request.target = "/machines";
    const Result<connection::HttpResponse> response =
        co_await client_.fetch(platform_, std::move(request), kPollTimeout);
    if (isOk(response) && valueOf(response).status == 200) {
      const auto machines = control::parsePlatformList(valueOf(response).body);
      if (isOk(machines)) {
        view_.take(valueOf(machines));
        on_list_(view_.leaving());
      } else {
        logEvent(LogLevel::kWarning, "platform_list_refused", {{"cause", errorOf(machines).message}});
      }
    }
    co_await connection::sleepFor(kPollInterval);
  }
}

}  // namespace hatchfork::node
