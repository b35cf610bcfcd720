#include "process/exchange/rate_limit_client.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::exchange;
using request::CreditDecision;
using request::CreditOutcome;

namespace {

const TenantId kCrew("crew");
const ReplicaId kOwner("10.0.0.1");
constexpr std::size_t kBytes = 100;

/// A response writer that only simulates the caller leaving.
class FakeCaller : public connection::ResponseWriter {
 public:
  connection::Awaitable<bool> send(connection::HttpResponse) override { co_return true; }
  connection::Awaitable<bool> startStream(unsigned, std::vector<connection::HttpHeader>) override { co_return true; }
  connection::Awaitable<bool> writeChunk(std::string) override { co_return true; }
  connection::Awaitable<bool> finishStream() override { co_return true; }
  bool peerGone() const override { return false; }
  void watchPeer(std::function<void()> on_gone) override { on_gone_ = std::move(on_gone); }
  void abort() override {}
  void leave() {
    if (on_gone_) on_gone_();
  }
  bool isWatched() const { return static_cast<bool>(on_gone_); }

 private:
  std::function<void()> on_gone_;
};

/// The client of one gateway and an owner whose answers the test sets.
class Gateway {
 public:
  explicit Gateway(std::size_t most_held = 10, bool appointments = true)
      : holds_(most_held, 1000),
        client_(context_, optionsWith(appointments), holds_, [this](const auto&, const auto& question) {
          questions.push_back(question);
          if (on_question) on_question(question);
          return true;
        }) {
    client_.setOwners({kOwner});
    tenant_.id = kCrew;
    tenant_.limits.online_requests_per_second = 10;
  }

  Status admit() {
    std::optional<Status> result;
    auto run = [&]() -> connection::Awaitable<void> {
      LimitedRequest limited{"r1", {77, 0, fromMillis(150), fromMillis(2000), fromMillis(1600)}, kBytes};
      Status status = co_await client_.admit(tenant_, std::move(limited), caller);
      result = std::move(status);
      context_.stop();
    };
    connection::asio::co_spawn(context_, run, connection::asio::detached);
    context_.restart();
    context_.run_for(std::chrono::seconds(10));
    REQUIRE(result);
    return *result;
  }

  /// Posts the owner's answer to the credit request that is being sent.
  void answer(request::CreditResponse answer) {
    connection::asio::post(context_, [this, answer] { client_.take({kCrew, true, answer}); });
  }
  void stop() { client_.stop(); }
  void later(std::function<void()> action) { connection::asio::post(context_, std::move(action)); }

  static request::CreditResponse responseWith(CreditOutcome outcome, Duration after) {
    request::CreditResponse answer;
    answer.supports_scheduled_retries = true;
    answer.is_scarce = true;
    answer.replies = {CreditDecision{77, outcome, after}};
    return answer;
  }

  std::function<void(const fleet::CreditQuestionFrame&)> on_question;
  std::vector<fleet::CreditQuestionFrame> questions;
  FakeCaller caller;
  const request::PendingBudget& holds() const { return holds_; }
  const RateLimitCounters& counters() const { return client_.counters(); }

 private:
  static request::RateLimitOptions optionsWith(bool appointments) {
    request::RateLimitOptions options;
    options.appointments = appointments;
    return options;
  }

  connection::asio::io_context context_;
  request::PendingBudget holds_;
  RateLimitClient client_;
  Tenant tenant_;
};

}  // namespace

TEST_CASE("a request whose credit is due soon waits at the gateway, requests it again when due and is admitted",
          "[gateway][returns]") {
  Gateway gateway;
  gateway.on_question = [&](const auto&) {
    const bool is_first = gateway.questions.size() == 1;
    gateway.answer(is_first ? Gateway::responseWith(CreditOutcome::kWait, fromMillis(40))
                            : Gateway::responseWith(CreditOutcome::kGranted, {}));
  };
  REQUIRE(isOk(gateway.admit()));
  REQUIRE(gateway.questions.size() == 2);
  REQUIRE(gateway.questions[0].question.asks.size() == 1);
  const request::CreditRequestEntry& first = gateway.questions[0].question.asks.at(0);
  const request::CreditRequestEntry& second = gateway.questions[1].question.asks.at(0);
  REQUIRE(second.content == first.content);
  // The second request has less time left by the wait of the first.
  REQUIRE(second.max_useful_wait < first.max_useful_wait);
  REQUIRE(gateway.counters().admitted_held == 1);
  REQUIRE(gateway.holds().requests() == 0);
  REQUIRE_FALSE(gateway.caller.isWatched());
}

TEST_CASE("a request is cancelled when its caller leaves while it waits", "[gateway][returns]") {
  Gateway gateway;
  gateway.on_question = [&](const auto&) {
    gateway.answer(Gateway::responseWith(CreditOutcome::kWait, std::chrono::seconds(5)));
    gateway.later([&] { gateway.later([&] { gateway.later([&] { gateway.caller.leave(); }); }); });
  };
  const Status status = gateway.admit();
  REQUIRE_FALSE(isOk(status));
  REQUIRE(errorOf(status).kind == ErrorKind::kCancelled);
  REQUIRE(gateway.counters().caller_left == 1);
  REQUIRE(gateway.holds().requests() == 0);
}

TEST_CASE("a request that waits for its credit is refused as not run when its gateway stops", "[gateway][stop]") {
  Gateway gateway;
  gateway.on_question = [&](const auto&) {
    gateway.answer(Gateway::responseWith(CreditOutcome::kWait, std::chrono::seconds(60)));
    gateway.later([&] { gateway.later([&] { gateway.stop(); }); });
  };
  const Status status = gateway.admit();
  REQUIRE_FALSE(isOk(status));
  CHECK(errorOf(status).kind == ErrorKind::kUnavailable);
  CHECK(errorOf(status).executed == Executed::kNo);
  CHECK(gateway.holds().requests() == 0);
}

TEST_CASE("a refused caller receives the time of the credit reserved for it", "[gateway][returns]") {
  Gateway gateway;
  gateway.on_question = [&](const auto&) {
    gateway.answer(Gateway::responseWith(CreditOutcome::kRetryReserved, fromMillis(700)));
  };
  const Status status = gateway.admit();
  REQUIRE(errorOf(status).kind == ErrorKind::kRateLimited);
  REQUIRE(errorOf(status).retry_after == fromMillis(700));
  REQUIRE(gateway.counters().scheduled_retries == 1);
}

TEST_CASE("a request that exceeds the pending budget is refused with the time of its credit", "[gateway][returns]") {
  Gateway gateway(/*most_held=*/0);
  gateway.on_question = [&](const auto&) {
    gateway.answer(Gateway::responseWith(CreditOutcome::kWait, fromMillis(90)));
  };
  const Status status = gateway.admit();
  REQUIRE(errorOf(status).kind == ErrorKind::kRateLimited);
  REQUIRE(errorOf(status).retry_after == fromMillis(90));
}

TEST_CASE("a refusal by an owner of an earlier release is final", "[gateway][returns]") {
  Gateway gateway;
  request::CreditResponse old;
  old.wait = fromMillis(100);
  gateway.on_question = [&](const auto&) { gateway.answer(old); };
  const Status refused = gateway.admit();
  REQUIRE(errorOf(refused).kind == ErrorKind::kRateLimited);
  REQUIRE(errorOf(refused).retry_after);
  REQUIRE(gateway.questions.size() == 1);
}

TEST_CASE("an owner of an earlier release grants a request that waits", "[gateway][returns]") {
  Gateway gateway;
  request::CreditResponse old;
  old.granted = 1;
  gateway.on_question = [&](const auto&) { gateway.answer(old); };
  REQUIRE(isOk(gateway.admit()));
}

TEST_CASE("without scheduled retries, a credit request lists no entries", "[gateway][returns]") {
  Gateway gateway(10, /*appointments=*/false);
  request::CreditResponse old;
  old.granted = 1;
  gateway.on_question = [&](const auto&) { gateway.answer(old); };
  REQUIRE(isOk(gateway.admit()));
  REQUIRE(gateway.questions.at(0).question.asks.empty());
  REQUIRE(nlohmann::json(gateway.questions.at(0)).size() == 2);
}

TEST_CASE("a request is admitted from the local share if the owner does not answer", "[gateway][returns]") {
  Gateway gateway;
  REQUIRE(isOk(gateway.admit()));
  REQUIRE(gateway.counters().admitted_locally == 1);
}
