#include "process/exchange/store_client.hpp"

#include <catch2/catch.hpp>

#include "connection/frame_server.hpp"

using namespace hatchfork;
using namespace hatchfork::exchange;
using connection::monotonicNow;

namespace {

constexpr std::uint16_t kPort = 17941;

/// A store on a loopback address that answers each request with the same reply, or never answers.
class FakeStore {
 public:
  FakeStore(connection::asio::io_context& context, std::string address, std::optional<store::StoreReply> reply)
      : reply_(std::move(reply)),
        server_(context, connection::Endpoint{address, kPort},
                [this](const std::string& body, const connection::FrameServer::ConnectionPtr& from) {
                  const auto message = decodeTagged<fleet::FleetMessage>(body);
                  const auto* request = std::get_if<fleet::StoreRequestFrame>(&valueOf(message));
                  if (request == nullptr) return;
                  ++requests_received;
                  if (!reply_) return;
                  from->send(encodeTagged(
                      fleet::FleetMessage(fleet::StoreReplyFrame{request->number, encodeTagged(*reply_)})));
                }) {
    REQUIRE(isOk(server_.start()));
  }
  int requests_received = 0;

 private:
  std::optional<store::StoreReply> reply_;
  connection::FrameServer server_;
};

struct CallResult {
  std::optional<store::StoreReply> reply;
  Duration took{};
};

/// Makes one call once both stores are connected.
CallResult callStores(connection::asio::io_context& context, Duration deadline,
                      const store::StoreRequest& request = store::EndJobRequest{JobId("j")}) {
  StoreClient client(context, kPort, /*seed=*/0);
  client.setStores({ReplicaId("127.0.0.1"), ReplicaId("127.0.0.2")});
  CallResult result;
  auto run = [&]() -> connection::Awaitable<void> {
    co_await connection::sleepFor(fromMillis(300));
    const Instant began = monotonicNow();
    const StoreCallLimits limits{began + deadline, fromMillis(5000), fromMillis(50), began + fromMillis(90)};
    store::StoreReply reply = co_await client.call(request, limits);
    result.took = monotonicNow() - began;
    result.reply = std::move(reply);
    context.stop();
  };
  connection::asio::co_spawn(context, run, connection::asio::detached);
  context.run_for(std::chrono::seconds(20));
  return result;
}

}  // namespace

TEST_CASE("an unresponsive store does not delay a call", "[exchange][stores]") {
  connection::asio::io_context context;
  FakeStore silent(context, "127.0.0.1", std::nullopt);
  FakeStore healthy(context, "127.0.0.2", store::StoreReply(store::DoneReply{}));
  const CallResult result = callStores(context, fromMillis(4000));
  REQUIRE(result.reply);
  REQUIRE(std::holds_alternative<store::DoneReply>(*result.reply));
  REQUIRE(silent.requests_received == 1);
  REQUIRE(healthy.requests_received == 1);
  REQUIRE(result.took < fromMillis(2000));
}

TEST_CASE("a call is refused as not executed only if no store can have accepted it", "[exchange][stores]") {
  const store::StoreReply refusal = store::UnavailableReply{false, "no leader"};
  SECTION("all refuse") {
    connection::asio::io_context context;
    FakeStore first(context, "127.0.0.1", refusal);
    FakeStore second(context, "127.0.0.2", refusal);
    const CallResult result = callStores(context, fromMillis(4000));
    REQUIRE(result.reply);
    REQUIRE_FALSE(std::get<store::UnavailableReply>(*result.reply).may_apply);
    REQUIRE(result.took < fromMillis(2000));
  }
  SECTION("one says nothing") {
    connection::asio::io_context context;
    FakeStore silent(context, "127.0.0.1", std::nullopt);
    FakeStore second(context, "127.0.0.2", refusal);
    const CallResult result = callStores(context, fromMillis(600));
    REQUIRE(result.reply);
    REQUIRE(std::get<store::UnavailableReply>(*result.reply).may_apply);
  }
}

// Guards against an overloaded leader that gets each large submission again from every store, 40 ms after each refusal.
TEST_CASE("a refusal for which no other store can make up ends the call at once", "[exchange][stores]") {
  connection::asio::io_context context;
  const store::StoreReply refusal = store::UnavailableReply{false, "the leader's log is full", /*is_final=*/true};
  FakeStore first(context, "127.0.0.1", refusal);
  FakeStore second(context, "127.0.0.2", refusal);
  const CallResult result = callStores(context, fromMillis(4000));
  REQUIRE(result.reply);
  REQUIRE_FALSE(std::get<store::UnavailableReply>(*result.reply).may_apply);
  REQUIRE(first.requests_received + second.requests_received == 1);
}

TEST_CASE("a large request is sent again less often than a small one", "[exchange][stores]") {
  const store::StoreReply uncertain = store::UnavailableReply{true, "no quorum in time"};
  const auto sends = [&](const store::StoreRequest& request) {
    connection::asio::io_context context;
    FakeStore first(context, "127.0.0.1", uncertain);
    FakeStore second(context, "127.0.0.2", uncertain);
    callStores(context, fromMillis(1000), request);
    return first.requests_received + second.requests_received;
  };
  store::SubmitJobRequest large;
  large.job.items.push_back(OpaqueItem{"i", "/x/1", {}, std::string(100'000, 'x'), 10});
  REQUIRE(2 * sends(large) < sends(store::EndJobRequest{JobId("j")}));
}
