#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "connection/asio.hpp"
#include "platform/platform_dialect.hpp"
#include "process/store/job_executor.hpp"

namespace hatchfork::store {

using fleet::RunNews;
using fleet::RunOrder;
using fleet::RunReport;

inline const ReplicaId kSelf("10.0.0.1");
inline constexpr std::string_view kDocument =
    R"({"Version":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/x/",
  "Type":"batch","TimeoutMs":1000,"TargetLatencyMs":100,"CompletionTargetMs":10000,"RetentionS":60,"Priority":1,
  "Service":"s","MaxAttempts":3}],
  "Services":[{"Name":"s","HealthPath":"/h","MaxConnections":10,"Protocol":"h1","Tls":false}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

/// An executor whose group and stores are simulated by the test.
class ExecutorFixture {
 public:
  /// `document`: the configuration that the executor knows at first; empty for none.
  explicit ExecutorFixture(Duration start_delay = Duration::zero(), std::size_t more_items = 0,
                           request::LoadFeatures load = {}, std::int64_t age_ms = 0,
                           std::string_view document = kDocument, request::ZoneRegions regions = {})
      : dialect_(platform::makePlatformDialect()) {
    JobExecutorOptions options;
    options.self = kSelf;
    options.start_delay = start_delay;
    options.load = load;
    options.regions = std::move(regions);
    auto propose = [this](JobCommand command, std::function<void(bool)> done) {
      if (refuses_proposals) {
        done(false);
        return;
      }
      proposals_.push_back({std::move(command), std::move(done)});
    };
    auto send = [this](const ReplicaId& to, const fleet::FleetMessage& message) {
      if (const auto* order = std::get_if<RunOrder>(&message)) orders_.push_back(*order);
      if (const auto* lease = std::get_if<fleet::RunLease>(&message)) {
        leases_.push_back(*lease);
        untaken_leases_.emplace_back(to, *lease);
      }
      return true;
    };
    executor_ = std::make_unique<JobExecutor>(options, *dialect_, propose, send, crashes_);
    executor_->setState(state_);
    if (!document.empty()) view_.routes = valueOf(dialect_->parseRoutes(std::string(document)));
    EngineRecord engine;
    engine.id = EngineId("e");
    engine.service = ServiceId("s");
    engine.address = "10.0.1.1:80";
    engine.slots = 8;
    executor_->takeView(connection::monotonicNow(), view_,
                        fleet::FleetChange{!document.empty(), true, wholeListOf({engine})});
    JobSubmission job;
    job.id = JobId("j");
    job.host = "a.example";
    job.path = "/x/";
    job.submitted_at = connection::wallNow() - age_ms;
    job.items.push_back(OpaqueItem{"i", "/x/1", {}, "body", 10});
    for (std::size_t i = 0; i < more_items; ++i) {
      job.items.push_back(OpaqueItem{"i" + std::to_string(i), "/x/1", {}, "body", 10});
    }
    apply(SubmitJob{job});
  }

  /// Replaces the engines by one of each build, named after it, with this many slots each.
  void setBuilds(const std::vector<std::string>& builds, std::uint32_t slots = 8) {
    std::vector<EngineRecord> engines;
    for (const std::string& build : builds) {
      EngineRecord engine;
      engine.id = EngineId("e-" + build);
      engine.service = ServiceId("s");
      engine.address = "10.0.1.2:" + std::to_string(80 + engines.size());
      engine.slots = slots;
      engine.build = EngineBuild(build);
      engines.push_back(engine);
    }
    view_.mixed_services.clear();
    if (builds.size() > 1) view_.mixed_services.insert(ServiceId("s"));
    executor_->takeView(connection::monotonicNow(), view_,
                        fleet::FleetChange{false, true, wholeListOf(std::move(engines))});
  }

  /// Replaces the engines.
  void setEngines(std::vector<EngineRecord> engines) {
    executor_->takeView(connection::monotonicNow(), view_,
                        fleet::FleetChange{false, false, wholeListOf(std::move(engines))});
  }

  /// Sets the stores that may run items, besides this one.
  void setStores(const std::vector<ReplicaId>& stores) {
    view_.stores.clear();
    for (const ReplicaId& store : stores) {
      fleet::StoreAddress& address = view_.stores.emplace_back();
      address.address = store;
    }
    executor_->takeView(connection::monotonicNow(), view_, fleet::FleetChange{true, true, {}});
  }
  /// Puts a configuration in force.
  void takeDocument(Instant now, std::string_view document) {
    view_.routes = valueOf(dialect_->parseRoutes(std::string(document)));
    executor_->takeView(now, view_, fleet::FleetChange{true, false, {}});
  }
  /// Delivers a proof that the view is the newest one.
  void prove(Instant now) { executor_->takeView(now, view_, {}); }
  /// Returns the leases since the last call, with the stores that they were sent to.
  std::vector<std::pair<ReplicaId, fleet::RunLease>> takeLeases() { return std::exchange(untaken_leases_, {}); }
  /// Delivers a frame of a store.
  void deliver(const fleet::FleetMessage& message) {
    if (const auto* report = std::get_if<RunReport>(&message)) executor_->take(*report);
    if (const auto* offer = std::get_if<fleet::RunOffer>(&message)) executor_->take(*offer);
    if (const auto* summaries = std::get_if<fleet::RunSummaries>(&message)) executor_->take(*summaries);
    if (const auto* texts = std::get_if<fleet::RunTexts>(&message)) executor_->take(*texts);
  }

  void apply(const JobCommand& command) { state_.apply(1, encodeTagged(command)); }
  JobExecutor& executor() { return *executor_; }
  fleet::CrashWatch& crashes() { return crashes_; }
  const RunOrder& lastOrder() const { return orders_.back(); }
  std::size_t orders() const { return orders_.size(); }
  /// Returns the number of items of the job that were ordered to run.
  std::size_t ordersOf(const std::string& job) const {
    return static_cast<std::size_t>(
        std::count_if(orders_.begin(), orders_.end(), [&](const RunOrder& order) { return order.job.value == job; }));
  }
  /// Returns the number of orders until `count` items of the job were ordered.
  std::size_t ordersUntilAllOf(const std::string& job, std::size_t count) const {
    std::size_t found = 0;
    for (std::size_t i = 0; i < orders_.size(); ++i) {
      if (orders_[i].job.value == job && ++found == count) return i + 1;
    }
    return orders_.size() + 1;
  }
  /// True if the executor has stopped the run.
  bool hasStopped(std::uint64_t number) const {
    return std::any_of(leases_.begin(), leases_.end(), [number](const fleet::RunLease& lease) {
      return std::find(lease.stopped.begin(), lease.stopped.end(), number) != lease.stopped.end();
    });
  }
  const StoredJob& job() const { return *state_.find(JobId("j")); }

  void report(std::uint64_t term, std::uint64_t sequence, const std::string& text, std::uint64_t last_event,
              bool whole) {
    RunNews news;
    news.number = lastOrder().number;
    news.sequence = sequence;
    news.text = text;
    news.last_event = last_event;
    news.ended = whole;
    if (whole) news.end = fleet::RunEnd::kWhole;
    executor_->take(RunReport{kSelf, term, {news}, {lastOrder().number}});
  }

  /// Returns the bytes of text and the number of results in the oldest proposal.
  std::pair<std::size_t, std::size_t> listedByOldest() const {
    const auto& results = std::get<ListResults>(proposals_.front().command).results;
    std::size_t bytes = 0;
    for (const JobResult& entry : results) bytes += entry.result.text.size();
    return {bytes, results.size()};
  }

  static void waitUntil(Instant time) {
    while (connection::monotonicNow() < time) {
    }
  }

  /// Ends the oldest proposal, as applied to the state or as refused.
  void endProposal(bool applied) {
    Proposal proposal = std::move(proposals_.front());
    proposals_.erase(proposals_.begin());
    if (applied) apply(proposal.command);
    proposal.done(applied);
  }
  std::size_t proposals() const { return proposals_.size(); }
  /// Returns the removals that were proposed, and ends these proposals as applied.
  std::vector<DropJobs> takeProposedDrops() {
    std::vector<DropJobs> drops;
    for (Proposal& proposal : proposals_) {
      const auto* drop = std::get_if<DropJobs>(&proposal.command);
      if (drop == nullptr) continue;
      drops.push_back(*drop);
      apply(proposal.command);
      proposal.done(true);
    }
    std::erase_if(proposals_,
                  [](const Proposal& proposal) { return std::holds_alternative<DropJobs>(proposal.command); });
    return drops;
  }
  /// Returns the progress in the oldest proposal.
  std::vector<ItemProgress> proposedProgress() const {
    return std::get<SaveProgress>(proposals_.front().command).items;
  }

  /// True if the group refuses proposals at once, as it does without a leader.
  bool refuses_proposals = false;

 private:
  struct Proposal {
    JobCommand command;
    std::function<void(bool)> done;
  };
  std::unique_ptr<const Dialect> dialect_;
  fleet::FleetView view_;
  JobState state_;
  std::vector<RunOrder> orders_;
  std::vector<fleet::RunLease> leases_;
  std::vector<std::pair<ReplicaId, fleet::RunLease>> untaken_leases_;
  std::vector<Proposal> proposals_;
  fleet::CrashWatch crashes_{"store"};
  std::unique_ptr<JobExecutor> executor_;
};

}  // namespace hatchfork::store
