// Guards against lost answers: items that failed at each run were sent again long after their attempts were used up.
// An engine answers 500 or 422, and the store that ran the item reports that only once; the report reaches a leader
// that has just lost its leadership, or that has already given the run up as lost or preempted; the answer is not
// counted, and the next leader orders the item again.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>

#include "connection/asio.hpp"
#include "platform/platform_dialect.hpp"
#include "process/store/item_runner.hpp"
#include "process/store/job_executor.hpp"
#include "tests/connection/scripted_engine.hpp"

using namespace hatchfork;
using namespace hatchfork::store;
using connection::monotonicNow;

namespace {

constexpr std::size_t kMaxAttempts = 3;
constexpr std::string_view kDocument = R"({"Version":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/x/",
  "Type":"batch","TimeoutMs":1000,"TargetLatencyMs":100,"CompletionTargetMs":10000,"RetentionS":60,"Priority":1,
  "Service":"s","MaxAttempts":3}],
  "Services":[{"Name":"s","HealthPath":"/h","MaxConnections":10,"Protocol":"h1","Tls":false}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

std::string answerOf(unsigned status) {
  return fmt::format("HTTP/1.1 {} Failed\r\nX-Attempt-Id: i\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status);
}

/// Two stores with their executors and runners, one engine that gives each run the same answer, and a group state to
/// which all proposals are applied. One store leads at a time; the runner of the other one offers its runs to it.
class StorePair {
 public:
  explicit StorePair(unsigned status) : engine_(context_, answerOf(status)), dialect_(platform::makePlatformDialect()) {
    for (const char* address : {"10.0.0.1", "10.0.0.2"}) addStore(ReplicaId(address));
    JobSubmission job;
    job.id = JobId("j");
    job.host = "a.example";
    job.path = "/x/";
    job.submitted_at = connection::wallNow();
    job.items.push_back(OpaqueItem{"i", "/x/1", {}, "body", 10});
    state_.apply(1, encodeTagged(JobCommand(SubmitJob{job})));
  }

  /// Ends the leadership of the store that leads, and begins one at the other store.
  void changeLeader() {
    ++term_;
    for (Store& store : stores_) store.executor->setLeading(false, term_);
    leader_ = 1 - leader_;
    stores_[leader_].executor->setLeading(true, term_);
  }
  /// Handles events until `done`, or for two seconds; true if it is done.
  bool runUntil(const std::function<bool()>& done) {
    const Instant give_up = monotonicNow() + std::chrono::seconds(2);
    while (!done() && monotonicNow() < give_up) {
      context_.restart();
      context_.run_for(fromMillis(1));
      const Instant now = monotonicNow();
      if (now < next_tick_) continue;
      next_tick_ = now + fromMillis(20);
      for (Store& store : stores_) {
        // The control processes prove the view all the time.
        store.executor->takeView(now, view(), {});
        store.executor->tick(now);
        store.runner->tick(now);
      }
    }
    return done();
  }
  /// Drops the reports of stores, or delivers them again.
  void setDropReports(bool lost) { drops_reports_ = lost; }
  /// Makes the leader preempt the run at the engine, as for an online request.
  void preempt() { stores_[leader_].executor->preemptAt(EngineId("e")); }
  /// True if the engine has answered the given number of runs and none is in flight.
  bool isAnswered(std::size_t run) const { return runsAtEngine() >= run && runsInFlight() == 0; }
  std::size_t runsAtEngine() const { return engine_.requests().size(); }
  std::size_t runsInFlight() const { return stores_[0].runner->running() + stores_[1].runner->running(); }
  const StoredJob& job() const { return *state_.find(JobId("j")); }
  bool isListed() const { return !job().results.empty(); }

 private:
  struct Store {
    ReplicaId id;
    std::unique_ptr<JobExecutor> executor;
    std::unique_ptr<ItemRunner> runner;
  };

  void addStore(const ReplicaId& id) {
    JobExecutorOptions options;
    options.self = id;
    options.start_delay = fromMillis(100);
    auto propose = [this](const JobCommand& command, const std::function<void(bool)>& done) {
      connection::asio::post(context_, [this, command, done] {
        state_.apply(1, encodeTagged(command));
        done(true);
      });
    };
    auto send = [this](const ReplicaId& to, const fleet::FleetMessage& message) {
      deliver(to, message);
      return true;
    };
    Store store;
    store.id = id;
    store.executor = std::make_unique<JobExecutor>(options, *dialect_, propose, send, crashes_);
    store.runner = std::make_unique<ItemRunner>(context_, *dialect_, id, send, crashes_);
    store.executor->setState(state_);
    store.executor->takeView(monotonicNow(), view(), fleet::FleetChange{true, true, wholeListOf({engine()})});
    stores_.push_back(std::move(store));
  }

  EngineRecord engine() const {
    EngineRecord engine;
    engine.id = EngineId("e");
    engine.service = ServiceId("s");
    engine.address = fmt::format("127.0.0.1:{}", engine_.port());
    engine.slots = 8;
    return engine;
  }

  fleet::FleetView view() const {
    fleet::FleetView view;
    view.routes = valueOf(dialect_->parseRoutes(kDocument));
    for (const char* address : {"10.0.0.1", "10.0.0.2"}) view.stores.push_back({ReplicaId(address), ZoneId()});
    return view;
  }

  void deliver(const ReplicaId& to, const fleet::FleetMessage& message) {
    const bool is_report = std::holds_alternative<fleet::RunReport>(message);
    if (is_report && drops_reports_) return;
    connection::asio::post(context_, [this, to, message] {
      for (Store& store : stores_) {
        if (store.id != to) continue;
        if (const auto* order = std::get_if<fleet::RunOrder>(&message)) store.runner->take(*order);
        if (const auto* lease = std::get_if<fleet::RunLease>(&message)) store.runner->take(*lease);
        if (const auto* report = std::get_if<fleet::RunReport>(&message)) store.executor->take(*report);
        if (const auto* offer = std::get_if<fleet::RunOffer>(&message)) store.executor->take(*offer);
      }
    });
  }

  connection::asio::io_context context_;
  connection::ScriptedEngine engine_;
  std::unique_ptr<const Dialect> dialect_;
  fleet::CrashWatch crashes_{"store"};
  JobState state_;
  std::vector<Store> stores_;
  std::size_t leader_ = 1;
  std::uint64_t term_ = 0;
  Instant next_tick_{};
  bool drops_reports_ = false;
};

}  // namespace

TEST_CASE("leaders in series send an item that fails at each run no more often than its attempts allow",
          "[store][answers]") {
  StorePair stores(500);
  for (std::size_t change = 0; change < 3 * kMaxAttempts && !stores.isListed(); ++change) {
    stores.changeLeader();
    const std::size_t before = stores.runsAtEngine();
    stores.runUntil([&] { return stores.runsAtEngine() > before || stores.isListed(); });
    // The store has the answer but has not reported it yet.
    stores.runUntil([&] { return stores.runsInFlight() == 0; });
  }
  stores.runUntil([&] { return stores.isListed(); });
  REQUIRE(stores.runsAtEngine() == kMaxAttempts);
  REQUIRE(stores.isListed());
  REQUIRE(stores.job().results.front().outcome == ItemOutcome::kErrored);
}

TEST_CASE("an answer is counted even if its report is lost", "[store][answers]") {
  StorePair stores(422);
  stores.changeLeader();
  stores.setDropReports(true);
  REQUIRE(stores.runUntil([&] { return stores.isAnswered(1); }));
  const Instant later = monotonicNow() + fromMillis(60);
  stores.runUntil([&] { return monotonicNow() > later; });
  stores.setDropReports(false);
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.runsAtEngine() == 1);
}

TEST_CASE("an answer is counted even if its run was preempted for an online request", "[store][answers]") {
  StorePair stores(422);
  stores.changeLeader();
  REQUIRE(stores.runUntil([&] { return stores.isAnswered(1); }));
  stores.preempt();
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.runsAtEngine() == 1);
}

TEST_CASE("a new leader orders no item again before each store has reported the answers of its engines",
          "[store][answers]") {
  StorePair stores(422);
  stores.changeLeader();
  stores.setDropReports(true);
  REQUIRE(stores.runUntil([&] { return stores.isAnswered(1); }));
  stores.changeLeader();
  // Longer than the start delay of a new leader.
  const Instant later = monotonicNow() + fromMillis(400);
  stores.runUntil([&] { return monotonicNow() > later; });
  stores.setDropReports(false);
  REQUIRE(stores.runUntil([&] { return stores.isListed(); }));
  REQUIRE(stores.runsAtEngine() == 1);
}
