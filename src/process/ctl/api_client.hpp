#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "common/time.hpp"
#include "connection/asio.hpp"
#include "connection/http_client.hpp"
#include "connection/http_types.hpp"
#include "process/ctl/command.hpp"

namespace hatchfork::ctl {

/// One call to the administration API or the callers' API.
struct ApiCall {
  std::string method = "GET";
  /// Path with query.
  std::string target;
  std::vector<connection::HttpHeader> headers;
  std::string body;
  /// True for calls that change something.
  bool mutates = false;
  /// Time for one server to answer.
  Duration attempt_timeout = fromMillis(4000);
  /// Time over all tries where the command's own patience is too long for this call.
  Duration longest = Duration::max();
};

/// The answer of one server that was asked directly.
struct ServerAnswer {
  connection::Endpoint server;
  Result<nlohmann::json> answer;
};

/// Blocking client for the command line: tries servers as `CallPlan` says until the command's patience ends.
class ApiClient {
 public:
  explicit ApiClient(const CommonOptions& options);

  Result<connection::HttpResponse> call(const ApiCall& call);
  /// The same, with the body of the answer parsed.
  Result<nlohmann::json> callJson(const ApiCall& call);
  /// GETs from every server at once, whether it leads or not; in the order of the servers.
  std::vector<ServerAnswer> getFromEach(const std::string& target, Duration timeout);
  /// Waits on the calling thread.
  void sleep(Duration duration);
  /// Another time line for each command: later calls have the whole patience again.
  void renewPatience();

 private:
  connection::HttpClientRequest makeRequest(const ApiCall& call) const;
  Result<connection::HttpResponse> fetch(const connection::Endpoint& server, connection::HttpClientRequest request,
                                         Duration timeout);

  CommonOptions options_;
  connection::asio::io_context context_;
  connection::HttpClient client_;
  Instant give_up_;
};

}  // namespace hatchfork::ctl
