#include "request/exchange/stream_position.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

using namespace hatchfork::request;

TEST_CASE("an event identifier is a decimal number and nothing else", "[stream]") {
  REQUIRE(parseEventId("0") == 0u);
  REQUIRE(parseEventId("18446744073709551615") == 18446744073709551615u);
  for (const char* text : {"", "nine", "-1", "+1", "9x", " 9", "9 ", "18446744073709551616"}) {
    CAPTURE(text);
    REQUIRE_FALSE(parseEventId(text).has_value());
  }
}

TEST_CASE("events are checked against the reader's position before the first attempt", "[stream]") {
  StreamPosition position(8);
  REQUIRE(position.last() == 8u);
  REQUIRE(position.take(1, true) == EventPlace::kRepeated);
  REQUIRE(position.take(8, true) == EventPlace::kRepeated);
  REQUIRE(position.take(10, true) == EventPlace::kGap);
  REQUIRE(position.take(std::nullopt, true) == EventPlace::kUnknown);
  REQUIRE(position.take(std::nullopt, false) == EventPlace::kNext);
  REQUIRE(position.last() == 8u);
  REQUIRE(position.take(9, true) == EventPlace::kNext);
  REQUIRE(position.last() == 9u);
  REQUIRE(position.canResume());
}

TEST_CASE("an event without an identifier follows the previous event of its own answer", "[stream]") {
  StreamPosition position(2);
  position.beginAnswer(hatchfork::EngineBuild("v1"));
  REQUIRE(position.take(std::nullopt, true) == EventPlace::kUnknown);
  // The engine repeats events that the reader has: the event after event 1 is event 2, with or without an identifier.
  REQUIRE(position.take(1, true) == EventPlace::kRepeated);
  REQUIRE(position.take(std::nullopt, true) == EventPlace::kUnknown);
  REQUIRE(position.take(2, true) == EventPlace::kRepeated);
  SECTION("right after the last event that the reader has") {
    REQUIRE(position.take(std::nullopt, true) == EventPlace::kNext);
  }
  SECTION("at the end, as an end mark") {
    REQUIRE(position.take(3, true) == EventPlace::kNext);
    REQUIRE(position.canResume());
    REQUIRE(position.take(std::nullopt, true) == EventPlace::kNext);
  }
  REQUIRE_FALSE(position.canResume());
  position.beginAnswer(hatchfork::EngineBuild("v1"));
  REQUIRE(position.take(std::nullopt, true) == EventPlace::kUnknown);
}

TEST_CASE("a text without identifiers cannot be resumed at another engine", "[stream]") {
  StreamPosition position;
  REQUIRE(position.take(std::nullopt, false) == EventPlace::kNext);
  REQUIRE(position.canResume());
  REQUIRE(position.take(std::nullopt, true) == EventPlace::kNext);
  REQUIRE_FALSE(position.canResume());
  REQUIRE(position.take(1, true) == EventPlace::kNext);
  REQUIRE_FALSE(position.canResume());
}

// Guards against callers that are cut off after the last event of their text.
TEST_CASE("a text that two engines end by a close at the same event is whole", "[stream]") {
  StreamPosition position;
  position.take(1, true);
  REQUIRE_FALSE(position.mayBeComplete());
  REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kUnproved);
  REQUIRE(position.mayBeComplete());
  SECTION("another answer is framed") {
    position.take(1, true);
    REQUIRE(position.judgeEnd(AnswerEnd::kFramed) == TextEnd::kWhole);
  }
  SECTION("another answer is closed in the same place") {
    REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kWhole);
  }
  SECTION("another answer repeats events and is closed in the same place") {
    position.take(1, true);
    REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kWhole);
  }
  SECTION("another answer goes on") {
    REQUIRE(position.take(2, true) == EventPlace::kNext);
    REQUIRE_FALSE(position.mayBeComplete());
    REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kBroken);
    REQUIRE_FALSE(position.mayBeComplete());
    REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kWhole);
  }
  SECTION("another answer goes on and breaks off inside an event") {
    position.noteMoreFollows();
    REQUIRE_FALSE(position.mayBeComplete());
    REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kBroken);
  }
  SECTION("another answer goes on with a later event") {
    REQUIRE(position.take(3, true) == EventPlace::kGap);
    REQUIRE_FALSE(position.mayBeComplete());
  }
  SECTION("another answer goes on without an identifier") {
    position.beginAnswer(hatchfork::EngineBuild("v1"));
    REQUIRE(position.take(std::nullopt, true) == EventPlace::kUnknown);
    REQUIRE_FALSE(position.mayBeComplete());
  }
  SECTION("the close is known from an earlier run") {
    StreamPosition later(1, /*ended_by_close=*/true);
    REQUIRE(later.judgeEnd(AnswerEnd::kClosed) == TextEnd::kWhole);
  }
}

TEST_CASE("an answer that is closed before the last event that the reader has proves nothing", "[stream]") {
  StreamPosition position(5);
  REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kUnproved);
  position.beginAnswer(hatchfork::EngineBuild("v1"));
  for (const std::uint64_t event : {1u, 2u, 3u}) REQUIRE(position.take(event, true) == EventPlace::kRepeated);
  REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kBroken);
  REQUIRE(position.mayBeComplete());
}

TEST_CASE("a text without an event is not whole by a close", "[stream]") {
  StreamPosition position;
  for (int answer = 0; answer < 2; ++answer) {
    position.beginAnswer(hatchfork::EngineBuild("v1"));
    REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kBroken);
    REQUIRE_FALSE(position.mayBeComplete());
  }
  SECTION("a framed end proves it") {
    REQUIRE(position.judgeEnd(AnswerEnd::kFramed) == TextEnd::kWhole);
  }
  SECTION("the close turns out to be a break") {
    REQUIRE(position.take(1, true) == EventPlace::kNext);
    REQUIRE(position.judgeEnd(AnswerEnd::kClosed) == TextEnd::kBroken);
    REQUIRE_FALSE(position.mayBeComplete());
  }
}

TEST_CASE("for any attempts, the reader gets each event once and in order", "[stream][property]") {
  rc::check([](std::uint8_t had, const std::vector<std::vector<std::uint8_t>>& attempts) {
    StreamPosition position(had);
    std::uint64_t last = had;
    for (const std::vector<std::uint8_t>& attempt : attempts) {
      RC_ASSERT(position.last() == last);
      for (const std::uint8_t id : attempt) {
        const bool is_next = id == last + 1;
        RC_ASSERT((position.take(id, true) == EventPlace::kNext) == is_next);
        if (is_next) ++last;
      }
    }
    RC_ASSERT(position.last() == last);
  });
}

TEST_CASE("a text belongs to the build that wrote its first event", "[stream]") {
  const hatchfork::EngineBuild first("v1");
  const hatchfork::EngineBuild second("v2");
  StreamPosition position;
  REQUIRE_FALSE(position.build());
  // An answer that breaks off before its first event leaves the choice open, as does an event without data.
  position.beginAnswer(first);
  REQUIRE(position.take(std::nullopt, false) == EventPlace::kNext);
  REQUIRE_FALSE(position.build());
  position.beginAnswer(second);
  REQUIRE(position.take(1, true) == EventPlace::kNext);
  REQUIRE(position.build() == second);
  position.beginAnswer(first);
  REQUIRE(position.take(2, true) == EventPlace::kNext);
  REQUIRE(position.build() == second);
  REQUIRE(StreamPosition(4, false, first).build() == first);
}
