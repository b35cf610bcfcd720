#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "connection/engine_exchange.hpp"

namespace hatchfork::connection {

/// A request without a body to an engine on loopback.
inline EngineRequest requestTo(std::uint16_t port) {
  EngineRequest request;
  request.engine = EngineId("e");
  request.endpoint = Endpoint{"127.0.0.1", port};
  request.method = "GET";
  request.target = "/";
  request.echo_name = "X-Id";
  request.echo_value = "r1";
  return request;
}

/// What became of one request, its body included.
struct Outcome {
  bool answered = false;
  bool whole = false;
  bool framed = false;
  std::string body;
  ExchangeFailure failure;
};

/// Plays one request until its answer has ended, for as long as `time`.
inline Awaitable<void> exchange(EngineClient& client, EngineRequest request, std::shared_ptr<ExchangeControl> control,
                                Duration time, Outcome& outcome) {
  const Instant deadline = monotonicNow() + time;
  ExchangeStart started = co_await client.open(std::move(request), deadline, control);
  if (auto* failure = std::get_if<ExchangeFailure>(&started)) {
    outcome.failure = *failure;
    co_return;
  }
  auto running = std::move(std::get<std::unique_ptr<EngineExchange>>(started));
  outcome.answered = true;
  while (true) {
    AnswerPiece piece = co_await running->read(deadline);
    if (auto* failure = std::get_if<ExchangeFailure>(&piece)) {
      outcome.failure = *failure;
      co_return;
    }
    if (auto* end = std::get_if<EndOfAnswer>(&piece)) {
      outcome.whole = true;
      outcome.framed = end->framed;
      co_return;
    }
    outcome.body += std::get<std::string>(piece);
  }
}

}  // namespace hatchfork::connection
