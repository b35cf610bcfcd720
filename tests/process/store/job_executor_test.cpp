#include "process/store/job_executor.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "connection/asio.hpp"
#include "executor_fixture.hpp"

using namespace hatchfork;
using namespace hatchfork::store;

TEST_CASE("an item's text is listed once its run is whole", "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  REQUIRE(fixture.orders() == 1);
  REQUIRE(fixture.lastOrder().last_event == 0);
  fixture.report(1, 1, "one", 1, false);
  fixture.report(1, 2, "\ntwo", 2, true);
  fixture.endProposal(true);
  REQUIRE(fixture.job().results.front().text == "one\ntwo");
}

TEST_CASE("a result that is skipped is not listed with the partial text of a later run", "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  fixture.report(1, 1, "one", 1, false);
  fixture.executor().tick(connection::monotonicNow());
  fixture.endProposal(true);  // The progress up to event 1 is stored.
  fixture.report(1, 2, "\ntwo", 2, true);
  REQUIRE(fixture.proposals() == 1);  // "\ntwo" after event 1.
  // Another leader stores progress of its own meanwhile, and then this store leads again.
  fixture.executor().setLeading(false, 2);
  fixture.apply(
      SaveProgress{{ItemProgress{JobId("j"), "i", 1, fixture.job().progress.at("i").chain, 2, 99, "\nTWO", 0}}});
  fixture.executor().setLeading(true, 3);
  REQUIRE(fixture.lastOrder().last_event == 2);
  fixture.endProposal(true);  // Does not continue the stored progress: skipped.
  while (fixture.proposals() > 0) fixture.endProposal(true);
  REQUIRE(fixture.job().results.empty());
  fixture.report(3, 1, "\nthree", 3, true);
  fixture.endProposal(true);
  REQUIRE(fixture.job().results.front().text == "one\nTWO\nthree");
}

// Guards against results that contain the stored text twice, before and inside the text of the run that began anew.
TEST_CASE("an item that begins anew because its text can't be resumed is listed with its new text alone",
          "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  fixture.report(1, 1, "one", 1, false);
  fixture.executor().tick(connection::monotonicNow());
  fixture.endProposal(true);  // The progress up to event 1 is stored.
  // An event without an identifier: no run can resume after it.
  RunNews news;
  news.number = fixture.lastOrder().number;
  news.sequence = 2;
  news.text = "\n[DONE]";
  news.ended = true;
  news.end = fleet::RunEnd::kBroken;
  fixture.executor().take(RunReport{kSelf, 1, {news}, {}});
  ExecutorFixture::waitUntil(connection::monotonicNow() + fromMillis(200));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.orders() == 2);
  REQUIRE(fixture.lastOrder().last_event == 0);
  REQUIRE(fixture.lastOrder().saved_event == 0);
  fixture.report(1, 1, "ONE\n[DONE]", 0, true);
  while (fixture.proposals() > 0) fixture.endProposal(true);
  REQUIRE(fixture.job().results.front().text == "ONE\n[DONE]");
}

TEST_CASE("a report of an older term is ignored", "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  fixture.executor().setLeading(false, 2);
  fixture.executor().setLeading(true, 3);
  fixture.report(1, 1, "one", 1, true);
  REQUIRE(fixture.proposals() == 0);
}

TEST_CASE("an item whose run was lost by its store is scheduled again", "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  fixture.report(1, 1, "one", 1, false);
  // Neither running nor ended at its store.
  fixture.executor().take(RunReport{kSelf, 1, {}, {}});
  const Instant later = connection::monotonicNow() + fromMillis(1000);
  fixture.executor().tick(later);
  REQUIRE(fixture.executor().waiting() + fixture.executor().running() == 1);
}

TEST_CASE("an answer that ends with a closed connection is no result; the next run requests the rest",
          "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  RunNews news;
  news.number = fixture.lastOrder().number;
  news.sequence = 1;
  news.text = "one";
  news.last_event = 1;
  news.ended = true;
  news.end = fleet::RunEnd::kClosed;
  REQUIRE_FALSE(fixture.lastOrder().after_close);
  fixture.executor().take(RunReport{kSelf, 1, {news}, {}});
  REQUIRE(fixture.proposals() == 0);
  ExecutorFixture::waitUntil(connection::monotonicNow() + fromMillis(200));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.orders() == 2);
  REQUIRE(fixture.lastOrder().last_event == 1);
  REQUIRE(fixture.lastOrder().after_close);
}

TEST_CASE("a result that is refused at once is proposed again later, not from within the refusal",
          "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  fixture.refuses_proposals = true;
  fixture.report(1, 1, "one", 1, true);
  REQUIRE(fixture.proposals() == 0);
  fixture.refuses_proposals = false;
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.proposals() == 1);
  fixture.endProposal(true);
  REQUIRE(fixture.job().results.front().text == "one");
}

TEST_CASE("the runs of an ended job no longer count as load of their engines", "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  fixture.report(1, 1, "one", 1, false);
  REQUIRE(fixture.executor().ownShares(connection::monotonicNow()).size() == 1);
  fixture.apply(EndJob{JobId("j")});
  fixture.executor().noteChange(JobId("j"));
  REQUIRE(fixture.executor().running() == 0);
  REQUIRE(fixture.executor().ownShares(connection::monotonicNow()).empty());
}

TEST_CASE("a new leader starts no run before the gateways had time to report their load", "[store][executor]") {
  ExecutorFixture fixture(fromMillis(40));
  fixture.executor().setLeading(true, 1);
  REQUIRE(fixture.orders() == 0);
  const Instant later = connection::monotonicNow() + fromMillis(45);
  while (connection::monotonicNow() < later) {
  }
  fixture.executor().tick(later);
  REQUIRE(fixture.orders() == 1);
}

namespace {

/// A store's offer of the run that the first leadership ordered, with one more event than was reported.
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

TEST_CASE("a new leader adopts the runs of its predecessor, and starts none of them again", "[store][executor]") {
  ExecutorFixture fixture(fromMillis(40));
  fixture.executor().setLeading(true, 1);
  const Instant later = connection::monotonicNow() + fromMillis(45);
  fixture.waitUntil(later);
  fixture.executor().tick(later);
  REQUIRE(fixture.orders() == 1);
  const RunOrder order = fixture.lastOrder();
  const bool stored = GENERATE(false, true);
  if (stored) {
    fixture.report(1, 1, "one", 1, false);
    fixture.executor().tick(later + fromMillis(1100));
    REQUIRE(fixture.proposals() == 1);
    fixture.endProposal(true);  // The progress up to event 1 is stored.
  }
  fixture.executor().setLeading(false, 2);
  REQUIRE_FALSE(fixture.hasStopped(order.number));
  fixture.executor().setLeading(true, 3);
  const bool whole = GENERATE(false, true);
  fixture.executor().take(offerOf(order, 3, whole));
  if (!whole) {
    REQUIRE(fixture.executor().running() == 1);
    fixture.report(3, 2, "\nthree", 3, true);
  }
  const Instant after = connection::monotonicNow() + fromMillis(45);
  fixture.waitUntil(after);
  fixture.executor().tick(after);
  REQUIRE(fixture.orders() == 1);
  while (fixture.proposals() > 0) fixture.endProposal(true);
  REQUIRE(fixture.job().results.size() == 1);
  REQUIRE(fixture.job().results.front().text == (whole ? "one\ntwo" : "one\ntwo\nthree"));
}

TEST_CASE("results that accumulate while the group is slow are proposed in entries of bounded size",
          "[store][executor]") {
  constexpr std::size_t kRuns = 30;
  constexpr std::size_t kTextBytes = 100 * 1024;
  constexpr std::size_t kMaxBytes = 256 * 1024 + kTextBytes;
  ExecutorFixture fixture(fromMillis(40), kRuns);
  fixture.executor().setLeading(true, 1);
  // Other stores completed these runs for the previous leader.
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
  fixture.executor().take(offer);
  const Instant later = connection::monotonicNow() + fromMillis(45);
  fixture.waitUntil(later);
  fixture.executor().tick(later);
  std::size_t listed = 0;
  while (fixture.proposals() > 0) {
    const auto [bytes, results] = fixture.listedByOldest();
    CHECK(bytes <= kMaxBytes);
    listed += results;
    fixture.endProposal(true);
  }
  CHECK(listed == kRuns);
  CHECK(fixture.job().results.size() == kRuns);
}

TEST_CASE("offered runs that a leader does not need are stopped", "[store][executor]") {
  ExecutorFixture fixture;
  fixture.executor().setLeading(true, 1);
  const RunOrder order = fixture.lastOrder();
  fixture.executor().setLeading(false, 2);
  fixture.executor().setLeading(true, 3);
  // The item is already in flight again.
  REQUIRE(fixture.orders() == 2);
  REQUIRE(fixture.lastOrder().number != order.number);
  fixture.executor().take(offerOf(order, 3, false));
  fixture.executor().tick(connection::monotonicNow() + fromMillis(300));
  REQUIRE(fixture.hasStopped(order.number));
  REQUIRE_FALSE(fixture.hasStopped(fixture.lastOrder().number));
}

TEST_CASE("an offered text of another chain than the stored one is listed whole", "[store][executor]") {
  ExecutorFixture fixture(fromMillis(40));
  fixture.executor().setLeading(true, 1);
  fixture.waitUntil(connection::monotonicNow() + fromMillis(45));
  fixture.executor().tick(connection::monotonicNow());
  const RunOrder order = fixture.lastOrder();
  fixture.executor().setLeading(false, 2);
  fixture.apply(SaveProgress{{ItemProgress{JobId("j"), "i", 0, 0, 1, 99, "ONE", 0}}});
  fixture.executor().setLeading(true, 3);
  fixture.executor().take(offerOf(order, 3, true));
  while (fixture.proposals() > 0) fixture.endProposal(true);
  REQUIRE(fixture.job().results.front().text == "one\ntwo");
}

TEST_CASE("the text of a run that was replaced before it is offered is not joined with its successor's text",
          "[store][executor]") {
  ExecutorFixture fixture(fromMillis(40));
  fixture.executor().setLeading(true, 1);
  fixture.waitUntil(connection::monotonicNow() + fromMillis(45));
  fixture.executor().tick(connection::monotonicNow());
  const RunOrder replaced = fixture.lastOrder();
  fixture.report(1, 1, "one", 1, false);
  // The leader regards the run as lost; another run resumes after event 1, and its progress is stored up to event 2.
  fixture.executor().take(RunReport{kSelf, 1, {}, {}});
  fixture.waitUntil(connection::monotonicNow() + fromMillis(310));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.orders() == 2);
  REQUIRE(fixture.lastOrder().last_event == 1);
  fixture.report(1, 1, "\nTWO", 2, false);
  while (fixture.proposals() > 0) fixture.endProposal(true);
  fixture.executor().tick(connection::monotonicNow() + fromMillis(1100));
  REQUIRE(fixture.proposals() == 1);
  fixture.endProposal(true);
  REQUIRE(fixture.job().progress.at("i").last_event == 2);
  // The store of the replaced run was only unreachable, and offers the run to the next leader.
  fixture.executor().setLeading(false, 2);
  fixture.executor().setLeading(true, 3);
  fleet::RunOffer offer = offerOf(replaced, 3, true);
  offer.runs.front().text = "one\ntwo\nthree";
  offer.runs.front().last_event = 3;
  fixture.executor().take(offer);
  while (fixture.proposals() > 0) fixture.endProposal(true);
  REQUIRE(fixture.job().results.size() == 1);
  REQUIRE(fixture.job().results.front().text == "one\ntwo\nthree");
}

TEST_CASE("the progress of many items is proposed in entries of bounded size, each item in turn", "[store][executor]") {
  constexpr std::size_t kItems = 5;
  ExecutorFixture fixture(fromMillis(40), kItems);
  fixture.executor().setLeading(true, 1);
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
  fixture.executor().take(offer);
  REQUIRE(fixture.executor().running() == kItems);
  std::vector<std::size_t> pieces;
  std::set<std::string> saved;
  const Instant now = connection::monotonicNow();
  for (int tick = 0; tick < 4; ++tick) {
    fixture.executor().tick(now);
    if (fixture.proposals() == 0) continue;
    pieces.push_back(fixture.proposedProgress().size());
    for (const ItemProgress& entry : fixture.proposedProgress()) saved.insert(entry.item);
    fixture.endProposal(true);
  }
  REQUIRE(pieces == std::vector<std::size_t>{3, 2});
  REQUIRE(saved.size() == kItems);
}

namespace {

/// Reports online load to the executor that has occupied all slots of the engine in load cycles until now; the slots
/// are free now.
void reportLoadCycles(ExecutorFixture& fixture) {
  const Instant now = connection::monotonicNow();
  constexpr std::int64_t kHistoryMs = 20000;
  constexpr std::int64_t kPeriodMs = 4000;
  for (std::int64_t ago = kHistoryMs; ago >= 0; ago -= 50) {
    // High for the older half of each period; the half period before now is low.
    const bool is_high = ago % kPeriodMs >= kPeriodMs / 2;
    std::vector<request::EngineShare> others;
    if (is_high) others.push_back({EngineId("e"), 8, 0, 0});
    fixture.executor().notePeerLoads(now - fromMillis(ago), others);
  }
}

constexpr Duration kStartDelay = fromMillis(40);

request::LoadFeatures bySlack() {
  request::LoadFeatures load;
  load.batch_by_slack = true;
  return load;
}

void leadWithLoadCycles(ExecutorFixture& fixture, std::uint64_t term) {
  fixture.executor().setLeading(true, term);
  reportLoadCycles(fixture);
  ExecutorFixture::waitUntil(connection::monotonicNow() + kStartDelay + fromMillis(5));
  fixture.executor().tick(connection::monotonicNow());
}

}  // namespace

TEST_CASE("an item with slack waits for a slot that remains free; a leader without load history starts it",
          "[store][executor][trough]") {
  ExecutorFixture fixture(kStartDelay, 0, bySlack());
  leadWithLoadCycles(fixture, 1);
  REQUIRE(fixture.orders() == 0);
  REQUIRE(fixture.executor().waiting() == 1);
  // The next leadership has observed no load cycle, so it does not delay the item.
  fixture.executor().setLeading(false, 2);
  fixture.executor().setLeading(true, 3);
  ExecutorFixture::waitUntil(connection::monotonicNow() + kStartDelay + fromMillis(5));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.orders() == 1);
}

TEST_CASE("an item without slack starts at a slot that is free now", "[store][executor][trough]") {
  ExecutorFixture fixture(kStartDelay, 0, bySlack(), /*age_ms=*/7500);
  leadWithLoadCycles(fixture, 1);
  REQUIRE(fixture.orders() == 1);
}

// Guards against items that never start: 83 accepted items were listed neither as complete nor as errored while engines
// were half empty. Each was past its due time, so that it exerted no pressure, and no capacity remained free for long
// enough.
TEST_CASE("an item that is already late is not delayed by a load cycle", "[store][executor][trough]") {
  ExecutorFixture fixture(kStartDelay, 0, bySlack(), /*age_ms=*/30000);
  leadWithLoadCycles(fixture, 1);
  REQUIRE(fixture.orders() == 1);
}

TEST_CASE("with the feature off an item starts at a slot that is free now", "[store][executor][trough]") {
  request::LoadFeatures load;
  load.batch_by_slack = false;
  ExecutorFixture fixture(kStartDelay, 0, load);
  leadWithLoadCycles(fixture, 1);
  REQUIRE(fixture.orders() == 1);
}

TEST_CASE("reports and changes of a moment share one pass over the queue", "[store][executor]") {
  ExecutorFixture fixture;
  std::size_t scheduled = 0;
  fixture.executor().setStartScheduler([&] { ++scheduled; });
  fixture.executor().setLeading(true, 1);
  JobSubmission job;
  job.id = JobId("later");
  job.host = "a.example";
  job.path = "/x/";
  job.submitted_at = connection::wallNow();
  job.items.push_back(OpaqueItem{"i", "/x/1", {}, "body", 10});
  fixture.apply(SubmitJob{job});
  const std::size_t before = fixture.orders();
  fixture.executor().noteChange(JobId("later"));
  fixture.executor().noteChange(JobId("j"));
  fixture.report(1, 1, "one", 1, true);
  REQUIRE(scheduled == 1);
  REQUIRE(fixture.orders() == before);
  fixture.executor().startWaiting();
  REQUIRE(fixture.orders() == before + 1);
  fixture.executor().noteChange(JobId("j"));
  REQUIRE(scheduled == 2);
}

TEST_CASE("a leader removes kept ends that no submission can be under way for", "[store][executor]") {
  ExecutorFixture fixture;
  fixture.apply(DropJobs{{}, /*begins_to_keep_ends=*/true});
  fixture.apply(EndJob{JobId("unknown")});
  const Instant start = connection::monotonicNow();
  fixture.executor().setLeading(true, 1);
  fixture.executor().tick(start);
  fixture.executor().tick(start + std::chrono::minutes(9));
  REQUIRE(fixture.takeProposedDrops().empty());
  fixture.executor().tick(start + std::chrono::minutes(10));
  const std::vector<DropJobs> drops = fixture.takeProposedDrops();
  REQUIRE(drops.size() == 1);
  REQUIRE(drops.front().ends_through == 1);
  REQUIRE(drops.front().jobs.empty());
  fixture.executor().tick(start + std::chrono::minutes(20));
  REQUIRE(fixture.takeProposedDrops().empty());
}

TEST_CASE("the group begins to keep ends once all its members are of a release that does so",
          "[store][executor][upgrade]") {
  ExecutorFixture fixture;
  Instant now = connection::monotonicNow();
  const auto nextDrops = [&] {
    now += std::chrono::seconds(1);
    fixture.executor().tick(now);
    return fixture.takeProposedDrops();
  };
  fixture.executor().setLeading(true, 1);
  REQUIRE(nextDrops().empty());
  fixture.executor().noteStoresKeepEnds(true);
  const std::vector<DropJobs> drops = nextDrops();
  REQUIRE(drops.size() == 1);
  REQUIRE(drops.front().begins_to_keep_ends);
  REQUIRE(nextDrops().empty());
  // It stays so, whatever is heard of a member later.
  fixture.executor().noteStoresKeepEnds(false);
  REQUIRE(nextDrops().empty());
}

// Guards against a leader that stood still and orders items of jobs that its successor has ended.
TEST_CASE("a leader that no quorum has confirmed for a while orders nothing", "[store][executor]") {
  ExecutorFixture fixture;
  const Instant now = connection::monotonicNow();
  fixture.executor().noteConfirmed(now - std::chrono::seconds(3));
  fixture.executor().setLeading(true, 1);
  fixture.executor().tick(now);
  REQUIRE(fixture.orders() == 0);
  fixture.executor().noteConfirmed(now);
  fixture.executor().tick(now);
  REQUIRE(fixture.orders() == 1);
}
