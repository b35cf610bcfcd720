#include <catch2/catch.hpp>
#include <map>

#include "tests/process/batch/batch_test_support.hpp"
#include "tests/process/batch/property.hpp"

namespace hatchfork::batch {
namespace {

using namespace testing;

constexpr ItemIndex kItems = 6;
constexpr std::size_t kJobs = 2;

/// One random command to one of two jobs: the first repeatable, the second not.
control::ControlRequest randomCommand() {
  const auto job_number = *rc::gen::inRange<std::size_t>(0, kJobs);
  const JobId job = makeJobId(1, job_number + 1);
  const auto index = *rc::gen::inRange<ItemIndex>(0, kItems + 1);
  const auto attempt = *rc::gen::inRange<AttemptNumber>(1, 3);
  const auto session = *rc::gen::inRange<std::uint64_t>(1, 3);
  switch (*rc::gen::weightedElement<int>({{1, 0}, {1, 1}, {1, 2}, {1, 3}, {8, 4}, {12, 5}})) {
    case 0:
      return createRequest("job-" + std::to_string(job_number), job_number == 1);
    case 1:
      return control::AddPartRequest{job, *rc::gen::inRange<std::uint32_t>(0, 2), makeItems(kItems / 2)};
    case 2:
      return control::SealJobRequest{job, 2};
    case 3:
      return control::CancelJobRequest{job, TenantId("crew"), 3000};
    case 4:
      return startOf(job, index, attempt, session);
    default: {
      const auto state = *rc::gen::element(ItemState::kCompleted, ItemState::kFailed, ItemState::kCancelled,
                                           ItemState::kOutcomeUnknown, ItemState::kPending);
      const std::string result = std::to_string(session) + "/" + std::to_string(attempt);
      return completion(job, {{index, attempt, state, result}}, session);
    }
  }
}

std::vector<control::ControlRequest> randomCommands() {
  std::vector<control::ControlRequest> commands;
  const auto count = *rc::gen::inRange<std::size_t>(10, 120);
  // Creates both jobs and seals them early in most runs, so that the other commands apply to existing items.
  for (std::size_t job = 0; job < kJobs; ++job) {
    commands.push_back(createRequest("job-" + std::to_string(job), job == 1));
    for (std::uint32_t part = 0; part < 2; ++part) {
      commands.push_back(control::AddPartRequest{makeJobId(1, job + 1), part, makeItems(kItems / 2)});
    }
    if (*rc::gen::weightedElement<bool>({{4, true}, {1, false}})) {
      commands.push_back(control::SealJobRequest{makeJobId(1, job + 1), 2});
    }
  }
  for (std::size_t number = 0; number < count; ++number) commands.push_back(randomCommand());
  return commands;
}

/// Records the outcomes and starts seen so far, to check that they never change.
struct Ledger {
  std::map<JobNumber, std::map<ItemIndex, ItemResult>> ended;
  std::map<JobNumber, std::map<ItemIndex, StartRecord>> started;

  /// Records new outcomes and starts; asserts that no recorded one has changed.
  void observe(const BatchStateMachine& machine) {
    for (JobNumber number = 1; number <= machine.jobCount(); ++number) {
      const Job& job = *machine.findJob(number);
      JobCounts counts{job.itemCount(), 0, 0, 0, 0};
      for (ItemIndex index = 0; index < job.itemCount(); ++index) observeItem(job, index, counts);
      RC_ASSERT(job.status().counts == counts);
      const bool all_ended =
          counts.completed + counts.failed + counts.cancelled + counts.outcome_unknown == counts.total;
      if (job.sealSequence() != 0) RC_ASSERT((job.state() == JobState::kFinished) == all_ended);
    }
  }

  void observeItem(const Job& job, ItemIndex index, JobCounts& counts) {
    const ItemResult result = job.result(index);
    const auto known = ended[job.number()].find(index);
    if (known != ended[job.number()].end()) {
      RC_ASSERT(known->second.state == result.state);
      RC_ASSERT(known->second.result == result.result);
    }
    if (result.state == ItemState::kStarted) {
      const StartRecord record = job.started().at(index);
      RC_ASSERT(started[job.number()].try_emplace(index, record).first->second == record);
    }
    if (!isTerminal(result.state)) return;
    ended[job.number()].emplace(index, result);
    if (result.state == ItemState::kCompleted) ++counts.completed;
    if (result.state == ItemState::kFailed) ++counts.failed;
    if (result.state == ItemState::kCancelled) ++counts.cancelled;
    if (result.state == ItemState::kOutcomeUnknown) ++counts.outcome_unknown;
    if (!job.spec().unrepeatable) {
      RC_ASSERT(result.state != ItemState::kOutcomeUnknown);
      return;
    }
    // An item cancelled with its job has no result; any other outcome must come from the attempt that was started.
    if (result.state == ItemState::kCancelled && result.result.empty()) return;
    RC_ASSERT(started[job.number()].contains(index));
    const StartRecord& record = started[job.number()].at(index);
    RC_ASSERT(result.result == std::to_string(record.session) + "/" + std::to_string(record.attempt));
  }
};

TEST_CASE("in any order and duplication of commands an item enters one terminal state", "[batch][property]") {
  CHECK(hatchfork::testing::holds([] {
    BatchStateMachine machine(1);
    Ledger ledger;
    for (const control::ControlRequest& command : randomCommands()) {
      const std::string bytes = encodeTagged(command);
      machine.apply(1, bytes);
      ledger.observe(machine);
      if (*rc::gen::weightedElement<bool>({{3, false}, {1, true}})) machine.apply(2, bytes);
      ledger.observe(machine);
    }
  }));
}

TEST_CASE("a restored machine equals the original and gives the same replies afterwards", "[batch][property]") {
  CHECK(hatchfork::testing::holds([] {
    const std::vector<control::ControlRequest> commands = randomCommands();
    const auto cut = *rc::gen::inRange<std::size_t>(0, commands.size());
    BatchStateMachine original(1);
    BatchStateMachine restored(1);
    for (std::size_t number = 0; number < commands.size(); ++number) {
      if (number == cut) {
        RC_ASSERT(isOk(restored.restore(original.snapshot())));
        RC_ASSERT(restored.snapshot() == original.snapshot());
      }
      const std::string expected = original.apply(number, encodeTagged(commands[number]));
      if (number < cut) continue;
      RC_ASSERT(restored.apply(number, encodeTagged(commands[number])) == expected);
    }
    for (JobNumber number = 1; number <= original.jobCount(); ++number) {
      const control::GetResultsRequest read{makeJobId(1, number), TenantId("crew"), 0, 0};
      RC_ASSERT(encodeTagged(restored.getResults(read)) == encodeTagged(original.getResults(read)));
    }
  }));
}

}  // namespace
}  // namespace hatchfork::batch
