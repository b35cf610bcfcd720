#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "common/codec.hpp"
#include "connection/asio.hpp"
#include "process/fleet/group_host.hpp"
#include "process/store/job_state.hpp"
#include "tests/common/heap_meter.hpp"

using namespace hatchfork;
using namespace hatchfork::store;

namespace {

constexpr std::size_t kMegabyte = 1 << 20;
/// Maximum memory of a replica besides its state while it writes or restores a snapshot.
constexpr std::size_t kMemoryBesidesState = 8 * kMegabyte;
constexpr int kJobs = 60;
constexpr int kItemsPerJob = 70;
constexpr int kEntriesBeforeSnapshot = 2 * kJobs;
constexpr std::size_t kBodyBytes = 7000;

/// A folder below the system's temporary folder, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() : path_(std::filesystem::temp_directory_path() / ("store-memory-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(path_);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

/// A store group of one replica on the real disk.
class SingleStore {
 public:
  /// By default, a snapshot is due by the number of entries alone, so that the first snapshot covers all jobs.
  explicit SingleStore(const std::string& folder, std::uint64_t snapshot_after_bytes = std::uint64_t{1} << 40)
      : host_(context_, options(folder, snapshot_after_bytes), make(), adopt(), drop()) {
    started_ = isOk(host_.start());
  }

  bool started() const { return started_; }
  const JobState& state() const { return *state_; }
  consensus::GroupStatus status() const { return host_.status(); }
  bool lead() {
    return runUntil([this] { return host_.isConfirmedLeader() && status().applied == status().last_log_index; });
  }
  /// True if the command is committed and applied.
  bool apply(const JobCommand& command) {
    bool done = false;
    bool applied = false;
    host_.propose(encodeTagged(command), std::chrono::seconds(5), [&](const fleet::ProposalOutcome& outcome) {
      done = true;
      applied = outcome.result == fleet::ProposalResult::kApplied;
    });
    return runUntil([&] { return done; }) && applied;
  }
  bool runUntil(const std::function<bool()>& condition) {
    const Instant give_up = connection::monotonicNow() + std::chrono::seconds(60);
    while (!condition()) {
      if (connection::monotonicNow() > give_up) return false;
      context_.run_for(std::chrono::milliseconds(1));
    }
    return true;
  }

 private:
  static fleet::GroupHostOptions options(const std::string& folder, std::uint64_t snapshot_after_bytes) {
    fleet::GroupHostOptions options;
    options.group = 1;
    options.self = ReplicaId("10.0.0.1");
    options.data_folder = folder;
    options.formation_members = {ReplicaId("10.0.0.1")};
    options.may_form = true;
    options.timing.snapshot_after_entries = kEntriesBeforeSnapshot;
    options.timing.snapshot_after_bytes = snapshot_after_bytes;
    return options;
  }
  fleet::GroupHost::MachineFactory make() {
    return [] { return std::make_unique<JobState>(); };
  }
  fleet::GroupHost::MachineAdopter adopt() {
    return [this](consensus::StateMachine& machine) { state_ = static_cast<JobState*>(&machine); };
  }
  static fleet::GroupHost::SendFunction drop() {
    return [](const ReplicaId&, const fleet::FleetMessage&) { return false; };
  }

  connection::asio::io_context context_;
  JobState* state_ = nullptr;
  fleet::GroupHost host_;
  bool started_ = false;
};

JobSubmission job(int number) {
  JobSubmission made;
  made.id = JobId("job-" + std::to_string(number));
  made.host = "a.example";
  made.path = "/x/";
  for (int i = 0; i < kItemsPerJob; ++i) {
    made.items.push_back(
        OpaqueItem{"item-" + std::to_string(i), "/x/1", {{"X-A", "1"}}, std::string(kBodyBytes, 'b'), 10});
  }
  return made;
}

/// Applies small entries until a snapshot of the whole state is complete.
bool applyUntilSnapshot(SingleStore& store) {
  for (int i = 0; i < 2 * kEntriesBeforeSnapshot && store.status().snapshot_bytes == 0; ++i) {
    if (!store.apply(EndJob{JobId("unknown"), TenantId()})) return false;
  }
  return store.runUntil([&] { return store.status().snapshot_bytes > 0; });
}

bool submitAll(SingleStore& store) {
  for (int number = 0; number < kJobs; ++number) {
    if (!store.apply(SubmitJob{job(number), {}, 0})) return false;
  }
  return true;
}

}  // namespace

TEST_CASE("a store that writes a snapshot of a large state needs little memory besides the state", "[store][memory]") {
  const TemporaryFolder folder;
  SingleStore store(folder.path());
  REQUIRE(store.started());
  REQUIRE(store.lead());
  REQUIRE(submitAll(store));
  REQUIRE(store.status().snapshot_bytes == 0);
  const std::size_t before = HeapMeter::held();
  HeapMeter::resetPeak();
  REQUIRE(applyUntilSnapshot(store));
  REQUIRE(store.status().snapshot_bytes > store.state().heldBytes());
  INFO("held " << before / kMegabyte << " MB, peak " << HeapMeter::peak() / kMegabyte << " MB");
  CHECK(HeapMeter::peak() <= before + kMemoryBesidesState);
}

TEST_CASE("a store that starts from a snapshot of a large state needs little memory besides the state",
          "[store][memory]") {
  const TemporaryFolder folder;
  {
    SingleStore store(folder.path());
    REQUIRE(store.lead());
    REQUIRE(submitAll(store));
    REQUIRE(applyUntilSnapshot(store));
  }
  const std::size_t before = HeapMeter::held();
  HeapMeter::resetPeak();
  SingleStore again(folder.path());
  REQUIRE(again.lead());
  REQUIRE(again.state().jobs().size() == kJobs);
  const std::size_t state = HeapMeter::held() - before;
  INFO("state " << state / kMegabyte << " MB, peak " << (HeapMeter::peak() - before) / kMegabyte << " MB");
  CHECK(HeapMeter::peak() - before <= state + kMemoryBesidesState);
}

TEST_CASE("a snapshot is due by the bytes of the log, which bounds the log that a start has to read",
          "[store][snapshot]") {
  const TemporaryFolder folder;
  SingleStore store(folder.path(), kMegabyte);
  REQUIRE(store.lead());
  REQUIRE(submitAll(store));
  REQUIRE(store.runUntil([&] { return store.status().snapshot_bytes > 0; }));
  REQUIRE(store.status().applied < kEntriesBeforeSnapshot);
}

TEST_CASE("a state releases its memory at the start of a restore", "[store][memory]") {
  JobState state;
  state.apply(1, encodeTagged(JobCommand(SubmitJob{job(1), {}, 0})));
  REQUIRE(state.heldBytes() > 0);
  state.beginRestore();
  REQUIRE(state.heldBytes() == 0);
  REQUIRE(state.jobs().empty());
}

TEST_CASE("the memory estimate of a state is close to the measured memory", "[store][memory]") {
  const bool listed = GENERATE(false, true);
  const std::size_t before = HeapMeter::held();
  JobState state;
  for (int number = 0; number < kJobs; ++number) {
    JobSubmission made = job(number);
    for (OpaqueItem& item : made.items) {
      item.id = std::to_string(number) + item.id + "-0123456789abcdef";
      item.body = std::string(1500, 'b');
      item.headers = {{"X-Model", "m"},
                      {"X-Token-Usage", "1460,80"},
                      {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                      {"X-Length-Hint", "70"}};
    }
    state.apply(1, encodeTagged(JobCommand(SubmitJob{made, {}, 0})));
    if (!listed) continue;
    for (const OpaqueItem& item : made.items) {
      const ItemResult result{item.id, ItemOutcome::kCompleted, std::string(1000, 't')};
      state.apply(1, encodeTagged(JobCommand(ListResults{{JobResult{made.id, result, 0, 0}}})));
    }
  }
  const auto measured = static_cast<double>(HeapMeter::held() - before);
  const auto estimated = static_cast<double>(state.memoryBytes());
  INFO("measured " << measured << ", estimated " << estimated);
  CHECK(estimated >= 0.85 * measured);
  CHECK(estimated <= 1.3 * measured);
  CHECK(state.expectedBytes() >= state.memoryBytes());
  JobState again;
  REQUIRE(isOk(again.restore(state.snapshot())));
  CHECK(again.memoryBytes() == state.memoryBytes());
  state.apply(1, encodeTagged(JobCommand(DropJobs{{JobId("job-0")}})));
  CHECK(static_cast<double>(state.memoryBytes()) < estimated);
}
