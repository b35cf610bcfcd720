#include "process/store/job_executor.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "connection/asio.hpp"
#include "platform/platform_dialect.hpp"

using namespace hatchfork;
using namespace hatchfork::store;
using hatchfork::fleet::RunNews;
using hatchfork::fleet::RunOrder;
using hatchfork::fleet::RunReport;

namespace {

const ReplicaId kSelf("10.0.0.1");
constexpr std::string_view kDocument = R"({"Version":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/x/",
  "Type":"batch","TimeoutMs":1000,"TargetLatencyMs":100,"CompletionTargetMs":10000,"RetentionS":60,"Priority":1,
  "Service":"s","MaxAttempts":3}],
  "Services":[{"Name":"s","HealthPath":"/h","MaxConnections":10,"Protocol":"h1","Tls":false}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

/// An executor whose group and stores are played by the test.
class ExecutorStage {
 public:
  explicit ExecutorStage(Duration loads_known_after = Duration::zero(), std::size_t more_items = 0,
                         request::LoadFeatures load = {}, std::int64_t age_ms = 0)
      : dialect_(platform::makePlatformDialect()) {
    JobExecutorOptions options;
    options.self = kSelf;
    options.loads_known_after = loads_known_after;
    options.load = load;
    auto propose = [this](JobCommand command, std::function<void(bool)> done) {
      if (refuses_proposals) {
        done(false);
        return;
      }
      proposals_.push_back({std::move(command), std::move(done)});
    };
    auto send = [this](const ReplicaId&, const fleet::FleetMessage& message) {
      if (const auto* order = std::get_if<RunOrder>(&message)) orders_.push_back(*order);
      if (const auto* lease = std::get_if<fleet::RunLease>(&message)) leases_.push_back(*lease);
      return true;
    };
    executor_ = std::make_unique<JobExecutor>(options, *dialect_, propose, send, crashes_);
    executor_->setState(state_);
    fleet::FleetView view;
    view.routes = valueOf(dialect_->parseRoutes(kDocument));
    EngineRecord engine;
    engine.id = EngineId("e");
    engine.service = ServiceId("s");
    engine.address = "10.0.1.1:80";
    engine.slots = 8;
    executor_->takeView(view, fleet::FleetChange{true, true, wholeListOf({engine})});
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

  void apply(const JobCommand& command) { state_.apply(1, encodeTagged(command)); }
  JobExecutor& executor() { return *executor_; }
  const RunOrder& lastOrder() const { return orders_.back(); }
  std::size_t orders() const { return orders_.size(); }
  /// Whether the executor has had that run broken off.
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

  /// Bytes of the texts that the oldest proposal lists, and their number.
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

  /// Ends the oldest proposal; applies it to the state first where that is wanted.
  void endProposal(bool applied) {
    Proposal proposal = std::move(proposals_.front());
    proposals_.erase(proposals_.begin());
    if (applied) apply(proposal.command);
    proposal.done(applied);
  }
  std::size_t proposals() const { return proposals_.size(); }
  /// The items whose progress the oldest proposal saves.
  std::vector<ItemProgress> proposedProgress() const {
    return std::get<SaveProgress>(proposals_.front().command).items;
  }

  /// The group has no leader and says so at once.
  bool refuses_proposals = false;

 private:
  struct Proposal {
    JobCommand command;
    std::function<void(bool)> done;
  };
  std::unique_ptr<const Dialect> dialect_;
  JobState state_;
  std::vector<RunOrder> orders_;
  std::vector<fleet::RunLease> leases_;
  std::vector<Proposal> proposals_;
  fleet::CrashWatch crashes_{"store"};
  std::unique_ptr<JobExecutor> executor_;
};

}  // namespace

TEST_CASE("an item's text is listed once its run is whole", "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  REQUIRE(stage.orders() == 1);
  REQUIRE(stage.lastOrder().last_event == 0);
  stage.report(1, 1, "one", 1, false);
  stage.report(1, 2, "\ntwo", 2, true);
  stage.endProposal(true);
  REQUIRE(stage.job().results.front().text == "one\ntwo");
}

TEST_CASE("a result that is passed over is not listed with the half text of a later run", "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  stage.report(1, 1, "one", 1, false);
  stage.executor().tick(connection::monotonicNow());
  stage.endProposal(true);  // The progress up to event 1 is kept.
  stage.report(1, 2, "\ntwo", 2, true);
  REQUIRE(stage.proposals() == 1);  // "\ntwo" after event 1.
  // Another leader keeps progress of its own meanwhile, and this one leads again.
  stage.executor().setLeading(false, 2);
  stage.apply(SaveProgress{{ItemProgress{JobId("j"), "i", 1, stage.job().progress.at("i").chain, 2, 99, "\nTWO", 0}}});
  stage.executor().setLeading(true, 3);
  REQUIRE(stage.lastOrder().last_event == 2);
  stage.endProposal(true);  // Does not follow on what is kept: passed over.
  while (stage.proposals() > 0) stage.endProposal(true);
  REQUIRE(stage.job().results.empty());
  stage.report(3, 1, "\nthree", 3, true);
  stage.endProposal(true);
  REQUIRE(stage.job().results.front().text == "one\nTWO\nthree");
}

TEST_CASE("a report of an older term is not taken", "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  stage.executor().setLeading(false, 2);
  stage.executor().setLeading(true, 3);
  stage.report(1, 1, "one", 1, true);
  REQUIRE(stage.proposals() == 0);
}

TEST_CASE("a run whose store has lost it goes on after the last event that was reported", "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  stage.report(1, 1, "one", 1, false);
  // Neither running nor ended at its store.
  stage.executor().take(RunReport{kSelf, 1, {}, {}});
  const Instant later = connection::monotonicNow() + fromMillis(1000);
  stage.executor().tick(later);
  REQUIRE(stage.executor().waiting() + stage.executor().running() == 1);
}

TEST_CASE("an answer that an engine closed is no result; the next run is asked for the rest", "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  RunNews news;
  news.number = stage.lastOrder().number;
  news.sequence = 1;
  news.text = "one";
  news.last_event = 1;
  news.ended = true;
  news.end = fleet::RunEnd::kClosed;
  REQUIRE_FALSE(stage.lastOrder().after_close);
  stage.executor().take(RunReport{kSelf, 1, {news}, {}});
  REQUIRE(stage.proposals() == 0);
  ExecutorStage::waitUntil(connection::monotonicNow() + fromMillis(200));
  stage.executor().tick(connection::monotonicNow());
  REQUIRE(stage.orders() == 2);
  REQUIRE(stage.lastOrder().last_event == 1);
  REQUIRE(stage.lastOrder().after_close);
}

TEST_CASE("a result that is refused at once is proposed again later, not from within the refusal",
          "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  stage.refuses_proposals = true;
  stage.report(1, 1, "one", 1, true);
  REQUIRE(stage.proposals() == 0);
  stage.refuses_proposals = false;
  stage.executor().tick(connection::monotonicNow());
  REQUIRE(stage.proposals() == 1);
  stage.endProposal(true);
  REQUIRE(stage.job().results.front().text == "one");
}

TEST_CASE("the runs of a job that has ended count for its engines no more", "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  stage.report(1, 1, "one", 1, false);
  REQUIRE(stage.executor().ownShares(connection::monotonicNow()).size() == 1);
  stage.apply(EndJob{JobId("j")});
  stage.executor().noteChange(JobId("j"));
  REQUIRE(stage.executor().running() == 0);
  REQUIRE(stage.executor().ownShares(connection::monotonicNow()).empty());
}

TEST_CASE("a new leader starts no run before it can know what the gateways have in flight", "[store][executor]") {
  ExecutorStage stage(fromMillis(40));
  stage.executor().setLeading(true, 1);
  REQUIRE(stage.orders() == 0);
  const Instant later = connection::monotonicNow() + fromMillis(45);
  while (connection::monotonicNow() < later) {
  }
  stage.executor().tick(later);
  REQUIRE(stage.orders() == 1);
}

namespace {

/// What a store offers of the run that the first leadership ordered, with one more event than was reported.
fleet::RunOffer offerOf(const RunOrder& order, std::uint64_t term, bool whole) {
  fleet::OfferedRun run;
  run.number = order.number;
  run.sequence = whole ? 2 : 1;
  run.job = order.job;
  run.item = order.item.id;
  run.engine = order.engine;
  run.chain = order.chain;
  run.saved_event = order.saved_event;
  run.saved_chain = order.saved_chain;
  run.text = "one\ntwo";
  run.has_text = true;
  run.last_event = 2;
  run.ended = whole;
  if (whole) run.end = fleet::RunEnd::kWhole;
  return fleet::RunOffer{kSelf, term, {run}};
}

}  // namespace

TEST_CASE("a new leader goes on with the runs of the one before, and starts none of them again", "[store][executor]") {
  ExecutorStage stage(fromMillis(40));
  stage.executor().setLeading(true, 1);
  const Instant later = connection::monotonicNow() + fromMillis(45);
  stage.waitUntil(later);
  stage.executor().tick(later);
  REQUIRE(stage.orders() == 1);
  const RunOrder order = stage.lastOrder();
  const bool kept = GENERATE(false, true);
  if (kept) {
    stage.report(1, 1, "one", 1, false);
    stage.executor().tick(later + fromMillis(1100));
    REQUIRE(stage.proposals() == 1);
    stage.endProposal(true);  // The progress up to event 1 is kept.
  }
  stage.executor().setLeading(false, 2);
  REQUIRE_FALSE(stage.hasStopped(order.number));
  stage.executor().setLeading(true, 3);
  const bool whole = GENERATE(false, true);
  stage.executor().take(offerOf(order, 3, whole));
  if (!whole) {
    REQUIRE(stage.executor().running() == 1);
    stage.report(3, 2, "\nthree", 3, true);
  }
  const Instant after = connection::monotonicNow() + fromMillis(45);
  stage.waitUntil(after);
  stage.executor().tick(after);
  REQUIRE(stage.orders() == 1);
  while (stage.proposals() > 0) stage.endProposal(true);
  REQUIRE(stage.job().results.size() == 1);
  REQUIRE(stage.job().results.front().text == (whole ? "one\ntwo" : "one\ntwo\nthree"));
}

TEST_CASE("results that pile up while the group is slow are proposed in entries of bounded size", "[store][executor]") {
  constexpr std::size_t kRuns = 30;
  constexpr std::size_t kTextBytes = 100 * 1024;
  constexpr std::size_t kMostBytes = 256 * 1024 + kTextBytes;
  ExecutorStage stage(fromMillis(40), kRuns);
  stage.executor().setLeading(true, 1);
  // Other stores ran them to their ends for the leader before.
  fleet::RunOffer offer{kSelf, 1, {}};
  for (std::size_t i = 0; i < kRuns; ++i) {
    fleet::OfferedRun run;
    run.number = 1000 + i;
    run.sequence = 1;
    run.job = JobId("j");
    run.item = "i" + std::to_string(i);
    run.engine = EngineId("e");
    run.chain = run.number;
    run.text = std::string(kTextBytes, 't');
    run.has_text = true;
    run.last_event = 1;
    run.ended = true;
    run.end = fleet::RunEnd::kWhole;
    offer.runs.push_back(run);
  }
  stage.executor().take(offer);
  const Instant later = connection::monotonicNow() + fromMillis(45);
  stage.waitUntil(later);
  stage.executor().tick(later);
  std::size_t listed = 0;
  while (stage.proposals() > 0) {
    const auto [bytes, results] = stage.listedByOldest();
    CHECK(bytes <= kMostBytes);
    listed += results;
    stage.endProposal(true);
  }
  CHECK(listed == kRuns);
  CHECK(stage.job().results.size() == kRuns);
}

TEST_CASE("what a leader does not want of what it is offered is stopped", "[store][executor]") {
  ExecutorStage stage;
  stage.executor().setLeading(true, 1);
  const RunOrder order = stage.lastOrder();
  stage.executor().setLeading(false, 2);
  stage.executor().setLeading(true, 3);
  // The item is in flight again already.
  REQUIRE(stage.orders() == 2);
  REQUIRE(stage.lastOrder().number != order.number);
  stage.executor().take(offerOf(order, 3, false));
  stage.executor().tick(connection::monotonicNow() + fromMillis(300));
  REQUIRE(stage.hasStopped(order.number));
  REQUIRE_FALSE(stage.hasStopped(stage.lastOrder().number));
}

TEST_CASE("an offered text of another chain than the kept one is listed whole", "[store][executor]") {
  ExecutorStage stage(fromMillis(40));
  stage.executor().setLeading(true, 1);
  stage.waitUntil(connection::monotonicNow() + fromMillis(45));
  stage.executor().tick(connection::monotonicNow());
  const RunOrder order = stage.lastOrder();
  stage.executor().setLeading(false, 2);
  stage.apply(SaveProgress{{ItemProgress{JobId("j"), "i", 0, 0, 1, 99, "ONE", 0}}});
  stage.executor().setLeading(true, 3);
  stage.executor().take(offerOf(order, 3, true));
  while (stage.proposals() > 0) stage.endProposal(true);
  REQUIRE(stage.job().results.front().text == "one\ntwo");
}

TEST_CASE("a run that was replaced before it is offered is not joined with its successor's text", "[store][executor]") {
  ExecutorStage stage(fromMillis(40));
  stage.executor().setLeading(true, 1);
  stage.waitUntil(connection::monotonicNow() + fromMillis(45));
  stage.executor().tick(connection::monotonicNow());
  const RunOrder replaced = stage.lastOrder();
  stage.report(1, 1, "one", 1, false);
  // Its store has lost it, as far as the leader knows; another run goes on after event 1 and is kept up to event 2.
  stage.executor().take(RunReport{kSelf, 1, {}, {}});
  stage.waitUntil(connection::monotonicNow() + fromMillis(310));
  stage.executor().tick(connection::monotonicNow());
  REQUIRE(stage.orders() == 2);
  REQUIRE(stage.lastOrder().last_event == 1);
  stage.report(1, 1, "\nTWO", 2, false);
  while (stage.proposals() > 0) stage.endProposal(true);
  stage.executor().tick(connection::monotonicNow() + fromMillis(1100));
  REQUIRE(stage.proposals() == 1);
  stage.endProposal(true);
  REQUIRE(stage.job().progress.at("i").last_event == 2);
  // The store of the replaced run was only out of reach, and offers it to the next leader.
  stage.executor().setLeading(false, 2);
  stage.executor().setLeading(true, 3);
  fleet::RunOffer offer = offerOf(replaced, 3, true);
  offer.runs.front().text = "one\ntwo\nthree";
  offer.runs.front().last_event = 3;
  stage.executor().take(offer);
  while (stage.proposals() > 0) stage.endProposal(true);
  REQUIRE(stage.job().results.size() == 1);
  REQUIRE(stage.job().results.front().text == "one\ntwo\nthree");
}

TEST_CASE("the progress of many items is proposed in pieces of a bounded size, each item in its turn",
          "[store][executor]") {
  constexpr std::size_t kItems = 5;
  ExecutorStage stage(fromMillis(40), kItems);
  stage.executor().setLeading(true, 1);
  fleet::RunOffer offer{kSelf, 1, {}};
  for (std::size_t i = 0; i < kItems; ++i) {
    fleet::OfferedRun run;
    run.number = 100 + i;
    run.job = JobId("j");
    run.item = "i" + std::to_string(i);
    run.engine = EngineId("e");
    run.chain = 10 + i;
    run.text = std::string(50 * 1024, 'x');
    run.has_text = true;
    run.last_event = 1;
    offer.runs.push_back(run);
  }
  stage.executor().take(offer);
  REQUIRE(stage.executor().running() == kItems);
  std::vector<std::size_t> pieces;
  std::set<std::string> saved;
  const Instant now = connection::monotonicNow();
  for (int tick = 0; tick < 4; ++tick) {
    stage.executor().tick(now);
    if (stage.proposals() == 0) continue;
    pieces.push_back(stage.proposedProgress().size());
    for (const ItemProgress& entry : stage.proposedProgress()) saved.insert(entry.item);
    stage.endProposal(true);
  }
  REQUIRE(pieces == std::vector<std::size_t>{3, 2});
  REQUIRE(saved.size() == kItems);
}

namespace {

/// Tells the executor of online requests that have taken all slots of the engine in waves, up to now; none do now.
void tellWaves(ExecutorStage& stage) {
  const Instant now = connection::monotonicNow();
  constexpr std::int64_t kSeen = 20000;
  constexpr std::int64_t kPeriod = 4000;
  for (std::int64_t ago = kSeen; ago >= 0; ago -= 50) {
    // High for the first half of each period that ended half a period before now.
    const bool is_high = ago % kPeriod >= kPeriod / 2;
    std::vector<request::EngineShare> others;
    if (is_high) others.push_back({EngineId("e"), 8, 0, 0});
    stage.executor().notePeerLoads(now - fromMillis(ago), others);
  }
}

constexpr Duration kLoadsKnownAfter = fromMillis(40);

request::LoadFeatures bySlack() {
  request::LoadFeatures load;
  load.batch_by_slack = true;
  return load;
}

void leadWithWaves(ExecutorStage& stage, std::uint64_t term) {
  stage.executor().setLeading(true, term);
  tellWaves(stage);
  ExecutorStage::waitUntil(connection::monotonicNow() + kLoadsKnownAfter + fromMillis(5));
  stage.executor().tick(connection::monotonicNow());
}

}  // namespace

TEST_CASE("an item with slack waits for a place that stays free; a leader that knows no wave begins it",
          "[store][executor][trough]") {
  ExecutorStage stage(kLoadsKnownAfter, 0, bySlack());
  leadWithWaves(stage, 1);
  REQUIRE(stage.orders() == 0);
  REQUIRE(stage.executor().waiting() == 1);
  // Its successor has seen no wave: the item isn't held back for what nobody knows.
  stage.executor().setLeading(false, 2);
  stage.executor().setLeading(true, 3);
  ExecutorStage::waitUntil(connection::monotonicNow() + kLoadsKnownAfter + fromMillis(5));
  stage.executor().tick(connection::monotonicNow());
  REQUIRE(stage.orders() == 1);
}

TEST_CASE("an item without slack begins where a place is free now", "[store][executor][trough]") {
  ExecutorStage stage(kLoadsKnownAfter, 0, bySlack(), /*age_ms=*/7500);
  leadWithWaves(stage, 1);
  REQUIRE(stage.orders() == 1);
}

/// Symptom: 83 accepted items of a day were listed neither as complete nor as errored while engines stood half empty.
/// Each was past its due time, so that nothing pressed for it, and no room lasted.
TEST_CASE("an item that is late already is held back by no wave", "[store][executor][trough]") {
  ExecutorStage stage(kLoadsKnownAfter, 0, bySlack(), /*age_ms=*/30000);
  leadWithWaves(stage, 1);
  REQUIRE(stage.orders() == 1);
}

TEST_CASE("with the feature off an item begins where a place is free now", "[store][executor][trough]") {
  request::LoadFeatures load;
  load.batch_by_slack = false;
  ExecutorStage stage(kLoadsKnownAfter, 0, load);
  leadWithWaves(stage, 1);
  REQUIRE(stage.orders() == 1);
}
