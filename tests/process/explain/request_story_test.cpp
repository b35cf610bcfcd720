#include "process/explain/request_story.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork::explain;

namespace {

RequestStory storyOf(const std::string& id, const std::vector<std::string>& lines) {
  StoryCollector collector(id);
  for (const std::string& line : lines) collector.take(line);
  return collector.finish();
}

}  // namespace

TEST_CASE("log lines are cut into fields, quoted ones too", "[explain]") {
  LogLine line;
  REQUIRE(parseLogLine(
      R"(  12.5 gw ts=100.250 level=info node=gw event=attempt_ended request=ab cause="a \"b\" c" n=1)", line));
  REQUIRE(line.time == Approx(100.25));
  REQUIRE(line.node == "gw");
  REQUIRE(line.event == "attempt_ended");
  REQUIRE(line.field("cause") == "a \"b\" c");
  REQUIRE(line.field("n") == "1");
  REQUIRE_FALSE(parseLogLine("no pairs here", line));
}

TEST_CASE("a story has the lines of one request in order of time", "[explain]") {
  const RequestStory story = storyOf("r1", {"ts=3 node=g event=request_ended request=r1 outcome=answered",
                                            "ts=1 node=g event=attempt_sent request=r1 engine=e1",
                                            "ts=2 node=g event=attempt_ended request=r1 outcome=declined",
                                            "ts=2 node=g event=attempt_sent request=r2 engine=e1",
                                            "ts=2.5 node=g event=attempt_sent request=r1 engine=e2"});
  REQUIRE(story.lines.size() == 4);
  REQUIRE(story.lines.front().event == "attempt_sent");
  REQUIRE(story.lines.back().event == "request_ended");
  REQUIRE(story.missing.empty());
}

TEST_CASE("a story says what is missing", "[explain]") {
  REQUIRE(storyOf("r1", {"ts=1 node=g event=attempt_sent request=r2 engine=e1"}).missing.size() == 1);
  const RequestStory open = storyOf("r1", {"ts=1 node=g event=attempt_sent request=r1 engine=e1"});
  REQUIRE(open.missing.size() == 2);
  REQUIRE_THAT(open.missing.front(), Catch::Contains("e1"));
}

TEST_CASE("a job's story gathers its items", "[explain]") {
  const RequestStory story = storyOf("j1", {"ts=1 node=s event=job_submitted job=j1 items=2 kept=true",
                                            "ts=2 node=s event=item_sent job=j1 request=i1 engine=e1",
                                            "ts=3 node=s event=item_sent job=j1 request=i2 engine=e1"});
  REQUIRE(story.lines.size() == 3);
  REQUIRE(story.missing.empty());
}
