#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "connection/asio.hpp"
#include "connection/http_types.hpp"
#include "connection/slow_readers.hpp"

namespace hatchfork::connection {

/// A request to an engine, passed on as the caller sent it.
struct EngineRequest {
  EngineId engine;
  Endpoint endpoint;
  std::string method;
  std::string target;
  /// All header fields but those that concern one connection only and the length.
  std::vector<HttpHeader> headers;
  std::string body;
  /// Name of the header field that an answer must echo, and its value.
  std::string echo_name;
  std::string echo_value;
};

/// Why an exchange ended without a whole answer.
struct ExchangeFailure {
  /// False only if no byte of the request can have reached the engine.
  bool may_have_run = true;
  bool timed_out = false;
  std::string cause;
  /// True if the far side ended the connection after it may have taken the request.
  bool closed_by_engine = false;
  /// True if `ExchangeControl::may_send` withheld the request; tells nothing of the engine.
  bool was_withheld = false;
};

/// What a new connection to an engine's address shows.
enum class EngineReachability {
  /// Something listens there: the engine lives.
  kListening,
  /// Its machine answers that nothing listens: the engine has ended.
  kEnded,
  /// No answer in time; the engine may live.
  kUnknown,
};

struct EndOfAnswer {
  /// False if the answer had no length and ended with its connection.
  bool framed = true;
};

/// A piece of an answer's body, its proper end, or a failure.
using AnswerPiece = std::variant<std::string, EndOfAnswer, ExchangeFailure>;

/// One request at an engine. Destroying it before the end of the answer closes the connection, so that the engine drops
/// the request. Belongs to one thread.
class EngineExchange {
 public:
  virtual ~EngineExchange() = default;

  virtual unsigned status() const = 0;
  /// First header field of that name, in any case; empty if absent.
  virtual std::string_view header(std::string_view name) const = 0;
  virtual std::vector<HttpHeader> headers() const = 0;
  /// Waits for the next bytes of the body until `deadline`.
  virtual Awaitable<AnswerPiece> read(Instant deadline) = 0;
  /// Ends the exchange, also from outside a pending wait, which then fails. Same thread.
  virtual void cancel() = 0;
  /// True if the connection had served requests before.
  virtual bool reused() const = 0;
};

/// Ends a request that is still connecting or waiting for its answer.
struct ExchangeControl {
  std::function<void()> cancel;
  /// Asked, if set, right before the request is sent, perhaps long after it was opened; false withholds the request.
  std::function<bool()> may_send;
};

using ExchangeStart = std::variant<std::unique_ptr<EngineExchange>, ExchangeFailure>;

/// Kept-alive connections to engines. An answer is taken only if it echoes the request's identifier; a surplus answer
/// in its place is read and dropped. Belongs to one thread and its io_context.
class EngineClient {
 public:
  /// `slow_readers`, if given, counts requests that engines have not read yet.
  explicit EngineClient(asio::io_context& context, std::shared_ptr<SlowReaders> slow_readers = nullptr);
  ~EngineClient();
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  /// Sends the request and waits for the head of its answer until `deadline`. `control`, if given, gets a function that
  /// ends the wait; it stays valid until the returned awaitable has ended.
  Awaitable<ExchangeStart> open(EngineRequest request, Instant deadline, std::shared_ptr<ExchangeControl> control);
  /// Makes a connection to see whether the engine has ended. One that is made is kept for requests.
  Awaitable<EngineReachability> probe(EngineId engine, Endpoint endpoint);
  /// Closes idle connections to engines that are not in use any more, and those that the engine is about to close.
  void closeIdle(const std::function<bool(const EngineId&)>& in_use);

  /// Connections made and requests sent on a kept one, so far.
  std::uint64_t connectionsMade() const;
  std::uint64_t connectionsReused() const;

  struct Pool;

 private:
  std::shared_ptr<Pool> pool_;
};

}  // namespace hatchfork::connection
