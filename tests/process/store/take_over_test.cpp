#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "connection/asio.hpp"
#include "process/store/item_runner.hpp"
#include "tests/process/store/executor_fixture.hpp"

// The take-over of runs in flight by a new leader: a real executor, and real runners of other stores.
using namespace hatchfork;
using namespace hatchfork::store;
using fleet::FleetMessage;

namespace {

/// What a new leader's thread can decode between two heartbeats, beside its other work, on a third of a core.
constexpr std::size_t kMaxBytesPerTurn = 128 * 1024;
constexpr std::size_t kRunners = 4;
constexpr std::size_t kRunsPerRunner = 60;
constexpr std::size_t kTextBytes = 8 * 1024;
/// Turns after which a take-over that makes no progress is given up.
constexpr std::size_t kMaxTurns = 400;

/// An engine that accepts connections and never answers.
class SilentEngine {
 public:
  explicit SilentEngine(connection::asio::io_context& context)
      : acceptor_(context, {connection::asio::ip::make_address("127.0.0.1"), 0}) {}
  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port()); }

 private:
  connection::tcp::acceptor acceptor_;
};

/// A new leader and stores with runs in flight for its predecessor. Each turn delivers the leader's leases, then the
/// frames that the stores sent to it.
class TakeOver {
 public:
  TakeOver() : engine_(context_), dialect_(platform::makePlatformDialect()), leader_(Duration::zero(), 0) {
    for (std::size_t i = 0; i < kRunners; ++i) addRunner(ReplicaId(fmt::format("10.0.0.{}", i + 2)));
    leader_.setStores(runnerNames());
    addJob();
    for (std::size_t i = 0; i < kRunners * kRunsPerRunner; ++i) order(i);
  }

  /// Bytes of the frames that the leader has received in this turn.
  std::size_t turn() {
    leader_.executor().tick(connection::monotonicNow());
    for (const auto& [to, lease] : leader_.takeLeases()) {
      if (runners_.contains(to)) runners_.at(to)->take(copyOf(lease));
    }
    context_.restart();
    context_.run_for(fromMillis(5));
    for (auto& [id, runner] : runners_) runner->tick(connection::monotonicNow());
    std::size_t bytes = 0;
    for (FleetMessage& message : std::exchange(sent_, {})) {
      const std::string frame = encodeTagged(message);
      bytes += frame.size();
      leader_.deliver(valueOf(decodeTagged<FleetMessage>(frame)));
    }
    return bytes;
  }

  ExecutorFixture& leader() { return leader_; }
  ItemRunner& runner(const ReplicaId& id) { return *runners_.at(id); }

  static std::string itemName(std::size_t i) { return fmt::format("item-{:04}", i); }
  static std::string textOf(std::size_t i) { return fmt::format("{:04}", i) + std::string(kTextBytes, 'x'); }

 private:
  /// Each frame passes through its encoding, as between processes.
  static fleet::RunLease copyOf(const fleet::RunLease& lease) {
    return std::get<fleet::RunLease>(valueOf(decodeTagged<FleetMessage>(encodeTagged(FleetMessage(lease)))));
  }

  std::vector<ReplicaId> runnerNames() const {
    std::vector<ReplicaId> names;
    for (const auto& [id, runner] : runners_) names.push_back(id);
    return names;
  }

  void addRunner(const ReplicaId& id) {
    auto report = [this](const ReplicaId&, FleetMessage message) { sent_.push_back(std::move(message)); };
    runners_[id] = std::make_unique<ItemRunner>(context_, *dialect_, id, report);
  }

  void addJob() {
    JobSubmission job;
    job.id = JobId("taken-over");
    job.host = "a.example";
    job.path = "/x/";
    job.submitted_at = connection::wallNow();
    for (std::size_t i = 0; i < kRunners * kRunsPerRunner; ++i) {
      job.items.push_back(OpaqueItem{itemName(i), "/x/1", {}, "body", 10});
    }
    leader_.apply(SubmitJob{job});
  }

  /// A run of the predecessor, whose item has some text already.
  void order(std::size_t i) {
    RunOrder made;
    made.from = ReplicaId("10.0.0.99");
    made.term = 1;
    made.number = 100 + i;
    made.job = JobId("taken-over");
    made.item = OpaqueItem{itemName(i), "/x/1", {}, "body", 10};
    made.host = "a.example";
    made.engine = EngineId("e");
    made.engine_address = engine_.address();
    made.last_event = 9;
    made.has_text = true;
    made.text = textOf(i);
    made.chain = 1000 + i;
    std::next(runners_.begin(), static_cast<std::ptrdiff_t>(i % kRunners))->second->take(std::move(made));
  }

  connection::asio::io_context context_;
  SilentEngine engine_;
  std::unique_ptr<const Dialect> dialect_;
  ExecutorFixture leader_;
  std::map<ReplicaId, std::unique_ptr<ItemRunner>> runners_;
  std::deque<FleetMessage> sent_;
};

}  // namespace

// Guards against leaders that lose their quorum while they read the texts of all runs in their first turns.
TEST_CASE("what stores send a new leader in one turn of its thread is bounded, whatever is in flight",
          "[store][takeover]") {
  TakeOver fixture;
  fixture.leader().executor().setLeading(true, 2);
  std::map<std::string, std::string> saved;
  std::size_t most_bytes = 0;
  for (std::size_t turn = 0; turn < kMaxTurns && saved.size() < kRunners * kRunsPerRunner; ++turn) {
    most_bytes = std::max(most_bytes, fixture.turn());
    while (fixture.leader().proposals() > 0) {
      for (const ItemProgress& progress : fixture.leader().proposedProgress()) saved[progress.item] += progress.text;
      fixture.leader().endProposal(true);
    }
  }
  REQUIRE(fixture.leader().executor().running() == kRunners * kRunsPerRunner);
  REQUIRE(saved.size() == kRunners * kRunsPerRunner);
  for (std::size_t i = 0; i < saved.size(); ++i) REQUIRE(saved.at(TakeOver::itemName(i)) == TakeOver::textOf(i));
  REQUIRE(most_bytes <= kMaxBytesPerTurn);
}

namespace {

const ReplicaId kRunner("10.0.0.2");
constexpr std::uint64_t kRun = 100;
constexpr std::uint64_t kChain = 7;

/// The group has stored "abcde", up to event 5, of the fixture's only item.
SaveProgress storedProgress(std::uint64_t chain) {
  ItemProgress progress;
  progress.job = JobId("j");
  progress.item = "i";
  progress.last_event = 5;
  progress.chain = chain;
  progress.text = "abcde";
  return SaveProgress{{progress}};
}

fleet::RunSummaries summaries(bool ended) {
  fleet::RunSummary summary;
  summary.number = kRun;
  summary.sequence = 3;
  summary.job = JobId("j");
  summary.item = "i";
  summary.engine = EngineId("e");
  summary.chain = kChain;
  summary.text_bytes = 8;
  summary.last_event = 6;
  summary.ended = ended;
  return fleet::RunSummaries{kRunner, 2, {summary}, /*compares_texts=*/true};
}

fleet::RunTexts texts(std::uint64_t offset, const std::string& text, bool ended) {
  fleet::RunText sent;
  sent.number = kRun;
  sent.sequence = 3;
  sent.offset = offset;
  sent.text = text;
  sent.has_text = true;
  sent.last_event = 6;
  sent.ended = ended;
  if (ended) sent.end = fleet::RunEnd::kWhole;
  return fleet::RunTexts{kRunner, 2, {sent}};
}

RunReport reportOf(std::uint64_t sequence, const std::string& text, bool whole) {
  RunNews news;
  news.number = kRun;
  news.sequence = sequence;
  news.text = text;
  news.last_event = 7;
  news.ended = whole;
  if (whole) news.end = fleet::RunEnd::kWhole;
  return RunReport{kRunner, 2, {news}, {}};
}

/// A new leader that has taken the summary of a run.
std::unique_ptr<ExecutorFixture> newLeader(const fleet::RunSummaries& sent) {
  auto fixture = std::make_unique<ExecutorFixture>(std::chrono::hours(1));
  fixture->setStores({kRunner});
  fixture->apply(storedProgress(kChain));
  fixture->executor().setLeading(true, 2);
  fixture->takeLeases();
  fixture->deliver(sent);
  return fixture;
}

/// The only text that the leader has asked for.
fleet::TextRequest wantedText(ExecutorFixture& fixture) {
  std::vector<fleet::TextRequest> wanted;
  for (const auto& [to, lease] : fixture.takeLeases()) {
    wanted.insert(wanted.end(), lease.wanted_texts.begin(), lease.wanted_texts.end());
  }
  REQUIRE(wanted.size() == 1);
  REQUIRE(wanted.front().number == kRun);
  return wanted.front();
}

}  // namespace

TEST_CASE("a new leader asks for a text from where the stored one ends, and lists only what follows",
          "[store][takeover]") {
  const auto fixture = newLeader(summaries(/*ended=*/false));
  REQUIRE(fixture->executor().running() == 1);
  const fleet::TextRequest wanted = wantedText(*fixture);
  REQUIRE(wanted.offset == 5);
  REQUIRE(wanted.start_hash == fleet::textHashOf("abcde"));
  fixture->deliver(texts(5, "fgh", /*ended=*/false));
  fixture->deliver(reportOf(4, "ijk", /*whole=*/true));
  REQUIRE(fixture->listedByOldest() == std::pair<std::size_t, std::size_t>{6, 1});
  fixture->endProposal(true);
  REQUIRE(fixture->job().results.front().text == "abcdefghijk");
  // The store need not retain the run for another leader.
  ExecutorFixture::waitUntil(connection::monotonicNow() + fromMillis(60));
  fixture->executor().tick(connection::monotonicNow());
  const auto leases = fixture->takeLeases();
  const bool is_told = std::any_of(leases.begin(), leases.end(), [](const auto& entry) {
    return entry.first == kRunner && entry.second.listed == std::vector<std::uint64_t>{kRun};
  });
  REQUIRE(is_told);
}

TEST_CASE("a new leader lists the whole text of a run that does not begin with the stored one", "[store][takeover]") {
  const auto fixture = newLeader(summaries(/*ended=*/true));
  // The store finds that its text begins with other bytes, and sends all of it.
  REQUIRE(wantedText(*fixture).start_hash == fleet::textHashOf("abcde"));
  fixture->deliver(texts(0, "ABCDEFGH", /*ended=*/true));
  REQUIRE(fixture->listedByOldest() == std::pair<std::size_t, std::size_t>{8, 1});
  fixture->endProposal(true);
  REQUIRE(fixture->job().results.front().text == "ABCDEFGH");
}

TEST_CASE("a new leader asks a store of an older release, which compares no texts, for whole texts",
          "[store][takeover][upgrade]") {
  fleet::RunSummaries sent = summaries(/*ended=*/true);
  sent.compares_texts = false;
  const auto fixture = newLeader(sent);
  const fleet::TextRequest wanted = wantedText(*fixture);
  REQUIRE(wanted.offset == 0);
  REQUIRE_FALSE(wanted.start_hash);
  SECTION("it begins with the stored one") {
    fixture->deliver(texts(0, "abcdefgh", /*ended=*/true));
    REQUIRE(fixture->listedByOldest() == std::pair<std::size_t, std::size_t>{3, 1});
    fixture->endProposal(true);
    REQUIRE(fixture->job().results.front().text == "abcdefgh");
  }
  SECTION("it does not") {
    fixture->deliver(texts(0, "ABCDEFGH", /*ended=*/true));
    fixture->endProposal(true);
    REQUIRE(fixture->job().results.front().text == "ABCDEFGH");
  }
}

// Guards against texts joined from the run of a store that was silent and the run that took its place meanwhile.
TEST_CASE("a run that is offered after another one has replaced it is not joined with that one's text",
          "[store][takeover]") {
  ExecutorFixture fixture;
  fixture.setStores({kRunner});
  fixture.apply(storedProgress(kChain));
  fixture.executor().setLeading(true, 2);
  fixture.executor().take(RunReport{kRunner, 2, {}, {}});
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.lastOrder().last_event == 5);
  RunNews news;
  news.number = fixture.lastOrder().number;
  news.sequence = 1;
  news.text = "XYZ";
  news.last_event = 6;
  news.ended = true;
  news.end = fleet::RunEnd::kBroken;
  fixture.executor().take(RunReport{kSelf, 2, {news}, {}});
  fixture.deliver(summaries(/*ended=*/true));
  fixture.deliver(texts(5, "fgh", /*ended=*/true));
  while (fixture.proposals() > 0) fixture.endProposal(true);
  REQUIRE(fixture.job().results.front().text == "abcdefgh");
}

TEST_CASE("news of a run whose text was lost stop it, and the item goes on from the stored text", "[store][takeover]") {
  const auto fixture = newLeader(summaries(/*ended=*/false));
  fixture->deliver(reportOf(4, "ijk", /*whole=*/true));
  REQUIRE(fixture->executor().running() == 0);
  REQUIRE(fixture->executor().waiting() == 1);
  REQUIRE(fixture->proposals() == 0);
  // A text that comes after all is not taken.
  fixture->deliver(texts(5, "fgh", /*ended=*/true));
  REQUIRE(fixture->proposals() == 0);
}

// Guards against leaders that preempt the runs they have just taken over, because their predecessor's load counts too.
TEST_CASE("a new leader preempts no adopted run for load that its predecessor has reported", "[store][takeover]") {
  ExecutorFixture fixture;
  fixture.setStores({kRunner});
  fixture.apply(storedProgress(kChain));
  fixture.executor().setLeading(true, 2);
  fixture.deliver(summaries(/*ended=*/false));
  REQUIRE(fixture.executor().running() == 1);
  // The engine has eight slots, which the predecessor's runs fill, this one among them.
  const std::vector<request::EngineShare> others = {request::EngineShare{EngineId("e"), 8, 0}};
  const Instant now = connection::monotonicNow();
  fixture.executor().notePeerLoads(now, others);
  fixture.executor().tick(now + fromMillis(100));
  REQUIRE(fixture.executor().running() == 1);
  REQUIRE_FALSE(fixture.hasStopped(kRun));
  // Load that is still reported once the predecessor's reports have expired is that of others.
  fixture.executor().notePeerLoads(now + fromMillis(1200), others);
  fixture.executor().tick(now + fromMillis(1250));
  REQUIRE(fixture.hasStopped(kRun));
}

// Guards against items that no leader runs again, because their failure was stored before their run ended here.
TEST_CASE("an item whose failure is stored before the text of its run arrives is run again", "[store][takeover]") {
  const auto fixture = newLeader(summaries(/*ended=*/false));
  RunReport report{kRunner, 2, {}, {kRun}};
  report.answers.push_back(fleet::ItemAnswer{kRun, JobId("j"), "i", fleet::RunEnd::kFailed});
  fixture->deliver(report);
  REQUIRE(fixture->proposals() == 1);
  fixture->endProposal(true);
  REQUIRE(fixture->executor().running() == 1);
  fleet::RunTexts ended = texts(5, "fgh", /*ended=*/true);
  ended.texts.front().end = fleet::RunEnd::kFailed;
  fixture->deliver(ended);
  REQUIRE(fixture->executor().running() == 0);
  REQUIRE(fixture->executor().waiting() == 1);
  REQUIRE(fixture->executor().counters().failures_stored == 1);
}
