#include <catch2/catch.hpp>

#include "platform/platform_dialect.hpp"
#include "process/fleet/feed_client.hpp"
#include "process/fleet/feed_server.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;
using connection::monotonicNow;

namespace {

constexpr std::uint16_t kPort = 17942;
constexpr int kEngines = 400;

EngineRecord engine(int number, std::uint32_t slots = 8) {
  const std::string text = std::to_string(number);
  return EngineRecord{EngineId("i-" + text), ServiceId("s"), "10.0.0.1:" + text, ZoneId("z1"), slots, false};
}

/// A control process's feed on loopback, and one subscriber.
class FeedStage {
 public:
  /// `is_restored`: the control process has just read its snapshot and remembers no changes.
  explicit FeedStage(bool is_restored = false)
      : dialect_(platform::makePlatformDialect()),
        feed_(state_, stores_),
        server_(
            context_, connection::Endpoint{"127.0.0.1", kPort},
            [this](const std::string& body, const connection::FrameServer::ConnectionPtr& from) {
              const auto message = decodeTagged<FleetMessage>(body);
              connection_ = from;
              feed_.subscribe(monotonicNow(), std::get<SubscribeFrame>(valueOf(message)), from);
            },
            [this](const connection::FrameServer::ConnectionPtr& closed) { feed_.unsubscribe(closed); }) {
    for (int i = 0; i < kEngines; ++i) apply(RegisterEngine{engine(i)});
    if (is_restored) REQUIRE(isOk(state_.restore(state_.snapshot())));
    feed_.setControls({ReplicaId("127.0.0.1")});
    REQUIRE(isOk(server_.start()));
    client_ = std::make_unique<FeedClient>(
        context_, FeedClientOptions{"g1", kPort, {ReplicaId("127.0.0.1")}}, *dialect_,
        [this](const FleetView&, const FleetChange& change) { take(change); }, nullptr);
    client_->start();
    prove();
    runUntil([this] { return engines.size() == kEngines; });
  }

  void apply(const FleetCommand& command) { state_.apply(1, encodeTagged(command)); }
  void prove() { feed_.proveFresh(monotonicNow(), monotonicNow()); }
  template <class Condition>
  void runUntil(Condition condition) {
    const Instant give_up = monotonicNow() + std::chrono::seconds(10);
    while (!condition() && monotonicNow() < give_up) context_.run_for(std::chrono::milliseconds(5));
    REQUIRE(condition());
  }
  /// Bytes that the next update costs.
  std::uint64_t bytesOfUpdate(const FleetCommand& command) {
    const std::uint64_t before = connection_->bytesSent();
    apply(command);
    prove();
    runUntil([this, before] { return connection_->bytesSent() > before; });
    return connection_->bytesSent() - before;
  }
  const FleetView& view() const { return client_->view(); }
  /// Another subscriber joins, and knows as many engines as the first one.
  void joinLate() {
    late_client_ = std::make_unique<FeedClient>(
        context_, FeedClientOptions{"g2", kPort, {ReplicaId("127.0.0.1")}}, *dialect_,
        [this](const FleetView&, const FleetChange& change) {
          late_got_whole_list = late_got_whole_list || change.engines.is_whole;
          applyTo(late_engines, change.engines);
        },
        nullptr);
    late_client_->start();
    runUntil([this] {
      prove();
      return late_engines.size() == engines.size();
    });
  }

  int changes = 0;
  /// What the subscriber's engines are by all that it was told, and how many records that took.
  std::map<EngineId, EngineRecord> engines;
  std::size_t engines_told = 0;
  std::map<EngineId, EngineRecord> late_engines;
  bool late_got_whole_list = false;

 private:
  static void applyTo(std::map<EngineId, EngineRecord>& engines, const EngineChanges& changes) {
    if (changes.is_whole) engines.clear();
    for (const EngineId& engine : changes.removed) engines.erase(engine);
    for (const EngineRecord& engine : changes.present) engines[engine.id] = engine;
  }
  void take(const FleetChange& change) {
    changes += change.isEmpty() ? 0 : 1;
    engines_told += change.engines.present.size();
    applyTo(engines, change.engines);
  }

  connection::asio::io_context context_;
  std::unique_ptr<const Dialect> dialect_;
  FleetState state_;
  StoreDirectory stores_;
  FeedServer feed_;
  connection::FrameServer server_;
  std::unique_ptr<FeedClient> client_;
  std::unique_ptr<FeedClient> late_client_;
  connection::FrameServer::ConnectionPtr connection_;
};

}  // namespace

TEST_CASE("a change of one engine costs its own size, however many there are", "[fleet][feed]") {
  FeedStage stage;
  const std::uint64_t bytes = stage.bytesOfUpdate(RegisterEngine{engine(7, 16)});
  REQUIRE(bytes < 400);
  stage.runUntil([&] { return stage.view().engines_revision == kEngines + 1; });
  REQUIRE(stage.engines.size() == kEngines);
  REQUIRE(stage.engines.at(EngineId("i-7")).slots == 16);
  // All of them when it subscribed, then the one.
  REQUIRE(stage.engines_told == kEngines + 1);
}

TEST_CASE("an engine that has left is gone at subscribers", "[fleet][feed]") {
  FeedStage stage;
  REQUIRE(stage.bytesOfUpdate(DepartEngine{EngineId("i-3")}) < 200);
  stage.runUntil([&] { return stage.engines.size() == kEngines - 1; });
}

TEST_CASE("a proof of freshness carries nothing that the subscriber holds", "[fleet][feed]") {
  FeedStage stage;
  const int changes = stage.changes;
  // An engine that changes nothing.
  REQUIRE(stage.bytesOfUpdate(RegisterEngine{engine(7)}) < 60);
  REQUIRE(stage.changes == changes);
}

TEST_CASE("subscribers hear which zones are evacuated, and no older state of them", "[fleet][feed][evacuation]") {
  FeedStage stage;
  stage.apply(SetZoneEvacuated{ZoneId("z1"), true});
  stage.prove();
  stage.runUntil([&] { return stage.view().evacuated.zones.contains(ZoneId("z1")); });
  stage.apply(SetZoneEvacuated{ZoneId("z1"), false});
  stage.prove();
  stage.runUntil([&] { return stage.view().evacuated.revision == 2; });
  REQUIRE(stage.view().evacuated.zones.empty());
}

TEST_CASE("a subscriber that lacks more than is remembered gets the list of all and what changed since",
          "[fleet][feed]") {
  FleetState state;
  const auto apply = [&](const FleetCommand& command) { state.apply(1, encodeTagged(command)); };
  RegisterEngines all;
  for (int i = 0; i < 5000; ++i) all.engines.push_back(engine(i));
  apply(all);
  FleetState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE_FALSE(restored.remembersChangesSince(7));
  EngineChanges held = wholeListOf({engine(1), engine(2)});
  held.append(EngineChanges{false, {engine(3)}, {EngineId("i-1")}});
  REQUIRE(held.is_whole);
  REQUIRE(held.present == std::vector<EngineRecord>{engine(2), engine(3)});
  held.append(wholeListOf({engine(9)}));
  REQUIRE(held.present == std::vector<EngineRecord>{engine(9)});
}
