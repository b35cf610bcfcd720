#include "process/batch/batch_state_machine.hpp"

#include <catch2/catch.hpp>

#include "tests/process/batch/batch_test_support.hpp"

namespace hatchfork::batch {
namespace {

using namespace testing;

constexpr GroupId kGroup = 2;

TEST_CASE("a resent job is deduplicated and different settings under the same key conflict", "[batch]") {
  BatchStateMachine machine(kGroup);
  control::CreateJobRequest create = createRequest("night");
  const JobId job = std::get<control::JobReply>(applyTo(machine, create)).status.job;
  CHECK(job == JobId("job-2-1"));
  CHECK(groupOfJob(job) == kGroup);

  create.spec.deadline = 99;
  CHECK(std::get<control::JobReply>(applyTo(machine, create)).status.job == job);
  create.spec.service = ServiceId("records");
  CHECK(errorKindOf(applyTo(machine, create)) == ErrorKind::kConflict);
  CHECK(machine.jobCount() == 1);
}

TEST_CASE("a job is found by its tenant and key", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = std::get<control::JobReply>(applyTo(machine, createRequest("night"))).status.job;
  const auto find = [&machine](const char* tenant, const char* key) {
    return machine.findNamedJob(control::FindJobRequest{TenantId(tenant), key});
  };
  CHECK(std::get<control::JobReply>(find("crew", "night")).status.job == job);
  CHECK(errorKindOf(find("crew", "day")) == ErrorKind::kNotFound);
  CHECK(errorKindOf(find("others", "night")) == ErrorKind::kNotFound);
}

TEST_CASE("a machine restored from a snapshot keeps producing identical snapshots", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = submit(machine, createRequest("night"), 40);
  applyTo(machine, completion(job, {{0, 1, ItemState::kCompleted, "first"}}));
  BatchStateMachine restored(kGroup);
  REQUIRE(isOk(restored.restore(machine.snapshot())));
  // Results of a size that fills several chunks of the arena, and one that is larger than a chunk.
  for (ItemIndex index = 1; index < 40; ++index) {
    const std::string result(index == 20 ? 20'000 : 700, 'r');
    const control::CompleteItemsRequest end = completion(job, {{index, 1, ItemState::kCompleted, result}});
    applyTo(machine, end);
    applyTo(restored, end);
    const bool equal = machine.snapshot() == restored.snapshot();
    CHECK(equal);
  }
}

TEST_CASE("only the canonical form of a job identifier is valid", "[batch]") {
  for (const char* text : {"", "job-", "job-1", "job-1-", "job-01-2", "job-1-2x", "job--1-2", "task-1-2"}) {
    CHECK_FALSE(groupOfJob(JobId(text)).has_value());
  }
}

TEST_CASE("parts are idempotent by number and content and arrive in any order", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = std::get<control::JobReply>(applyTo(machine, createRequest("parts"))).status.job;
  const control::AddPartRequest second{job, 1, makeItems(2, "second")};
  const control::AddPartRequest first{job, 0, makeItems(3, "first")};
  applyTo(machine, second);
  CHECK(errorKindOf(applyTo(machine, control::SealJobRequest{job, 2})) == ErrorKind::kConflict);
  applyTo(machine, first);
  applyTo(machine, first);
  control::AddPartRequest other = first;
  other.items[1].body = "{}";
  CHECK(errorKindOf(applyTo(machine, other)) == ErrorKind::kConflict);
  control::AddPartRequest moved = first;
  moved.items[0] = Item{moved.items[0].custom_id + "{", moved.items[0].body.substr(1)};
  CHECK(errorKindOf(applyTo(machine, moved)) == ErrorKind::kConflict);
  CHECK(errorKindOf(applyTo(machine, control::SealJobRequest{job, 1})) == ErrorKind::kConflict);

  CHECK(std::get<control::JobReply>(applyTo(machine, control::SealJobRequest{job, 2})).status.counts.total == 5);
  CHECK(std::holds_alternative<control::JobReply>(applyTo(machine, control::SealJobRequest{job, 2})));
  CHECK(errorKindOf(applyTo(machine, control::SealJobRequest{job, 3})) == ErrorKind::kConflict);
  CHECK(std::holds_alternative<control::JobReply>(applyTo(machine, first)));
  CHECK(errorKindOf(applyTo(machine, control::AddPartRequest{job, 2, makeItems(1)})) == ErrorKind::kConflict);
  CHECK(machine.findJob(job)->item(0).custom_id == "first-0");
  CHECK(machine.findJob(job)->item(4).custom_id == "second-1");
}

TEST_CASE("a part that exceeds the item limit of a job is rejected and leaves the job unchanged", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = std::get<control::JobReply>(applyTo(machine, createRequest("large"))).status.job;
  Job reference(job, 1, createRequest("large").spec, 0);
  REQUIRE(isOk(reference.addPart(0, std::vector<Item>(kMaxItemsPerJob))));
  const Status over = reference.addPart(1, std::vector<Item>(1));
  REQUIRE_FALSE(isOk(over));
  CHECK(errorOf(over).kind == ErrorKind::kTooLarge);
  CHECK(reference.status().parts == 1);
  const control::ControlReply part = applyTo(machine, control::AddPartRequest{job, kMaxPartsPerJob, makeItems(1)});
  CHECK(errorKindOf(part) == ErrorKind::kTooLarge);
}

TEST_CASE("the first terminal state of an item wins and stays readable", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = submit(machine, createRequest("work"), 2);
  applyTo(machine, completion(job, {{1, 1, ItemState::kCompleted, "one"}}));
  CHECK(allResults(machine, job).empty());
  applyTo(machine, completion(job, {{0, 1, ItemState::kPending, "no end"}, {7, 1, ItemState::kCompleted, "beyond"}}));
  applyTo(machine, completion(job, {{0, 1, ItemState::kCancelled, "not the job's cancel"}}));
  CHECK(statusOf(machine, job).state == JobState::kRunning);
  applyTo(machine, completion(job, {{0, 1, ItemState::kFailed, "zero"}, {1, 2, ItemState::kFailed, "late"}}));

  const std::vector<ItemResult> results = allResults(machine, job);
  REQUIRE(results.size() == 2);
  CHECK(results[0].custom_id == "item-0");
  CHECK(results[0].result == "zero");
  CHECK(results[0].state == ItemState::kFailed);
  CHECK(results[1].result == "one");
  CHECK(statusOf(machine, job).state == JobState::kFinished);
  CHECK(statusOf(machine, job).counts == JobCounts{2, 1, 1, 0, 0});
  CHECK(statusOf(machine, job).finished_at == 2000);
}

TEST_CASE("cancel ends pending items, and a later completion does not count", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = submit(machine, createRequest("stop"), 3);
  applyTo(machine, completion(job, {{1, 1, ItemState::kCompleted, "done"}}));
  CHECK(errorKindOf(applyTo(machine, control::CancelJobRequest{job, TenantId("other"), 3000})) == ErrorKind::kNotFound);
  applyTo(machine, control::CancelJobRequest{job, TenantId("crew"), 3000});
  applyTo(machine, completion(job, {{0, 1, ItemState::kCompleted, "late"}}));
  CHECK(statusOf(machine, job).counts == JobCounts{3, 1, 0, 2, 0});
  CHECK(statusOf(machine, job).state == JobState::kFinished);
  CHECK(allResults(machine, job)[0].state == ItemState::kCancelled);
  CHECK(machine.runningJobsAfter(0).empty());
}

TEST_CASE("a job cancelled before its seal accepts no further parts", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = std::get<control::JobReply>(applyTo(machine, createRequest("early"))).status.job;
  applyTo(machine, control::AddPartRequest{job, 0, makeItems(1)});
  applyTo(machine, control::CancelJobRequest{job, TenantId("crew"), 3000});
  CHECK(errorKindOf(applyTo(machine, control::AddPartRequest{job, 1, makeItems(1)})) == ErrorKind::kCancelled);
  CHECK(errorKindOf(applyTo(machine, control::SealJobRequest{job, 1})) == ErrorKind::kCancelled);
  CHECK(statusOf(machine, job).state == JobState::kFinished);
}

TEST_CASE("an unrepeatable item becomes terminal only by the attempt that started it", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = submit(machine, createRequest("once", true), 3);
  const auto granted = [&](const control::StartItemsRequest& request) {
    return std::get<control::StartItemsReply>(applyTo(machine, request)).granted.size();
  };
  applyTo(machine, completion(job, {{0, 1, ItemState::kCompleted, "never started"}}));
  CHECK(granted(startOf(job, 0, 1)) == 1);
  CHECK(granted(startOf(job, 0, 1)) == 1);
  CHECK(granted(startOf(job, 0, 2)) == 0);
  CHECK(granted(startOf(job, 0, 1, 2)) == 0);
  applyTo(machine, completion(job, {{0, 1, ItemState::kCompleted, "other session"}}, 2));
  applyTo(machine, completion(job, {{0, 2, ItemState::kCompleted, "other attempt"}}));
  CHECK(machine.findJob(job)->itemState(0) == ItemState::kStarted);

  CHECK(granted(startOf(job, 1, 1)) == 1);
  applyTo(machine, control::CancelJobRequest{job, TenantId("crew"), 3000});
  CHECK(statusOf(machine, job).state == JobState::kCancelling);
  CHECK(granted(startOf(job, 2, 1)) == 0);
  applyTo(machine, completion(job, {{0, 1, ItemState::kCompleted, "done"}, {1, 1, ItemState::kOutcomeUnknown, ""}}));
  CHECK(statusOf(machine, job).counts == JobCounts{3, 1, 0, 1, 1});
  CHECK(granted(startOf(job, 1, 1)) == 0);
  CHECK(machine.jobsWithStartedItems().empty());
}

TEST_CASE("a run is claimed once and a repeated claim is granted to the same claimant only", "[batch]") {
  BatchStateMachine machine(kGroup);
  const control::ClaimRunRequest claim{TenantId("crew"), "key", "digest", "gateway-1-claim-1", 1000};
  CHECK(std::get<control::ClaimRunReply>(applyTo(machine, claim)).granted);
  BatchStateMachine restored(kGroup);
  REQUIRE(isOk(restored.restore(machine.snapshot())));
  CHECK(std::get<control::ClaimRunReply>(applyTo(restored, claim)).granted);
  control::ClaimRunRequest second = claim;
  second.claimant = "gateway-2-claim-1";
  CHECK_FALSE(std::get<control::ClaimRunReply>(applyTo(restored, second)).granted);
  control::ClaimRunRequest other = claim;
  other.digest = "another";
  CHECK(errorKindOf(applyTo(restored, other)) == ErrorKind::kConflict);
}

TEST_CASE("results are paged by count and by bytes", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = submit(machine, createRequest("pages"), 5);
  std::vector<ItemOutcome> outcomes;
  for (ItemIndex index = 0; index < 5; ++index) {
    outcomes.push_back({index, 1, ItemState::kCompleted, std::string(kMaxResultBytesPerPage / 2, 'r')});
  }
  applyTo(machine, completion(job, outcomes));
  const auto page = [&](ItemIndex from, std::uint32_t most) {
    return std::get<control::ResultsReply>(machine.getResults({job, TenantId("crew"), from, most}));
  };
  CHECK(page(0, 1).next == 1);
  CHECK(page(0, 0).next == 2);
  CHECK(page(4, 0).next == 5);
  CHECK(page(9, 0).results.empty());
  CHECK(errorKindOf(machine.getResults({job, TenantId("other"), 0, 1})) == ErrorKind::kNotFound);
}

TEST_CASE("commands that do not decode and damaged snapshots change nothing", "[batch]") {
  BatchStateMachine machine(kGroup);
  const JobId job = submit(machine, createRequest("kept"), 2);
  const std::string before = machine.snapshot();
  const Result<control::ControlReply> reply = decodeTagged<control::ControlReply>(machine.apply(9, "\xff garbage"));
  REQUIRE(isOk(reply));
  CHECK(errorKindOf(valueOf(reply)) == ErrorKind::kProtocol);
  CHECK(errorKindOf(applyTo(machine, control::LeaseItemsRequest{})) == ErrorKind::kProtocol);
  CHECK_FALSE(isOk(machine.restore(before.substr(0, before.size() / 2))));
  CHECK_FALSE(isOk(machine.restore(encodeCbor({{"jobs", 5}}))));
  CHECK(machine.snapshot() == before);
  CHECK(machine.findJob(job) != nullptr);
}

}  // namespace
}  // namespace hatchfork::batch
