#include "connection/event_stream.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace hatchfork::connection;

namespace {

std::vector<StreamEvent> eventsOf(EventSplitter& splitter) {
  std::vector<StreamEvent> events;
  while (auto event = splitter.next()) events.push_back(*event);
  return events;
}

}  // namespace

TEST_CASE("events come out whole however the bytes are cut", "[events]") {
  const std::string stream = "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n: comment\n\nid:3\ndata:\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    std::string joined;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      splitter.append(std::string_view(stream).substr(at, size));
      for (const StreamEvent& event : eventsOf(splitter)) {
        joined += event.bytes;
        events.push_back(event);
      }
    }
    REQUIRE(joined == stream);
    REQUIRE(events.size() == 4);
    REQUIRE(events[0].id == 1u);
    REQUIRE(events[1].data == "two\nlines");
    REQUIRE_FALSE(events[2].id);
    REQUIRE(events[3].id == 3u);
    REQUIRE(events[3].data.empty());
    REQUIRE_FALSE(splitter.hasPartial());
  }
}

TEST_CASE("an event that is cut off stays inside", "[events]") {
  EventSplitter splitter;
  splitter.append("id: 1\ndata: one\n\nid: 2\ndata: tw");
  REQUIRE(eventsOf(splitter).size() == 1);
  REQUIRE(splitter.hasPartial());
  splitter.append("o\n");
  REQUIRE(eventsOf(splitter).empty());
}

TEST_CASE("carriage returns end lines too", "[events]") {
  EventSplitter splitter;
  splitter.append("id: 7\r\ndata: x\r\n\r\nid: 8\r\n");
  const auto events = eventsOf(splitter);
  REQUIRE(events.size() == 1);
  REQUIRE(events[0].id == 7u);
  REQUIRE(events[0].data == "x");
  REQUIRE(splitter.hasPartial());
}

// Guards against a buffer that grows for as long as an engine sends bytes that end no event.
TEST_CASE("bytes without a useful event are recognised, and whole events are not kept", "[events][endless]") {
  constexpr std::size_t kPieces = 100000;
  EventSplitter splitter;
  SECTION("no event has an end") {
    for (std::size_t i = 0; i < kPieces && !splitter.isUseless(); ++i) {
      splitter.append("data: no line's end ");
      REQUIRE(eventsOf(splitter).empty());
    }
    REQUIRE(splitter.isUseless());
  }
  SECTION("events come that are of no use") {
    for (std::size_t i = 0; i < kPieces && !splitter.isUseless(); ++i) {
      splitter.append(": comment that is of no use\n\n");
      REQUIRE(eventsOf(splitter).size() == 1);
    }
    REQUIRE(splitter.isUseless());
  }
  SECTION("all events are of use, and each piece ends inside one") {
    splitter.append("data: x");
    for (std::size_t i = 0; i < kPieces; ++i) {
      splitter.append("\n\ndata: some text of an answer");
      REQUIRE(eventsOf(splitter).size() == 1);
      REQUIRE(splitter.heldBytes() < 100);
      splitter.noteUseful();
    }
    REQUIRE_FALSE(splitter.isUseless());
  }
}
