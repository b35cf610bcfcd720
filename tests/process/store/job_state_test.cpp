#include "process/store/job_state.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork;
using namespace hatchfork::store;
using request::RequestFingerprint;

namespace {

constexpr std::uint64_t kChain = 77;
const WaitingLimit kRoute{"a.example", "/x/", 0, TenantId()};

std::string apply(JobState& state, const JobCommand& command) {
  return state.apply(1, encodeTagged(command));
}

JobSubmission job(const std::string& id, int items) {
  JobSubmission made;
  made.id = JobId(id);
  made.host = "a.example";
  made.path = "/x/";
  for (int i = 0; i < items; ++i) {
    made.items.push_back(OpaqueItem{"item-" + std::to_string(i), "/x/1", {{"X-A", "1"}}, std::string("b\0y", 3), 10});
  }
  return made;
}

ListResults result(const std::string& id, int item, const std::string& text) {
  return ListResults{{JobResult{JobId(id), {"item-" + std::to_string(item), ItemOutcome::kCompleted, text}, 0, 0}}};
}

SaveProgress progress(const std::string& id, int item, std::uint64_t after, std::uint64_t last,
                      const std::string& text) {
  return SaveProgress{{ItemProgress{JobId(id), "item-" + std::to_string(item), after, after == 0 ? 0u : kChain, last,
                                    kChain, text, 0}}};
}

void beginToKeepEnds(JobState& state) {
  REQUIRE(apply(state, DropJobs{{}, /*begins_to_keep_ends=*/true}) == kApplyChanged);
}

}  // namespace

TEST_CASE("a job is kept once", "[store]") {
  JobState state;
  REQUIRE(apply(state, SubmitJob{job("j", 2)}) == "changed");
  REQUIRE(apply(state, SubmitJob{job("j", 5)}) == "unchanged");
  REQUIRE(state.find(JobId("j"))->submission.items.size() == 2);
}

TEST_CASE("a submission that arrives after the end of its job is not accepted", "[store]") {
  JobState state;
  beginToKeepEnds(state);
  REQUIRE(state.apply(1, encodeTagged(JobCommand(EndJob{JobId("j")}))) == kApplyEndKept);
  REQUIRE(state.apply(2, encodeTagged(JobCommand(SubmitJob{job("j", 2)}))) == kApplyEndedBefore);
  REQUIRE(state.find(JobId("j")) == nullptr);
  // The same after a snapshot, whole or in pieces.
  JobState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.apply(3, encodeTagged(JobCommand(SubmitJob{job("j", 2)}))) == kApplyEndedBefore);
  JobState pieced;
  state.beginSnapshot();
  pieced.beginRestore();
  while (std::optional<std::string> piece = state.nextSnapshotPiece()) REQUIRE(isOk(pieced.restorePiece(*piece)));
  REQUIRE(isOk(pieced.endRestore()));
  REQUIRE(pieced.apply(3, encodeTagged(JobCommand(SubmitJob{job("j", 2)}))) == kApplyEndedBefore);
  // Once no submission can be under way, the end is removed.
  DropJobs drop;
  drop.ends_through = 1;
  REQUIRE(state.apply(4, encodeTagged(JobCommand(drop))) == kApplyChanged);
  REQUIRE(state.apply(5, encodeTagged(JobCommand(SubmitJob{job("j", 2)}))) == kApplyChanged);
}

TEST_CASE("ends of jobs that the group does not have are kept from the entry on that says so", "[store][upgrade]") {
  JobState state;
  REQUIRE(apply(state, EndJob{JobId("before")}) == kApplyNoJob);
  REQUIRE(apply(state, SubmitJob{job("before", 2)}) == kApplyChanged);
  beginToKeepEnds(state);
  REQUIRE(apply(state, DropJobs{{}, /*begins_to_keep_ends=*/true}) == kApplyUnchanged);
  // Entries that do not say so end nothing, and a snapshot holds it.
  REQUIRE(apply(state, DropJobs{}) == kApplyUnchanged);
  JobState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(apply(restored, EndJob{JobId("after")}) == kApplyEndKept);
}

TEST_CASE("a job that was ended and dropped is not accepted again", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 2)});
  apply(state, SubmitJob{job("finished", 1)});
  apply(state, result("finished", 0, "text"));
  apply(state, EndJob{JobId("j")});
  beginToKeepEnds(state);
  REQUIRE(apply(state, DropJobs{{JobId("j"), JobId("finished")}}) == kApplyChanged);
  REQUIRE(apply(state, SubmitJob{job("j", 2)}) == kApplyEndedBefore);
  REQUIRE(apply(state, SubmitJob{job("finished", 1)}) == kApplyChanged);
}

TEST_CASE("an item is listed once, at a position that stays", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 3)});
  apply(state, result("j", 2, "first"));
  REQUIRE(apply(state, result("j", 2, "again")) == "unchanged");
  apply(state, result("j", 0, "second"));
  const ResultsReply page = resultsFrom(*state.find(JobId("j")), 0, 1000);
  REQUIRE(page.total == 3);
  REQUIRE(page.next == 2);
  REQUIRE(page.results[0].text == "first");
  REQUIRE(page.results[1].id == "item-0");
  REQUIRE(resultsFrom(*state.find(JobId("j")), 1, 1000).results.front().text == "second");
  REQUIRE(resultsFrom(*state.find(JobId("j")), 2, 1000).results.empty());
  REQUIRE(apply(state, result("other", 1, "x")) == "unchanged");
}

TEST_CASE("progress is kept in order and joined to the text of the result", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 2)});
  REQUIRE(apply(state, progress("j", 0, 0, 3, "one")) == "changed");
  // A duplicate, a gap and a step back change nothing.
  REQUIRE(apply(state, progress("j", 0, 0, 3, "one")) == "unchanged");
  REQUIRE(apply(state, progress("j", 0, 5, 9, "x")) == "unchanged");
  REQUIRE(apply(state, progress("j", 0, 3, 2, "x")) == "unchanged");
  REQUIRE(apply(state, progress("j", 0, 3, 6, "\ntwo")) == "changed");
  ListResults rest = result("j", 0, "\nthree");
  rest.results[0].after_event = 3;
  rest.results[0].after_chain = kChain;
  REQUIRE(apply(state, rest) == "unchanged");
  rest.results[0].after_event = 6;
  REQUIRE(apply(state, rest) == "changed");
  REQUIRE(state.find(JobId("j"))->results[0].text == "one\ntwo\nthree");
  REQUIRE(state.find(JobId("j"))->progress.empty());
  REQUIRE(state.heldBytes() == 3 + 13);
  // The progress of a listed item is ignored.
  REQUIRE(apply(state, progress("j", 0, 0, 3, "one")) == "unchanged");
}

TEST_CASE("texts of different chains of runs are never joined", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 1)});
  apply(state, progress("j", 0, 0, 3, "one"));
  // A new chain began after event 3; then a late save of the old chain is applied.
  apply(state, progress("j", 0, 3, 9, "old"));
  SaveProgress late = progress("j", 0, 3, 9, "new");
  late.items[0].chain = 88;
  REQUIRE(apply(state, late) == "unchanged");
  ListResults rest = result("j", 0, "end");
  rest.results[0].after_event = 9;
  rest.results[0].after_chain = 88;
  REQUIRE(apply(state, rest) == "unchanged");
  rest.results[0].after_event = 0;
  REQUIRE(apply(state, rest) == "changed");
  REQUIRE(state.find(JobId("j"))->results[0].text == "end");
}

TEST_CASE("failures of an item are counted over all leaders", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 1)});
  SaveProgress failed = progress("j", 0, 0, 0, "");
  failed.items[0].failures = 2;
  REQUIRE(apply(state, failed) == "changed");
  failed.items[0].failures = 1;
  REQUIRE(apply(state, failed) == "unchanged");
  REQUIRE(apply(state, progress("j", 0, 0, 3, "one")) == "changed");
  REQUIRE(state.find(JobId("j"))->progress.at("item-0").failures == 2);
}

TEST_CASE("a failed run counts once, whichever leader reports it, also after a snapshot", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 1)});
  SaveProgress failed = progress("j", 0, 0, 0, "");
  failed.items[0].failed_runs = {7};
  failed.items[0].failures = 1;
  REQUIRE(apply(state, failed) == "changed");
  REQUIRE(apply(state, failed) == "unchanged");
  // Another leader reports the same failed run and a second one, with a count that includes no earlier failure.
  failed.items[0].failed_runs = {7, 9};
  REQUIRE(apply(state, failed) == "changed");
  REQUIRE(state.find(JobId("j"))->progress.at("item-0").failures == 2);
  JobState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(apply(restored, failed) == "unchanged");
  REQUIRE(restored.find(JobId("j"))->progress.at("item-0").failures == 2);
  REQUIRE(restored.isFailureCounted(JobId("j"), "item-0", 9));
  REQUIRE_FALSE(restored.isFailureCounted(JobId("j"), "item-0", 8));
}

TEST_CASE("a whole text replaces kept progress", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 1)});
  apply(state, progress("j", 0, 0, 3, "one"));
  apply(state, result("j", 0, "whole"));
  REQUIRE(state.find(JobId("j"))->results[0].text == "whole");
  REQUIRE(state.heldBytes() == 5);
}

TEST_CASE("a page of results is bounded but has at least one result", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 3)});
  for (int i = 0; i < 3; ++i) apply(state, result("j", i, std::string(400, 'x')));
  REQUIRE(resultsFrom(*state.find(JobId("j")), 0, 900).results.size() == 2);
  REQUIRE(resultsFrom(*state.find(JobId("j")), 0, 10).results.size() == 1);
}

TEST_CASE("an ended job is finished and keeps its results", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 2)});
  apply(state, result("j", 1, "kept"));
  REQUIRE_FALSE(state.find(JobId("j"))->isFinished());
  REQUIRE(apply(state, EndJob{JobId("j")}) == "changed");
  REQUIRE(apply(state, EndJob{JobId("j")}) == "unchanged");
  REQUIRE(state.find(JobId("j"))->isFinished());
  REQUIRE(resultsFrom(*state.find(JobId("j")), 0, 1000).results.size() == 1);
}

TEST_CASE("a snapshot restores jobs, results and open items", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 3)});
  apply(state, SubmitJob{job("k", 1)});
  apply(state, result("j", 1, "done"));
  apply(state, EndJob{JobId("k")});
  apply(state, progress("j", 2, 0, 4, "so far"));
  JobState other;
  REQUIRE(isOk(other.restore(state.snapshot())));
  REQUIRE(other.snapshot() == state.snapshot());
  REQUIRE(other.heldBytes() == state.heldBytes());
  REQUIRE(other.find(JobId("j"))->open_items.size() == 2);
  REQUIRE(other.find(JobId("j"))->submission.items[0].body == std::string("b\0y", 3));
  REQUIRE(other.find(JobId("j"))->progress.at("item-2").text == "so far");
  REQUIRE(other.find(JobId("k"))->ended);
  REQUIRE_FALSE(isOk(other.restore("rubbish")));
}

TEST_CASE("dropped jobs release their bytes", "[store]") {
  JobState state;
  apply(state, SubmitJob{job("j", 3)});
  apply(state, result("j", 1, "done"));
  REQUIRE(state.heldBytes() == 2 * 3 + 4);
  apply(state, DropJobs{{JobId("j")}});
  REQUIRE(state.find(JobId("j")) == nullptr);
  REQUIRE(state.heldBytes() == 0);
}

TEST_CASE("a listed item holds the memory of its text and no more", "[store]") {
  JobState state;
  JobSubmission large = job("j", 1);
  large.items.front().body = std::string(20000, 'b');
  apply(state, SubmitJob{large});
  const std::string part(3000, 't');
  apply(state, progress("j", 0, 0, 10, part));
  apply(state, progress("j", 0, 10, 20, part));
  apply(state, ListResults{{JobResult{JobId("j"), {"item-0", ItemOutcome::kCompleted, part}, 20, kChain}}});
  const StoredJob& stored = *state.find(JobId("j"));
  REQUIRE(stored.results.front().text.size() == 9000);
  REQUIRE(stored.results.front().text.capacity() < 9100);
  REQUIRE(stored.submission.items.front().body.capacity() < 100);
  REQUIRE(stored.submission.items.front().headers.capacity() == 0);
  REQUIRE(state.heldBytes() == 9000);
}

namespace {

SubmitJob limited(const std::string& id, int items, std::uint64_t most_tokens, std::uint64_t attempt) {
  return SubmitJob{job(id, items), WaitingLimit{"a.example", "/x/", most_tokens}, attempt};
}

}  // namespace

TEST_CASE("a job that exceeds the limit of waiting tokens on its route is refused as a whole", "[store][limit]") {
  JobState state;
  REQUIRE(apply(state, limited("j", 3, 50, 1)) == "changed");
  REQUIRE(state.waitingTokens(kRoute) == 30);
  REQUIRE(apply(state, limited("k", 3, 50, 2)) == "over_limit");
  REQUIRE(state.find(JobId("k")) == nullptr);
  // A job that just fits is accepted, and the limit counts all submitters of the route together.
  REQUIRE(apply(state, limited("l", 2, 50, 3)) == "changed");
  REQUIRE(apply(state, limited("m", 1, 50, 4)) == "over_limit");
  // A raised limit applies at once, and so does a limit far below the waiting tokens; zero means no limit.
  REQUIRE(apply(state, limited("n", 1, 60, 5)) == "changed");
  REQUIRE(apply(state, limited("o", 1, 10, 6)) == "over_limit");
  REQUIRE(apply(state, limited("p", 9, 0, 7)) == "changed");
}

TEST_CASE("a stored job is never refused when it is submitted again", "[store][limit]") {
  JobState state;
  REQUIRE(apply(state, limited("j", 3, 30, 1)) == "changed");
  REQUIRE(apply(state, limited("j", 3, 30, 2)) == "unchanged");
  REQUIRE(state.waitingTokens(kRoute) == 30);
}

TEST_CASE("waiting tokens are released when items end and when their job is ended", "[store][limit]") {
  JobState state;
  apply(state, limited("j", 3, 0, 1));
  apply(state, result("j", 1, "x"));
  REQUIRE(state.waitingTokens(kRoute) == 20);
  REQUIRE(state.listedTokens() == 10);
  apply(state, result("j", 1, "x"));
  REQUIRE(state.waitingTokens(kRoute) == 20);
  apply(state, EndJob{JobId("j")});
  REQUIRE(state.waitingTokens(kRoute) == 0);
  REQUIRE(state.waitingTokens() == 0);
}

TEST_CASE("jobs of other routes do not count towards the limit", "[store][limit]") {
  JobState state;
  SubmitJob other = limited("j", 9, 0, 1);
  other.job.path = "/y/";
  apply(state, other);
  REQUIRE(state.waitingTokens(kRoute) == 0);
  REQUIRE(state.waitingTokens(WaitingLimit{"b.example", "/y/"}) == 0);
  REQUIRE(state.waitingTokens(WaitingLimit{"a.example", "/y/"}) == 90);
}

TEST_CASE("a refusal applies to every copy of the same attempt, a later attempt is checked again", "[store][limit]") {
  JobState state;
  apply(state, limited("j", 3, 30, 1));
  REQUIRE(apply(state, limited("k", 1, 30, 2)) == "over_limit");
  apply(state, EndJob{JobId("j")});
  REQUIRE(apply(state, limited("k", 1, 30, 2)) == "over_limit");
  JobState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(apply(restored, limited("k", 1, 30, 2)) == "over_limit");
  REQUIRE(apply(state, limited("k", 1, 30, 3)) == "changed");
}

TEST_CASE("a restored state counts the same waiting tokens", "[store][limit]") {
  JobState state;
  apply(state, limited("j", 5, 0, 1));
  apply(state, result("j", 2, "x"));
  JobState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.waitingTokens(kRoute) == 40);
  apply(restored, result("j", 3, "x"));
  REQUIRE(restored.waitingTokens(kRoute) == 30);
}

namespace {

SubmitJob ofTenant(const std::string& tenant, const std::string& id, std::uint64_t most_tokens) {
  SubmitJob submit = limited(id, 3, most_tokens, 0);
  submit.job.tenant = TenantId(tenant);
  submit.limit.tenant = TenantId(tenant);
  return submit;
}

}  // namespace

TEST_CASE("the limit of waiting tokens applies to each tenant separately", "[store][limit][tenant]") {
  JobState state;
  REQUIRE(apply(state, ofTenant("crew", "j", 30)) == "changed");
  REQUIRE(apply(state, ofTenant("office", "k", 30)) == "changed");
  REQUIRE(apply(state, ofTenant("crew", "l", 30)) == "over_limit");
  REQUIRE(state.waitingTokens(WaitingLimit{"a.example", "/x/", 0, TenantId("crew")}) == 30);
}

TEST_CASE("a job belongs to its tenant, also after a snapshot", "[store][tenant]") {
  JobState state;
  apply(state, ofTenant("crew", "j", 0));
  REQUIRE(apply(state, ofTenant("office", "j", 0)) == "unknown_job");
  REQUIRE(apply(state, EndJob{JobId("j"), TenantId("office")}) == "unknown_job");
  REQUIRE_FALSE(state.find(JobId("j"))->ended);
  JobState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.find(JobId("j"))->isVisibleTo(TenantId("crew")));
  REQUIRE_FALSE(restored.find(JobId("j"))->isVisibleTo(TenantId("office")));
  REQUIRE_FALSE(restored.find(JobId("j"))->isVisibleTo(TenantId()));
  REQUIRE(apply(restored, EndJob{JobId("j"), TenantId("crew")}) == "changed");
}

TEST_CASE("a job without a tenant is visible to all tenants", "[store][tenant]") {
  JobState state;
  apply(state, SubmitJob{job("j", 1)});
  REQUIRE(state.find(JobId("j"))->isVisibleTo(TenantId("crew")));
}

TEST_CASE("engine crashes are kept once each, in snapshots too, and bounded", "[store][crash]") {
  JobState state;
  const auto keep = [&state](const std::string& content, const std::string& engine, WallMillis ended_at) {
    const StoredCrash crash{request::RequestFingerprint(content), EngineId(engine), ended_at, 30};
    return state.apply(1, encodeTagged(JobCommand(SaveCrashes{{crash}, {}})));
  };
  REQUIRE(keep("a", "e1", 1000) == kApplyChanged);
  REQUIRE(keep("a", "e1", 1010) == kApplyUnchanged);
  REQUIRE(keep("a", "e2", 2000) == kApplyChanged);
  JobState restored;
  REQUIRE(isOk(restored.restore(state.snapshot())));
  REQUIRE(restored.keptCrashes().contains(request::RequestFingerprint("a"), EngineId("e2")));
  REQUIRE(restored.snapshot() == state.snapshot());
  for (int number = 0; number < 1500; ++number) keep("b" + std::to_string(number), "e", 3000 + number);
  REQUIRE(state.keptCrashes().requests() == 1000);
  REQUIRE_FALSE(state.keptCrashes().contains(request::RequestFingerprint("a"), EngineId("e1")));
}

// Guards against a request that was cleared by a complete answer and is a suspect again once all processes restart.
TEST_CASE("crashes of a request that got a complete answer are removed", "[store][crash]") {
  JobState state;
  const RequestFingerprint content("a");
  const SaveCrashes save{{{content, EngineId("e1"), 1000, 30}, {content, EngineId("e2"), 2000, 30}}, {}};
  REQUIRE(state.apply(1, encodeTagged(JobCommand(save))) == kApplyChanged);
  const SaveCrashes clear{{}, {content}};
  REQUIRE(state.apply(2, encodeTagged(JobCommand(clear))) == kApplyChanged);
  REQUIRE(state.apply(3, encodeTagged(JobCommand(clear))) == kApplyUnchanged);
  REQUIRE(state.keptCrashes().requests() == 0);
}

// Guards against many requests with two crashes each crowding out one that is refused for hours.
TEST_CASE("crashes of refused requests are kept the longest", "[store][crash]") {
  JobState state;
  std::uint64_t index = 0;
  const auto keep = [&](const std::string& content, const std::string& engine, WallMillis ended_at) {
    const StoredCrash crash{RequestFingerprint(content), EngineId(engine), ended_at, 30};
    state.apply(++index, encodeTagged(JobCommand(SaveCrashes{{crash}, {}})));
  };
  for (const char* engine : {"e1", "e2", "e3"}) keep("refused", engine, 1000);
  for (const char* engine : {"e1", "e2"}) keep("suspect", engine, 2000);
  for (int number = 0; number < 1500; ++number) keep("b" + std::to_string(number), "e", 3000 + number);
  REQUIRE(state.keptCrashes().contains(RequestFingerprint("refused"), EngineId("e3")));
  REQUIRE_FALSE(state.keptCrashes().contains(RequestFingerprint("suspect"), EngineId("e1")));
  keep("later", "e", 3600 * 1000);
  REQUIRE(state.keptCrashes().requests() == 2);
}
