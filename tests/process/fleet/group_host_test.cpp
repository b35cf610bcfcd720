#include "process/fleet/group_host.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <optional>

#include "connection/asio.hpp"
#include "process/store/job_state.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;

namespace {

constexpr std::size_t kMaxLogBytes = 800'000;
constexpr Duration kTimeout = std::chrono::seconds(20);

/// A group of one replica on the real disk.
class SingleGroup {
 public:
  SingleGroup() : folder_(std::filesystem::temp_directory_path() / ("group-host-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder_);
    GroupHostOptions options;
    options.group = 1;
    options.self = ReplicaId("10.0.0.1");
    options.data_folder = folder_.string();
    options.formation_members = {options.self};
    options.may_form = true;
    options.max_log_bytes = kMaxLogBytes;
    host_.emplace(
        context_, options, [] { return std::make_unique<store::JobState>(); }, [](consensus::StateMachine&) {},
        [](const ReplicaId&, const FleetMessage&) { return false; });
    REQUIRE(isOk(host_->start()));
    REQUIRE(runUntil([this] { return host_->isConfirmedLeader(); }));
  }
  ~SingleGroup() {
    host_.reset();
    std::filesystem::remove_all(folder_);
  }

  GroupHost& host() { return *host_; }
  /// Proposes a command of this size, whose content does not matter.
  std::shared_ptr<std::optional<ProposalOutcome>> propose(std::size_t bytes, std::string subject) {
    auto outcome = std::make_shared<std::optional<ProposalOutcome>>();
    host_->propose(
        std::string(bytes, 'x'), kTimeout, [outcome](const ProposalOutcome& ended) { *outcome = ended; },
        std::move(subject));
    return outcome;
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
  std::filesystem::path folder_;
  connection::asio::io_context context_;
  std::optional<GroupHost> host_;
};

}  // namespace

// Guards against a leader that ends for lack of memory: each of 24 submissions came up to 46 times, from several stores
// and again from its caller, and each copy was appended while no quorum confirmed the ones before.
TEST_CASE("copies of a submission share one entry of the log and its outcome", "[fleet][group]") {
  SingleGroup group;
  const consensus::LogIndex before = group.host().status().last_log_index;
  std::vector<std::shared_ptr<std::optional<ProposalOutcome>>> copies;
  for (int copy = 0; copy < 5; ++copy) copies.push_back(group.propose(1000, "job a"));
  REQUIRE(group.runUntil([&] { return copies.front()->has_value(); }));
  for (const auto& copy : copies) {
    REQUIRE(copy->has_value());
    REQUIRE((*copy)->result == ProposalResult::kApplied);
  }
  REQUIRE(group.host().status().last_log_index == before + 1);
  const auto later = group.propose(1000, "job a");
  REQUIRE(group.runUntil([&] { return later->has_value(); }));
  REQUIRE(group.host().status().last_log_index == before + 2);
}

// Guards against a leader that ends for lack of memory: its log held 77 MB of the process's limit of 130 MB.
TEST_CASE("a leader whose log in memory is full refuses submissions as not run until entries are applied",
          "[fleet][group]") {
  SingleGroup group;
  const auto first = group.propose(kMaxLogBytes - 100'000, "job a");
  const auto second = group.propose(200'000, "job b");
  REQUIRE(second->has_value());
  REQUIRE((*second)->result == ProposalResult::kNotRun);
  REQUIRE((*second)->reply == kLogFull);
  const auto own_work = group.propose(200'000, "");
  REQUIRE(group.runUntil([&] { return first->has_value() && own_work->has_value(); }));
  REQUIRE((*own_work)->result == ProposalResult::kApplied);
  const auto again = group.propose(200'000, "job b");
  REQUIRE(group.runUntil([&] { return again->has_value(); }));
  REQUIRE((*again)->result == ProposalResult::kApplied);
}

TEST_CASE("a submission larger than the log's limit is accepted if no other one is under way", "[fleet][group]") {
  SingleGroup group;
  const auto large = group.propose(2 * kMaxLogBytes, "job a");
  REQUIRE(group.runUntil([&] { return large->has_value(); }));
  REQUIRE((*large)->result == ProposalResult::kApplied);
}

TEST_CASE("applied entries keep a bounded part of the log's memory", "[fleet][group]") {
  SingleGroup group;
  constexpr std::size_t kEntryBytes = 40'000;
  for (int number = 0; number < 30; ++number) {
    const auto outcome = group.propose(kEntryBytes, "job " + std::to_string(number));
    REQUIRE(group.runUntil([&] { return outcome->has_value(); }));
  }
  REQUIRE(group.host().logBytesInMemory() <= kMaxLogBytes / 8 + kEntryBytes);
}
