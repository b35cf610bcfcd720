#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/result.hpp"
#include "connection/http_client.hpp"
#include "request/retry/retry_policy.hpp"
#include "request/urgency.hpp"

namespace hatchfork::connection {

/// What one attempt asks of an engine. The answer is always streamed, whatever the caller asked for, so that a broken
/// one can be resumed.
struct EngineCall {
  Endpoint endpoint;
  /// "/v1/chat/completions" or "/v1/completions".
  std::string path;
  /// The caller's body as JSON text, without the fields that the attempt adds.
  std::string body;
  std::string request_id;
  request::Urgency urgency = request::Urgency::kOnline;
  std::uint32_t resume_from = 0;
  /// Longest wait for the next byte.
  Duration silence_limit{};
  /// Last moment for the whole attempt.
  Instant deadline = Instant::max();
};

/// One token as the engine sent it.
struct EngineToken {
  std::uint32_t index = 0;
  std::string text;
};

enum class AttemptOutcome : std::uint8_t {
  /// The end mark came after the last token.
  kWhole,
  /// The engine refused the request itself (4xx): another engine would do the same.
  kRejected,
  kFailed,
  /// Ended by `cancel`, or because the token handler returned false.
  kCancelled,
};

struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  request::FailurePoint point = request::FailurePoint::kNotRun;
  std::string finish_reason;
  std::uint32_t prompt_tokens = 0;
  Error error;
};

/// Runs one attempt: sends the call, checks that every event carries the call's identifier and the next token index,
/// and hands the tokens on in order. A crossed, gappy, truncated or unreadable answer fails the attempt. One thread.
class EngineAttempt {
 public:
  /// Returns false when the answer is no longer wanted.
  using TokenHandler = std::function<Awaitable<bool>(EngineToken)>;

  EngineAttempt(HttpClient& client, EngineCall call);

  Awaitable<AttemptEnd> run(TokenHandler on_token);
  /// Ends the attempt at the engine, which frees its slot. Safe at any time on the same thread.
  void cancel();

 private:
  Awaitable<AttemptEnd> readStream(TokenHandler on_token);
  Awaitable<AttemptEnd> readRefusal();
  /// Takes one event's data; a set error means that the answer cannot be trusted.
  struct Event {
    bool is_end = false;
    bool has_token = false;
    EngineToken token;
    std::string problem;
  };
  Event parseEvent(std::string_view data);
  AttemptEnd failure(request::FailurePoint point, Error error) const;
  Duration patience() const;

  HttpClient& client_;
  EngineCall call_;
  std::unique_ptr<HttpExchange> exchange_;
  std::uint32_t next_index_;
  std::string finish_reason_;
  std::uint32_t prompt_tokens_ = 0;
  bool cancelled_ = false;
};

}  // namespace hatchfork::connection
