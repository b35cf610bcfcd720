#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "connection/asio.hpp"
#include "platform/platform_dialect.hpp"
#include "process/store/item_runner.hpp"
#include "process/store/job_executor.hpp"

namespace hatchfork::store {

/// Two stores with their executors and runners, and a group state to which all proposals are applied. One store leads
/// at a time; the runner of the other one offers its runs to it. All frames pass through their encoding. The group
/// holds the job "j" with the item "i".
class StorePair {
 public:
  StorePair() : dialect_(platform::makePlatformDialect()) {
    view_.routes = valueOf(dialect_->parseRoutes(std::string(kPairDocument)));
    for (const char* address : {"10.0.0.1", "10.0.0.2"}) view_.stores.push_back({ReplicaId(address), ZoneId()});
    for (const char* address : {"10.0.0.1", "10.0.0.2"}) addStore(ReplicaId(address));
    JobSubmission job;
    job.id = JobId("j");
    job.host = "a.example";
    job.path = "/x/";
    job.submitted_at = connection::wallNow();
    job.items.push_back(OpaqueItem{"i", "/x/1", {}, "body", 10});
    apply(SubmitJob{job});
  }

  connection::asio::io_context& context() { return context_; }
  void apply(const JobCommand& command) { state_.apply(1, encodeTagged(command)); }

  /// Replaces all engines of the service.
  void setEngines(std::vector<EngineRecord> engines) {
    const EngineChanges changes = wholeListOf(std::move(engines));
    for (Store& store : stores_) {
      store.executor->takeView(connection::monotonicNow(), view_, fleet::FleetChange{true, true, changes});
    }
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
    const Instant give_up = connection::monotonicNow() + std::chrono::seconds(2);
    while (!done() && connection::monotonicNow() < give_up) {
      context_.restart();
      context_.run_for(fromMillis(1));
      const Instant now = connection::monotonicNow();
      if (now < next_tick_) continue;
      next_tick_ = now + fromMillis(20);
      for (Store& store : stores_) {
        // The control processes prove the view all the time.
        store.executor->takeView(now, view_, {});
        store.executor->tick(now);
        store.runner->tick(now);
      }
    }
    return done();
  }
  void runFor(Duration time) {
    const Instant later = connection::monotonicNow() + time;
    runUntil([later] { return connection::monotonicNow() > later; });
  }
  /// Number of orders that leaders have sent.
  std::size_t ordersSent() const { return orders_sent_; }
  /// Drops the reports of stores, or delivers them again.
  void setDropReports(bool lost) { drops_reports_ = lost; }
  JobExecutor& leader() { return *stores_[leader_].executor; }
  std::size_t runsInFlight() const { return stores_[0].runner->running() + stores_[1].runner->running(); }
  const StoredJob& job() const { return *state_.find(JobId("j")); }
  /// Returns the last event of the text that the group has stored; zero for none.
  std::uint64_t storedEvent() const {
    const auto found = job().progress.find("i");
    return found == job().progress.end() ? 0 : found->second.last_event;
  }
  bool isListed() const { return !job().results.empty(); }

 private:
  static constexpr std::string_view kPairDocument = R"({"Version":1,"Routes":[{"Name":"r","Host":"a.example",
    "PathPrefix":"/x/","Type":"batch","TimeoutMs":1000,"TargetLatencyMs":100,"CompletionTargetMs":10000,
    "RetentionS":60,"Priority":1,"Service":"s","MaxAttempts":3}],
    "Services":[{"Name":"s","HealthPath":"/h","MaxConnections":10,"Protocol":"h1","Tls":false}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

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
        apply(command);
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
    store.runner = std::make_unique<ItemRunner>(context_, *dialect_, id, send);
    store.executor->setState(state_);
    stores_.push_back(std::move(store));
  }

  void deliver(const ReplicaId& to, const fleet::FleetMessage& message) {
    if (std::holds_alternative<fleet::RunOrder>(message)) ++orders_sent_;
    const bool is_report = std::holds_alternative<fleet::RunReport>(message);
    if (is_report && drops_reports_) return;
    connection::asio::post(context_, [this, to, frame = encodeTagged(message)] {
      const fleet::FleetMessage received = valueOf(decodeTagged<fleet::FleetMessage>(frame));
      for (Store& store : stores_) {
        if (store.id == to) receive(store, received);
      }
    });
  }

  static void receive(Store& store, const fleet::FleetMessage& message) {
    if (const auto* order = std::get_if<fleet::RunOrder>(&message)) store.runner->take(*order);
    if (const auto* lease = std::get_if<fleet::RunLease>(&message)) store.runner->take(*lease);
    if (const auto* report = std::get_if<fleet::RunReport>(&message)) store.executor->take(*report);
    if (const auto* offer = std::get_if<fleet::RunOffer>(&message)) store.executor->take(*offer);
    if (const auto* summaries = std::get_if<fleet::RunSummaries>(&message)) store.executor->take(*summaries);
    if (const auto* texts = std::get_if<fleet::RunTexts>(&message)) store.executor->take(*texts);
  }

  connection::asio::io_context context_;
  std::unique_ptr<const Dialect> dialect_;
  fleet::CrashWatch crashes_{"store"};
  fleet::FleetView view_;
  JobState state_;
  std::vector<Store> stores_;
  std::size_t leader_ = 1;
  std::uint64_t term_ = 0;
  Instant next_tick_{};
  bool drops_reports_ = false;
  std::size_t orders_sent_ = 0;
};

}  // namespace hatchfork::store
