#include "process/store/crash_relay.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace hatchfork;
using namespace hatchfork::store;
using fleet::CrashNotesFrame;
using fleet::CrashWatch;
using fleet::FleetMessage;
using request::RequestFingerprint;

namespace {

const RequestFingerprint kContent("content");

Instant at(std::int64_t milliseconds) {
  return Instant{} + std::chrono::hours(1) + fromMillis(milliseconds);
}

CrashNotesFrame decoded(const std::string& frame) {
  const Result<FleetMessage> message = decodeTagged<FleetMessage>(frame);
  return std::get<CrashNotesFrame>(valueOf(message));
}

/// Two aggregators and two gateways, each of which is subscribed at one aggregator. Messages arrive immediately, unless
/// a gateway is disconnected.
class Relays {
 public:
  Relays() {
    for (const int number : {0, 1}) {
      aggregators_.push_back(std::make_unique<Aggregator>(*this, number));
      gateways_.push_back(std::make_unique<CrashWatch>("gateway-" + std::to_string(number)));
    }
    for (const int number : {0, 1}) aggregators_[number]->relay.setAggregators({ReplicaId(std::to_string(1 - number))});
  }

  CrashWatch& gateway(int number) { return *gateways_[number]; }
  void setDisconnected(int gateway, bool is_disconnected) { is_disconnected_[gateway] = is_disconnected; }
  /// A gateway sends its notes and a hello to its aggregator; then the aggregators forward what they received.
  void exchange(Instant now, int number) {
    deliver(now, number, gateway(number).takeNews());
    deliver(now, number, gateway(number).hello());
    flushAll(now);
  }
  void flushAll(Instant) {
    for (int round = 0; round < 3; ++round) {
      for (const auto& aggregator : aggregators_) aggregator->relay.flush();
    }
  }
  void restartGateway(int number) {
    gateways_[number] = std::make_unique<CrashWatch>("gateway-" + std::to_string(number));
  }
  std::size_t framesTo(int gateway) const { return frames_.contains(gateway) ? frames_.at(gateway) : 0; }

 private:
  struct Aggregator {
    Aggregator(Relays& relays, int number)
        : watch("store-" + std::to_string(number)),
          relay(watch, [&relays](const ReplicaId& to, const FleetMessage& message) {
            const int peer = std::stoi(to.value);
            const CrashRelay::Receiver back{&relays, [](const std::string&) {}};
            relays.aggregators_[peer]->relay.take(at(0), std::get<CrashNotesFrame>(message), back);
            return true;
          }) {}
    CrashWatch watch;
    CrashRelay relay;
  };

  void deliver(Instant now, int number, const CrashNotesFrame& notes) {
    if (is_disconnected_[number]) return;
    const CrashRelay::Receiver back{gateways_[number].get(), [this, now, number](const std::string& frame) {
                                      if (is_disconnected_[number]) return;
                                      ++frames_[number];
                                      const CrashNotesFrame received = decoded(frame);
                                      gateway(number).take(now, received);
                                      if (!received.wants_all || received.digest == gateway(number).digest()) return;
                                      deliver(now, number, gateway(number).everything(now));
                                    }};
    aggregators_[number]->relay.take(now, notes, back);
  }

  std::vector<std::unique_ptr<Aggregator>> aggregators_;
  std::vector<std::unique_ptr<CrashWatch>> gateways_;
  std::map<int, bool> is_disconnected_;
  std::map<int, std::size_t> frames_;
};

}  // namespace

TEST_CASE("three engine crashes that were seen by different processes are known to a gateway of another zone",
          "[crash][relay]") {
  Relays relays;
  relays.exchange(at(0), 0);
  relays.exchange(at(0), 1);
  relays.gateway(0).noteCrash(at(10), at(10), kContent, EngineId("e1"));
  relays.exchange(at(10), 0);
  relays.gateway(1).noteCrash(at(20), at(20), kContent, EngineId("e2"));
  relays.exchange(at(20), 1);
  relays.gateway(0).noteCrash(at(30), at(30), kContent, EngineId("e3"));
  relays.exchange(at(30), 0);
  REQUIRE(relays.gateway(1).judge(kContent).crashes == 3);
  REQUIRE(relays.gateway(1).judge(kContent).isRefused(at(40)));
}

TEST_CASE("a restarted gateway receives all crashes, and one that was disconnected sends what it saw",
          "[crash][relay]") {
  Relays relays;
  relays.exchange(at(0), 0);
  relays.gateway(0).noteCrash(at(10), at(10), kContent, EngineId("e1"));
  relays.exchange(at(10), 0);
  relays.restartGateway(1);
  relays.exchange(at(20), 1);
  REQUIRE(relays.gateway(1).judge(kContent).crashes == 1);

  relays.setDisconnected(0, true);
  relays.gateway(0).noteCrash(at(30), at(30), kContent, EngineId("e2"));
  relays.exchange(at(30), 0);
  REQUIRE(relays.gateway(1).judge(kContent).crashes == 1);
  relays.setDisconnected(0, false);
  // The notes were lost; both sides notice that because their digests differ.
  relays.exchange(at(1030), 0);
  REQUIRE(relays.gateway(1).judge(kContent).crashes == 2);
}

TEST_CASE("a whole answer at one gateway clears a request at all of them", "[crash][relay]") {
  Relays relays;
  for (const int number : {0, 1}) relays.exchange(at(0), number);
  relays.gateway(0).noteCrash(at(10), at(10), kContent, EngineId("e1"));
  relays.exchange(at(10), 0);
  relays.gateway(1).noteAnswered(at(100), kContent);
  relays.exchange(at(100), 1);
  REQUIRE_FALSE(relays.gateway(0).judge(kContent).isSuspect());
}

TEST_CASE("suspects run apart, and one that is likely to crash its engine runs at one engine at a time",
          "[crash][relay]") {
  Relays relays;
  for (const int number : {0, 1}) relays.exchange(at(0), number);
  const RequestFingerprint other("other");
  const RequestFingerprint ordinary("ordinary");
  for (const char* engine : {"e1", "e2"}) relays.gateway(0).noteCrash(at(10), at(10), kContent, EngineId(engine));
  relays.gateway(0).noteCrash(at(10), at(10), other, EngineId("e3"));
  relays.gateway(0).noteBegun(at(20), kContent, EngineId("e4"));
  relays.exchange(at(20), 0);
  REQUIRE(relays.gateway(1).mustWait(at(30), kContent));
  REQUIRE(relays.gateway(1).enginesToAvoid(at(30), other) == std::vector<EngineId>{EngineId("e4")});
  REQUIRE(relays.gateway(1).enginesToAvoid(at(30), ordinary) == std::vector<EngineId>{EngineId("e4")});
  relays.gateway(0).noteEnded(at(40), kContent, EngineId("e4"));
  relays.exchange(at(40), 0);
  REQUIRE_FALSE(relays.gateway(1).mustWait(at(50), kContent));
  REQUIRE(relays.gateway(1).enginesToAvoid(at(50), other).empty());
}

TEST_CASE("a request needs a lease from its second crash on, and after its quarantine until it is cleared", "[crash]") {
  CrashWatch watch("gateway");
  watch.noteCrash(at(0), at(0), kContent, EngineId("e1"));
  REQUIRE_FALSE(watch.needsTrial(at(10), kContent));
  watch.noteCrash(at(1000), at(900), kContent, EngineId("e2"));
  REQUIRE(watch.needsTrial(at(1010), kContent));
  watch.noteCrash(at(2000), at(1900), kContent, EngineId("e3"));
  REQUIRE_FALSE(watch.needsTrial(at(2010), kContent));
  REQUIRE(watch.needsTrial(at(22010), kContent));
  watch.noteAnswered(at(23000), kContent);
  REQUIRE_FALSE(watch.needsTrial(at(23010), kContent));
}

TEST_CASE("the exit of an engine that announced its shutdown makes no request a suspect", "[crash]") {
  CrashWatch watch("gateway");
  watch.setServingCheck([](const EngineId& engine) { return engine != EngineId("leaving"); });
  watch.noteCrash(at(0), at(0), kContent, EngineId("leaving"));
  REQUIRE_FALSE(watch.judge(kContent).isSuspect());
  watch.noteCrash(at(0), at(0), kContent, EngineId("serving"));
  REQUIRE(watch.judge(kContent).crashes == 1);
}

TEST_CASE("nothing is forwarded while nothing is suspected", "[crash][relay]") {
  Relays relays;
  for (int second = 0; second < 10; ++second) relays.exchange(at(1000 * second), 0);
  REQUIRE(relays.framesTo(0) == 0);
}

// Guards against items being parked for 30 s: the note that a run had begun came back from another process after the
// end of the run, was taken for a new run, and was then forwarded by all processes without end.
TEST_CASE("a late note about a run that has ended does not start it again", "[crash][relay]") {
  CrashWatch sender("a");
  CrashWatch other("b");
  for (const int number : {1, 2}) {
    const EngineId engine("e" + std::to_string(number));
    sender.noteCrash(at(10 * number), at(10 * number), kContent, engine);
    other.noteCrash(at(10 * number), at(10 * number), kContent, engine);
  }
  sender.noteBegun(at(100), kContent, EngineId("e3"));
  const CrashNotesFrame begun = sender.takeNews();
  other.take(at(101), begun);
  const CrashNotesFrame echo = other.everything(at(110));
  REQUIRE(other.mustWait(at(110), kContent));
  sender.noteEnded(at(200), kContent, EngineId("e3"));
  const CrashNotesFrame ended = sender.takeNews();
  other.take(at(201), ended);
  REQUIRE_FALSE(other.mustWait(at(201), kContent));

  sender.take(at(210), echo);
  other.take(at(210), begun);
  REQUIRE_FALSE(sender.mustWait(at(220), kContent));
  REQUIRE_FALSE(other.mustWait(at(220), kContent));
}

TEST_CASE("a run whose end is never reported expires, no matter how often its start is reported", "[crash][relay]") {
  CrashWatch sender("a");
  CrashWatch first("b");
  CrashWatch second("c");
  for (const int number : {1, 2}) {
    for (CrashWatch* watch : {&sender, &first, &second}) {
      watch->noteCrash(at(10 * number), at(10 * number), kContent, EngineId("e" + std::to_string(number)));
    }
  }
  sender.noteBegun(at(100), kContent, EngineId("e3"));
  first.take(at(101), sender.takeNews());
  for (int second_number = 0; second_number < 10; ++second_number) {
    const Instant now = at(200 + 1000 * second_number);
    second.take(now, first.everything(now));
    first.take(now, second.everything(now));
    first.expire(now);
    second.expire(now);
  }
  REQUIRE_FALSE(first.mustWait(at(10000), kContent));
  REQUIRE_FALSE(second.mustWait(at(10000), kContent));
}

TEST_CASE("a part on which an answer is under way at another gateway is cleared at all of them", "[crash][parts]") {
  Relays relays;
  for (const int number : {0, 1}) relays.exchange(at(0), number);
  const RequestFingerprint shared = request::fingerprintOfPart(ServiceId("s"), 1);
  const RequestFingerprint bad = request::fingerprintOfPart(ServiceId("s"), 2);
  relays.gateway(1).setAnsweringCheck([&](const RequestFingerprint& part) { return part == shared; });
  relays.gateway(0).noteCrash(at(10), at(0), {kContent, {shared, bad}}, EngineId("e1"));
  relays.exchange(at(10), 0);
  relays.exchange(at(20), 1);
  REQUIRE_FALSE(relays.gateway(0).judge({RequestFingerprint("x"), {shared}}).isSuspect());
  REQUIRE(relays.gateway(0).judge({RequestFingerprint("x"), {shared, bad}}).crashes == 1);
}

TEST_CASE("a part on which this process answers is not blamed for a crash", "[crash][parts]") {
  CrashWatch watch("gateway");
  const RequestFingerprint shared = request::fingerprintOfPart(ServiceId("s"), 1);
  watch.setAnsweringCheck([&](const RequestFingerprint& part) { return part == shared; });
  watch.noteCrash(at(10), at(0), {kContent, {shared}}, EngineId("e1"));
  REQUIRE_FALSE(watch.judge({RequestFingerprint("x"), {shared}}).isSuspect());
  REQUIRE(watch.judge(kContent).crashes == 1);
}

TEST_CASE("different requests with a likely part run at one engine at a time, under its name", "[crash][parts]") {
  CrashWatch watch("gateway");
  const RequestFingerprint bad = request::fingerprintOfPart(ServiceId("s"), 2);
  for (const int number : {1, 2}) {
    const RequestFingerprint content("c" + std::to_string(number));
    watch.noteCrash(at(1000 * number), at(1000 * number - 60), {content, {bad}},
                    EngineId("e" + std::to_string(number)));
  }
  const request::CrashSubjects next{RequestFingerprint("c3"), {bad}};
  const request::CrashSubjects another{RequestFingerprint("c4"), {bad}};
  REQUIRE(watch.needsTrial(at(2100), next));
  REQUIRE_FALSE(watch.mustWait(at(2100), next));
  REQUIRE(watch.noteBegun(at(2100), next, EngineId("e3")) == bad);
  REQUIRE(watch.mustWait(at(2110), another));
  REQUIRE(watch.enginesToAvoid(at(2110), kContent) == std::vector<EngineId>{EngineId("e3")});
  watch.noteEnded(at(2200), bad, EngineId("e3"));
  REQUIRE_FALSE(watch.mustWait(at(2210), another));
  watch.noteAnswerBegun(at(2300), {bad});
  REQUIRE_FALSE(watch.needsTrial(at(2310), another));
}

// Guards against a gateway that starts and is not sent the crashes of what is refused, since many newer crashes of
// other requests filled the message.
TEST_CASE("a process that starts receives the crashes of refused subjects before newer ones of others", "[crash]") {
  CrashWatch watch("store");
  const RequestFingerprint bad = request::fingerprintOfPart(ServiceId("s"), 2);
  for (const int number : {1, 2, 3}) {
    watch.noteCrash(at(1000 * number), at(1000 * number - 60), {kContent, {bad}},
                    EngineId("e" + std::to_string(number)));
  }
  for (int number = 0; number < 1500; ++number) {
    const std::string name = std::to_string(number);
    watch.noteCrash(at(4000 + number), at(3900), RequestFingerprint("other" + name), EngineId("o" + name));
  }
  CrashWatch started("gateway");
  started.take(at(6000), watch.everything(at(6000)));
  REQUIRE(started.judge({RequestFingerprint("x"), {bad}}).crashes == 3);
}
