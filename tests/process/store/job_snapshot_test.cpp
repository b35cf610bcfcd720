#include "process/store/job_snapshot.hpp"

#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "process/store/job_state.hpp"

using namespace hatchfork;
using namespace hatchfork::store;

namespace {

constexpr int kSeeds = 300;
constexpr int kCommands = 60;
constexpr int kJobNames = 12;
constexpr int kMostItems = 5;

/// Applies random commands on a few jobs, so that the same job is submitted, changed, dropped and submitted again.
class RandomJobs {
 public:
  explicit RandomJobs(std::uint64_t seed) : random_(seed) {}

  bool chance(int percent) { return draw(100) < percent; }
  int draw(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }

  void applyOne(JobState& state) { state.apply(1, encodeTagged(command(state))); }

 private:
  JobCommand command(const JobState& state) {
    const JobId id("job-" + std::to_string(draw(kJobNames)));
    const std::string item = "item-" + std::to_string(draw(kMostItems));
    switch (draw(8)) {
      case 0:
      case 1:
        return SubmitJob{submission(id), WaitingLimit{"a.example", "/x/", chance(20) ? 40u : 0u, TenantId()},
                         random_()};
      case 2:
      case 3:
        return SaveProgress{{progress(state, id, item)}};
      case 4:
      case 5:
        return ListResults{{JobResult{id, {item, ItemOutcome::kCompleted, text()}, 0, 0}}};
      case 6:
        return EndJob{id, TenantId()};
      default:
        return DropJobs{{id}, chance(10)};
    }
  }

  /// Usually continues the stored progress.
  ItemProgress progress(const JobState& state, const JobId& id, const std::string& item) {
    ItemProgress made{id, item, 0, 0, 1, 7, text(), 0, {}};
    const StoredJob* job = state.find(id);
    if (job != nullptr && job->progress.contains(item) && chance(90)) {
      const ItemRunProgress& kept = job->progress.at(item);
      made.after_event = kept.last_event;
      made.after_chain = kept.chain;
      made.last_event = kept.last_event + 1;
    }
    if (chance(20)) made.failed_runs = {random_()};
    return made;
  }

  JobSubmission submission(const JobId& id) {
    JobSubmission made;
    made.id = id;
    made.host = "a.example";
    made.path = "/x/1";
    made.submitted_at = draw(1000);
    made.configuration_version = static_cast<std::uint64_t>(draw(1000));
    const int items = 1 + draw(kMostItems);
    for (int i = 0; i < items; ++i) {
      made.items.push_back(OpaqueItem{"item-" + std::to_string(i), "/x/1", {{"X-A", text()}}, text(), 10});
    }
    return made;
  }

  /// Sometimes long enough to fill a piece of a snapshot.
  std::string text() { return std::string(chance(5) ? 40000 : draw(20), static_cast<char>('a' + draw(26))); }

  std::mt19937_64 random_;
};

JobState restored(const std::vector<std::string>& pieces) {
  JobState state;
  state.beginRestore();
  for (const std::string& piece : pieces) REQUIRE(isOk(state.restorePiece(piece)));
  REQUIRE(isOk(state.endRestore()));
  return state;
}

}  // namespace

TEST_CASE("a snapshot in pieces holds the state at its start, whatever is applied meanwhile", "[store][snapshot]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    RandomJobs jobs(seed);
    JobState state;
    for (int i = 0; i < kCommands; ++i) jobs.applyOne(state);
    const std::string expected = state.snapshot();
    const std::uint64_t expected_bytes = state.heldBytes();
    state.beginSnapshot();
    std::vector<std::string> pieces;
    while (true) {
      while (jobs.chance(80)) jobs.applyOne(state);
      std::optional<std::string> piece = state.nextSnapshotPiece();
      if (!piece) break;
      pieces.push_back(std::move(*piece));
    }
    REQUIRE(state.snapshotBytesHeld() == 0);
    const JobState other = restored(pieces);
    REQUIRE(other.snapshot() == expected);
    REQUIRE(other.heldBytes() == expected_bytes);
    // The state itself keeps all commands applied meanwhile.
    JobState copy;
    REQUIRE(isOk(copy.restore(state.snapshot())));
    REQUIRE(copy.heldBytes() == state.heldBytes());
  }
}

TEST_CASE("the joined pieces of a snapshot can be restored as a whole", "[store][snapshot][upgrade]") {
  RandomJobs jobs(1);
  JobState state;
  for (int i = 0; i < kCommands; ++i) jobs.applyOne(state);
  state.beginSnapshot();
  std::string joined;
  while (const std::optional<std::string> piece = state.nextSnapshotPiece()) joined += *piece;
  JobState whole;
  REQUIRE(isOk(whole.restore(joined)));
  REQUIRE(whole.snapshot() == state.snapshot());
  // An older release stores a received snapshot split at any byte.
  JobState cut;
  cut.beginRestore();
  for (std::size_t offset = 0; offset < joined.size(); offset += 100) {
    REQUIRE(isOk(cut.restorePiece(joined.substr(offset, 100))));
  }
  REQUIRE(isOk(cut.endRestore()));
  REQUIRE(cut.snapshot() == state.snapshot());
}

TEST_CASE("a snapshot keeps under which configuration a job was accepted", "[store][snapshot]") {
  JobState state;
  JobSubmission job;
  job.id = JobId("j");
  job.configuration_version = 7;
  state.apply(1, encodeTagged(JobCommand(SubmitJob{job})));
  JobState copy;
  REQUIRE(isOk(copy.restore(state.snapshot())));
  REQUIRE(copy.find(JobId("j"))->submission.configuration_version == 7);
}

TEST_CASE("a snapshot without its tail is refused", "[store][snapshot]") {
  JobState state;
  state.beginSnapshot();
  JobState other;
  other.beginRestore();
  REQUIRE(isOk(other.restorePiece(*state.nextSnapshotPiece())));
  REQUIRE_FALSE(isOk(other.endRestore()));
}

TEST_CASE("a snapshot in progress writes changed jobs first", "[store][snapshot]") {
  JobState state;
  for (int number = 0; number < 20; ++number) {
    JobSubmission job;
    job.id = JobId("job-" + std::to_string(10 + number));
    job.items.push_back(OpaqueItem{"item", "/x/1", {}, std::string(100'000, 'b'), 10});
    state.apply(1, encodeTagged(JobCommand(SubmitJob{job, {}, 0})));
  }
  state.beginSnapshot();
  REQUIRE(state.nextSnapshotPiece());
  const JobResult result{JobId("job-25"), {"item", ItemOutcome::kCompleted, "done"}, 0, 0};
  state.apply(1, encodeTagged(JobCommand(ListResults{{result}})));
  REQUIRE(state.snapshotBytesHeld() == 100'000);
  REQUIRE(state.nextSnapshotPiece());
  REQUIRE(state.snapshotBytesHeld() == 0);
}
