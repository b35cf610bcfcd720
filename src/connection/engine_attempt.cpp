#include "connection/engine_attempt.hpp"

#include <algorithm>

#include "common/codec.hpp"

namespace hatchfork::connection {
namespace {

using request::FailurePoint;

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEndMark = "[DONE]";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::size_t kLargestEvent = 1u << 20;
constexpr std::size_t kLargestRefusal = 64u << 10;

Error upstreamError(std::string message) {
  return Error{ErrorKind::kUpstreamFailed, std::move(message), "ask again", Executed::kUnknown, fromMillis(1000)};
}

std::string buildBody(const EngineCall& call) {
  nlohmann::json body = nlohmann::json::parse(call.body, nullptr, false);
  if (!body.is_object()) body = nlohmann::json::object();
  body["stream"] = true;
  body["request_id"] = call.request_id;
  body["priority"] = call.urgency == request::Urgency::kOnline ? "online" : "batch";
  body["resume_from"] = call.resume_from;
  return body.dump();
}

std::string textOfChoice(const nlohmann::json& choice) {
  if (choice.contains("text")) return choice.at("text").get<std::string>();
  if (!choice.contains("delta")) return {};
  return choice.at("delta").value("content", "");
}

}  // namespace

EngineAttempt::EngineAttempt(HttpClient& client, EngineCall call)
    : client_(client), call_(std::move(call)), next_index_(call_.resume_from) {}

void EngineAttempt::cancel() {
  cancelled_ = true;
  if (exchange_) exchange_->cancel();
}

Duration EngineAttempt::patience() const {
  const Duration left = std::chrono::duration_cast<Duration>(call_.deadline - monotonicNow());
  return std::max(Duration(1), std::min(call_.silence_limit, left));
}

AttemptEnd EngineAttempt::failure(FailurePoint point, Error error) const {
  AttemptEnd end;
  end.outcome = cancelled_ ? AttemptOutcome::kCancelled : AttemptOutcome::kFailed;
  end.point = point;
  end.error = std::move(error);
  return end;
}

Awaitable<AttemptEnd> EngineAttempt::run(TokenHandler on_token) {
  HttpClientRequest request;
  request.method = "POST";
  request.target = call_.path;
  request.headers.push_back(HttpHeader{"Content-Type", "application/json"});
  request.body = buildBody(call_);
  Result<std::unique_ptr<HttpExchange>> opened = co_await client_.open(call_.endpoint, std::move(request), patience());
  if (!isOk(opened)) {
    const Error& error = errorOf(opened);
    co_return failure(error.executed == Executed::kNo ? FailurePoint::kNotRun : FailurePoint::kNoAnswer, error);
  }
  exchange_ = std::move(valueOf(opened));
  if (cancelled_) co_return failure(FailurePoint::kNoAnswer, upstreamError("cancelled"));
  if (exchange_->status() != 200) co_return co_await readRefusal();
  co_return co_await readStream(std::move(on_token));
}

Awaitable<AttemptEnd> EngineAttempt::readRefusal() {
  std::string body;
  while (body.size() <= kLargestRefusal) {
    Result<std::string> piece = co_await exchange_->readSome(patience());
    if (!isOk(piece)) co_return failure(FailurePoint::kNoAnswer, errorOf(piece));
    if (valueOf(piece).empty()) break;
    body += valueOf(piece);
  }
  const unsigned status = exchange_->status();
  const Error error = errorFromResponse(status, body);
  const bool not_run = error.executed == Executed::kNo;
  AttemptEnd end = failure(not_run ? FailurePoint::kNotRun : FailurePoint::kNoAnswer, error);
  const bool callers_fault = status >= 400 && status < 500 && status != 429 && status != 408;
  if (callers_fault && not_run) end.outcome = AttemptOutcome::kRejected;
  co_return end;
}

EngineAttempt::Event EngineAttempt::parseEvent(std::string_view data) {
  Event event;
  if (data == kEndMark) {
    event.is_end = true;
    return event;
  }
  try {
    const nlohmann::json json = nlohmann::json::parse(data.begin(), data.end());
    if (json.at("id").get<std::string>() != call_.request_id) {
      event.problem = "the engine sent another request's answer";
      return event;
    }
    if (json.contains("usage") && json.at("usage").is_object()) {
      prompt_tokens_ = json.at("usage").value("prompt_tokens", prompt_tokens_);
    }
    const nlohmann::json& choice = json.at("choices").at(0);
    if (choice.contains("finish_reason") && choice.at("finish_reason").is_string()) {
      finish_reason_ = choice.at("finish_reason").get<std::string>();
    }
    if (!json.contains("token_index") || json.at("token_index").is_null()) return event;
    event.token.text = textOfChoice(choice);
    event.token.index = json.at("token_index").get<std::uint32_t>();
    event.has_token = true;
    if (event.token.index != next_index_) event.problem = "the engine left out or repeated a token";
    ++next_index_;
  } catch (const nlohmann::json::exception&) {
    event.problem = "the engine sent an unreadable event";
  }
  return event;
}

Awaitable<AttemptEnd> EngineAttempt::readStream(TokenHandler on_token) {
  std::string buffer;
  bool any_token = false;
  while (true) {
    Result<std::string> piece = co_await exchange_->readSome(patience());
    const FailurePoint point = any_token ? FailurePoint::kMidStream : FailurePoint::kNoAnswer;
    if (!isOk(piece)) co_return failure(point, errorOf(piece));
    if (valueOf(piece).empty()) co_return failure(point, upstreamError("the answer ended without its end mark"));
    buffer += valueOf(piece);
    std::size_t start = 0;
    for (std::size_t end = buffer.find(kEventEnd); end != std::string::npos; end = buffer.find(kEventEnd, start)) {
      std::string_view line = std::string_view(buffer).substr(start, end - start);
      start = end + kEventEnd.size();
      if (!line.starts_with(kDataPrefix)) continue;
      Event event = parseEvent(line.substr(kDataPrefix.size()));
      if (!event.problem.empty()) {
        co_return failure(any_token ? FailurePoint::kMidStream : FailurePoint::kNoAnswer, upstreamError(event.problem));
      }
      if (event.is_end) {
        AttemptEnd whole;
        whole.outcome = AttemptOutcome::kWhole;
        whole.finish_reason = finish_reason_;
        whole.prompt_tokens = prompt_tokens_;
        // Reads the end of the body, so that the connection can be kept.
        co_await exchange_->readSome(patience());
        co_return whole;
      }
      if (!event.has_token) continue;
      any_token = true;
      const bool wanted = co_await on_token(std::move(event.token));
      if (wanted && !cancelled_) continue;
      cancelled_ = true;
      exchange_.reset();
      co_return failure(FailurePoint::kMidStream, upstreamError("cancelled"));
    }
    buffer.erase(0, start);
    if (buffer.size() > kLargestEvent) co_return failure(point, upstreamError("the engine sent an oversize event"));
  }
}

}  // namespace hatchfork::connection
