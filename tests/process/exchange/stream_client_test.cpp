#include "process/exchange/stream_client.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace hatchfork;
using namespace hatchfork::exchange;
using connection::monotonicNow;
using request::StreamKey;
using request::StreamRecord;

namespace {

const ServiceId kService("llm");
const EngineBuild kFirst("v1");
constexpr Duration kLifetime = std::chrono::seconds(5);

/// Stores that keep records, and any number of gateways that reach them.
class Fleet {
 public:
  struct Gateway {
    connection::asio::io_context context;
    std::unique_ptr<StreamClient> client;
  };

  Fleet() {
    for (const char* store : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) stores_.emplace(ReplicaId(store), Store{});
  }

  std::unique_ptr<Gateway> makeGateway() {
    auto gateway = std::make_unique<Gateway>();
    gateway->client = std::make_unique<StreamClient>(
        gateway->context, [this, made = gateway.get()](const ReplicaId& to, const fleet::FleetMessage& message) {
          return receive(*made, to, message);
        });
    gateway->client->setStores(monotonicNow(), names());
    return gateway;
  }

  std::vector<ReplicaId> names() const {
    std::vector<ReplicaId> names;
    for (const auto& [name, store] : stores_) names.push_back(name);
    return names;
  }
  std::size_t copiesOf(const StreamKey& stream) const {
    std::size_t copies = 0;
    for (const auto& [name, store] : stores_) copies += store.records.contains(stream);
    return copies;
  }
  void stop(const ReplicaId& name) { stores_.at(name).is_reachable = false; }
  /// The store has none of its records.
  void restart(const ReplicaId& name) { stores_.at(name) = Store{}; }
  void silence(const ReplicaId& name) { stores_.at(name).is_silent = true; }
  void knowOneBuild() { has_one_build_ = true; }
  std::size_t received() const { return received_; }

  static StreamLookup find(Gateway& gateway, const std::string& stream, bool is_current = true) {
    std::optional<StreamLookup> result;
    auto run = [&]() -> connection::Awaitable<void> {
      ResumedStream resumed{StreamKey(stream), kService, "r"};
      StreamLookup found = co_await gateway.client->find(std::move(resumed), is_current);
      result = std::move(found);
      gateway.context.stop();
    };
    connection::asio::co_spawn(gateway.context, run, connection::asio::detached);
    gateway.context.restart();
    gateway.context.run_for(std::chrono::seconds(5));
    REQUIRE(result);
    return *result;
  }

 private:
  struct Store {
    std::map<StreamKey, EngineBuild> records;
    bool is_reachable = true;
    bool is_silent = false;
  };

  bool receive(Gateway& from, const ReplicaId& to, const fleet::FleetMessage& message) {
    Store& store = stores_.at(to);
    if (!store.is_reachable) return false;
    ++received_;
    if (const auto* notes = std::get_if<fleet::StreamNotesFrame>(&message)) {
      for (const fleet::StreamNote& note : notes->notes) store.records[note.record.stream] = note.record.build;
      return true;
    }
    const auto& question = std::get<fleet::StreamQuestionFrame>(message);
    if (store.is_silent) return true;
    const auto found = store.records.find(question.stream);
    fleet::StreamAnswerFrame answer;
    answer.number = question.number;
    answer.is_recorded = found != store.records.end();
    if (answer.is_recorded) answer.build = found->second;
    answer.has_one_build = has_one_build_;
    connection::asio::post(from.context, [&from, answer] { from.client->take(answer); });
    return true;
  }

  std::map<ReplicaId, Store> stores_;
  bool has_one_build_ = false;
  std::size_t received_ = 0;
};

StreamRecord record(const std::string& stream) {
  return StreamRecord{StreamKey(stream), kService, kFirst};
}

bool isBuild(const StreamLookup& lookup, const EngineBuild& build) {
  return std::holds_alternative<EngineBuild>(lookup) && std::get<EngineBuild>(lookup) == build;
}

}  // namespace

TEST_CASE("with one build no record is sent, and any engine may continue once each store was asked",
          "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  const auto other = fleet.makeGateway();
  gateway->client->noteBegun(monotonicNow(), record("s"), kLifetime);
  REQUIRE(isBuild(Fleet::find(*gateway, "s"), kFirst));
  REQUIRE(fleet.received() == 0);
  REQUIRE(std::holds_alternative<AnyBuild>(Fleet::find(*other, "s")));
  REQUIRE(fleet.received() == fleet.names().size());
  REQUIRE(fleet.copiesOf(StreamKey("s")) == 0);
}

TEST_CASE("a stream of a build that has just come goes on at it, at a gateway that does not know of it yet",
          "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  gateway->client->setMixedServices(monotonicNow(), {kService});
  gateway->client->noteBegun(monotonicNow(), record("s"), kLifetime);
  const auto behind = fleet.makeGateway();
  REQUIRE(isBuild(Fleet::find(*behind, "s"), kFirst));
  fleet.stop(fleet.names().front());
  REQUIRE(isBuild(Fleet::find(*behind, "s"), kFirst));
}

TEST_CASE("a gateway that is cut off from both stores of a record lets no other build continue", "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  gateway->client->setMixedServices(monotonicNow(), {kService});
  gateway->client->noteBegun(monotonicNow(), record("s"), kLifetime);
  const auto behind = fleet.makeGateway();
  for (const ReplicaId& store : fleet.names()) fleet.stop(store);
  const StreamLookup unknown = Fleet::find(*behind, "s");
  REQUIRE(std::holds_alternative<UnknownStream>(unknown));
  REQUIRE_FALSE(std::get<UnknownStream>(unknown).is_certain);
}

TEST_CASE("with one build a stream goes on while one store is lost or silent", "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  fleet.stop(fleet.names().front());
  REQUIRE(std::holds_alternative<AnyBuild>(Fleet::find(*gateway, "s")));
  Fleet silent;
  const auto other = silent.makeGateway();
  silent.silence(silent.names().back());
  REQUIRE(std::holds_alternative<AnyBuild>(Fleet::find(*other, "s")));
}

TEST_CASE("a stream is found at any gateway after its own has ended, and after the loss of a store",
          "[exchange][build]") {
  Fleet fleet;
  auto gateway = fleet.makeGateway();
  gateway->client->setMixedServices(monotonicNow(), {kService});
  gateway->client->noteBegun(monotonicNow(), record("s"), kLifetime);
  REQUIRE(fleet.copiesOf(StreamKey("s")) == 2);
  gateway.reset();
  const auto other = fleet.makeGateway();
  other->client->setMixedServices(monotonicNow(), {kService});
  for (const ReplicaId& store : fleet.names()) {
    Fleet copy = fleet;
    const auto reader = copy.makeGateway();
    reader->client->setMixedServices(monotonicNow(), {kService});
    copy.stop(store);
    REQUIRE(isBuild(Fleet::find(*reader, "s"), kFirst));
  }
  const StreamLookup unknown = Fleet::find(*other, "t");
  REQUIRE(std::holds_alternative<UnknownStream>(unknown));
  REQUIRE(std::get<UnknownStream>(unknown).is_certain);
}

TEST_CASE("streams that began before the second build came are recorded when it comes", "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  gateway->client->noteBegun(monotonicNow(), record("s"), kLifetime);
  REQUIRE(fleet.copiesOf(StreamKey("s")) == 0);
  gateway->client->setMixedServices(monotonicNow(), {kService});
  REQUIRE(fleet.copiesOf(StreamKey("s")) == 2);
}

TEST_CASE("a store that has lost its records gets them again", "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  gateway->client->setMixedServices(monotonicNow(), {kService});
  for (int i = 0; i < 600; ++i) gateway->client->noteBegun(monotonicNow(), record(std::to_string(i)), kLifetime);
  const ReplicaId store = fleet.names().front();
  fleet.restart(store);
  gateway->client->onConnected(monotonicNow(), store);
  for (int i = 0; i < 600; ++i) REQUIRE(fleet.copiesOf(StreamKey(std::to_string(i))) == 2);
}

TEST_CASE("a gateway whose list of engines may be outdated asks, and goes on only if a store is certain",
          "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  REQUIRE(std::holds_alternative<UnknownStream>(Fleet::find(*gateway, "s", /*is_current=*/false)));
  fleet.knowOneBuild();
  REQUIRE(std::holds_alternative<AnyBuild>(Fleet::find(*gateway, "s", /*is_current=*/false)));
}

TEST_CASE("a store that does not answer delays a lookup for a moment and leaves it uncertain", "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  gateway->client->setMixedServices(monotonicNow(), {kService});
  fleet.silence(fleet.names().front());
  const StreamLookup unknown = Fleet::find(*gateway, "s");
  REQUIRE(std::holds_alternative<UnknownStream>(unknown));
  REQUIRE_FALSE(std::get<UnknownStream>(unknown).is_certain);
  gateway->client->noteBegun(monotonicNow(), record("s"), kLifetime);
  REQUIRE(isBuild(Fleet::find(*fleet.makeGateway(), "s", /*is_current=*/false), kFirst));
}

TEST_CASE("records follow a change of the stores that keep them", "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  gateway->client->setStores(monotonicNow(), {});
  gateway->client->setMixedServices(monotonicNow(), {kService});
  for (int i = 0; i < 50; ++i) gateway->client->noteBegun(monotonicNow(), record(std::to_string(i)), kLifetime);
  REQUIRE(fleet.received() == 0);
  gateway->client->setStores(monotonicNow(), fleet.names());
  for (int i = 0; i < 50; ++i) REQUIRE(fleet.copiesOf(StreamKey(std::to_string(i))) == 2);
}

TEST_CASE("a build of another service is no build of the stream's engines", "[exchange][build]") {
  Fleet fleet;
  const auto gateway = fleet.makeGateway();
  gateway->client->setMixedServices(monotonicNow(), {kService});
  gateway->client->noteBegun(monotonicNow(), StreamRecord{StreamKey("s"), ServiceId("other"), kFirst}, kLifetime);
  REQUIRE(std::holds_alternative<UnknownStream>(Fleet::find(*gateway, "s")));
  gateway->client->setMixedServices(monotonicNow(), {});
  REQUIRE(std::holds_alternative<AnyBuild>(Fleet::find(*gateway, "s")));
}
