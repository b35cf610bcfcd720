#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "common/time.hpp"
#include "connection/http_types.hpp"

namespace hatchfork::ctl {

/// How one call to the fleet's HTTP interfaces goes from server to server: a silent server is left for the next one,
/// a named leader is asked directly, and a call whose outcome is unknown is sent again with the same body, which the
/// far side recognises by its identifier. Sans-I/O.
class CallPlan {
 public:
  /// `mutates` says that the call changes something, so that a lost answer leaves its outcome unknown.
  CallPlan(std::vector<connection::Endpoint> servers, bool mutates, Instant give_up);

  /// The server to ask now.
  const connection::Endpoint& server() const { return server_; }
  /// How long to wait before asking it.
  Duration pause() const { return pause_; }
  /// Takes the end of one try: the answer, or the error of the connection. Returns the end of the call, or nothing
  /// when it is to be tried again. An error with executed "unknown" is returned only for calls that mutate.
  std::optional<Result<connection::HttpResponse>> take(Instant now, Result<connection::HttpResponse> end);

 private:
  void chooseNext(const Error& error, const std::string& leader);
  Error finalError(Error error) const;

  std::vector<connection::Endpoint> servers_;
  bool mutates_;
  Instant give_up_;
  connection::Endpoint server_;
  std::size_t position_ = 0;
  /// Tries since the last pause; a pause follows once every server was asked.
  std::size_t tries_ = 0;
  Duration pause_{};
  /// True once a try ended without showing whether the call was carried out.
  bool maybe_done_ = false;
};

}  // namespace hatchfork::ctl
