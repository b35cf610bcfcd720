#include "process/fleet/placement_messages.hpp"

#include <catch2/catch.hpp>

#include "process/fleet/fleet_messages.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;

// Gateways and stores of this release and of the one before understand each other's frames.

TEST_CASE("placement frames of the older release are read", "[placement]") {
  const auto answer = nlohmann::json::array({7, "e1", 12.5, 3.0}).get<PlacementAnswer>();
  REQUIRE(answer.engine == EngineId("e1"));
  REQUIRE(answer.slowness == 1);
  REQUIRE(answer.pace_age_ms == -1);
  const auto ended = nlohmann::json::array({7, 0}).get<EndedRequest>();
  REQUIRE_FALSE(ended.timing);
  const auto empty = nlohmann::json::array();
  const auto notes = nlohmann::json::array({"g1", false, empty, {7}, {{8, 0}}}).get<PlacementNotes>();
  REQUIRE(notes.answering == std::vector<std::uint64_t>{7});
  REQUIRE(notes.ended.size() == 1);
  REQUIRE(notes.paces.empty());
}

TEST_CASE("what the older release reads of a placement frame stands where it did", "[placement]") {
  PlacementAnswer answer;
  answer.number = 7;
  answer.engine = EngineId("e1");
  answer.expected_first_ms = 12.5;
  answer.running = 3;
  answer.slowness = 1.6;
  const nlohmann::json told = answer;
  REQUIRE(told.at(0) == 7);
  REQUIRE(told.at(1) == "e1");
  REQUIRE(told.at(2) == 12.5);
  REQUIRE(told.at(3) == 3.0);
  EndedRequest ended;
  ended.number = 8;
  ended.verdict = request::EngineVerdict::kGood;
  ended.timing = request::AnswerTiming{30, 600, 17};
  const nlohmann::json end = ended;
  REQUIRE(end.at(0) == 8);
  REQUIRE(end.at(1) == 0);
  REQUIRE(nlohmann::json(EndedRequest{8, request::EngineVerdict::kNeutral, {}}).size() == 2);
}

TEST_CASE("a question with terms is told from one of the older release, and keeps what it tells", "[placement]") {
  const auto old = nlohmann::json::array({"g1", "z1", 7, "llm", 100, nlohmann::json::array()});
  REQUIRE_FALSE(old.get<PlacementQuestion>().terms);
  PlacementQuestion question;
  question.node = "g1";
  question.zone = ZoneId("z1");
  question.number = 7;
  question.service = ServiceId("llm");
  REQUIRE(nlohmann::json(question).size() == 6);
  question.terms = PlacementTerms{TenantId("t"), 2, 250, true, false};
  for (const bool has_zones : {false, true}) {
    if (has_zones) question.zones = std::set<ZoneId>{ZoneId("z1")};
    const auto read = nlohmann::json(question).get<PlacementQuestion>();
    REQUIRE(read.zones.has_value() == has_zones);
    REQUIRE(read.terms->tenant == TenantId("t"));
    REQUIRE(read.terms->priority == 2);
    REQUIRE(read.terms->left_ms == 250);
    REQUIRE(read.terms->has_returned);
    REQUIRE_FALSE(read.terms->may_be_refused);
  }
}

TEST_CASE("an answer tells whether its store knows the line", "[placement]") {
  REQUIRE_FALSE(nlohmann::json::array({7, "", 0.0, 0.0}).get<PlacementAnswer>().knows_line);
  PlacementAnswer answer;
  answer.number = 7;
  answer.position = 3;
  const auto standing = nlohmann::json(answer).get<PlacementAnswer>();
  REQUIRE(standing.knows_line);
  REQUIRE(standing.stands());
  REQUIRE_FALSE(standing.isRefused());
  answer.position = -1;
  answer.refused_for_ms = 120;
  const auto refused = nlohmann::json(answer).get<PlacementAnswer>();
  REQUIRE(refused.isRefused());
  REQUIRE_FALSE(refused.stands());
}

TEST_CASE("placement frames keep what they tell", "[placement]") {
  PlacementNotes notes;
  notes.node = "g1";
  notes.answering = {7};
  notes.paces = {ToldPace{7, 180}};
  notes.ended = {EndedRequest{8, request::EngineVerdict::kGood, request::AnswerTiming{30, 600, 17}}};
  const auto read = nlohmann::json(notes).get<PlacementNotes>();
  REQUIRE(read.paces.size() == 1);
  REQUIRE(read.paces.front().pace == 180);
  REQUIRE(read.ended.front().timing->held_ms == 600);
  REQUIRE(read.ended.front().timing->events == 17);
}
