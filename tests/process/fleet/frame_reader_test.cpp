#include "process/fleet/frame_reader.hpp"

#include <catch2/catch.hpp>

#include "process/fleet/store_directory.hpp"

using namespace hatchfork;
using namespace hatchfork::fleet;

namespace {

std::string frameOf(std::string kind, nlohmann::json body) {
  return encodeCbor({{"k", std::move(kind)}, {"b", std::move(body)}});
}

StorePresence presenceOf(const char* address, ReleaseNumber release) {
  StorePresence presence;
  presence.node = address;
  presence.address = ReplicaId(address);
  presence.zone = ZoneId("z");
  presence.release = release;
  return presence;
}

}  // namespace

TEST_CASE("A frame of a kind from a later release is passed over", "[upgrade]") {
  FrameReader reader;
  const auto message = reader.read(frameOf("of-a-later-release", {{"anything", 1}}));
  REQUIRE(isOk(message));
  CHECK_FALSE(valueOf(message).has_value());
  CHECK(reader.passedOver() == 1);
}

TEST_CASE("Bytes that are no frame of any release are refused", "[upgrade]") {
  FrameReader reader;
  CHECK_FALSE(isOk(reader.read("\xff\xff")));
  CHECK_FALSE(isOk(reader.read(encodeCbor({{"k", "s"}}))));
  CHECK_FALSE(isOk(reader.read(frameOf("s", {{"node", 7}}))));
  CHECK(reader.passedOver() == 0);
}

TEST_CASE("Fields that a later release adds to a frame are passed over", "[upgrade]") {
  FrameReader reader;
  nlohmann::json subscription = SubscribeFrame{"g1", 3, 4, {presenceOf("10.0.0.1", 1)}, 9};
  subscription["of_a_later_release"] = {1, 2};
  subscription["store"][0]["of_a_later_release"] = true;
  const auto subscribe = reader.read(frameOf("s", subscription));
  REQUIRE(isOk(subscribe));
  const auto& taken = std::get<SubscribeFrame>(*valueOf(subscribe));
  CHECK(taken.document_version == 3);
  CHECK(taken.release == 9);

  // All fields of this release, so that the further one stands behind them.
  request::CreditRequest known;
  known.wanted = 5;
  known.asks.push_back(request::CreditRequestEntry{.content = 7});
  nlohmann::json question = CreditQuestionFrame{TenantId("t"), known};
  question.push_back("of a later release");
  const auto credit = reader.read(frameOf("cq", question));
  REQUIRE(isOk(credit));
  CHECK(std::get<CreditQuestionFrame>(*valueOf(credit)).question == known);
}

TEST_CASE("Processes of older releases tell no release", "[upgrade]") {
  FrameReader reader;
  const auto subscribe = reader.read(frameOf("s", {{"node", "g1"},
                                                   {"document_version", 1},
                                                   {"engines_revision", 2},
                                                   {"store", nlohmann::json::array({{{"node", "s1"},
                                                                                     {"address", "10.0.0.1"},
                                                                                     {"zone", "z"},
                                                                                     {"incarnation", 7},
                                                                                     {"formed", true},
                                                                                     {"term", 0}}})}}));
  REQUIRE(isOk(subscribe));
  const auto& frame = std::get<SubscribeFrame>(*valueOf(subscribe));
  CHECK(frame.release == kUnknownRelease);
  CHECK(frame.store.at(0).release == kUnknownRelease);
}

TEST_CASE("A value of an outcome from a later release is no promise", "[upgrade]") {
  FrameReader reader;
  nlohmann::json reply = ProposalReplyFrame{0, 1, ProposalResult::kApplied, "changed"};
  reply["result"] = 17;
  const auto message = reader.read(frameOf("pr", reply));
  REQUIRE(isOk(message));
  CHECK(std::get<ProposalReplyFrame>(*valueOf(message)).result == ProposalResult::kUnknown);
}

TEST_CASE("A store's own word of its release goes before what an older control process passes on", "[upgrade]") {
  StoreDirectory directory;
  const Instant now{};
  directory.hear(now, presenceOf("10.0.0.1", 1));
  directory.hearOf(now + fromMillis(100), {presenceOf("10.0.0.1", kUnknownRelease)});
  CHECK(directory.addresses().at(0).release == 1);
  // Once the store has gone elsewhere, the lesser word is the safe one.
  directory.hearOf(now + std::chrono::seconds(3), {presenceOf("10.0.0.1", kUnknownRelease)});
  CHECK(directory.addresses().at(0).release == kUnknownRelease);
}
