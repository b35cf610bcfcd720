#include "platform/engine_entry.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hatchfork;
using platform::readEngineEntry;

namespace {

const EngineId kEngine("i-1");

nlohmann::json soundEntry() {
  return {{"Service", "s"},   {"Address", "10.0.0.9:80"}, {"Zone", "z"},   {"Version", "v1"},       {"Slots", 12},
          {"State", "ready"}, {"ColdRemainingMs", 0.5},   {"Sequence", 4}, {"born", 1796253392211}, {"New", 1}};
}

}  // namespace

TEST_CASE("an entry is read with its birth, and without the fields that may be missing", "[platform][entry]") {
  nlohmann::json entry = soundEntry();
  REQUIRE(valueOf(readEngineEntry(kEngine, entry.dump())).engine.born == 1796253392211);
  REQUIRE(valueOf(readEngineEntry(kEngine, entry.dump())).engine.build == EngineBuild("v1"));
  for (const char* name : {"born", "Version", "ColdRemainingMs", "New"}) entry.erase(name);
  const Result<EngineHeartbeat> beat = readEngineEntry(kEngine, entry.dump());
  REQUIRE(isOk(beat));
  REQUIRE(valueOf(beat).engine.born == 0);
  REQUIRE(valueOf(beat).engine.build.empty());
  REQUIRE(valueOf(beat).engine.slots == 12);
}

TEST_CASE("a field that is missing or wrong is named", "[platform][entry]") {
  const nlohmann::json wrong[] = {
      nullptr, true, -1, 0, 2.5, "", "4", nlohmann::json::array({1}), nlohmann::json::object(), 18446744073709551615u};
  const auto refusal = [](const nlohmann::json& entry, const std::string& name) {
    const Result<EngineHeartbeat> beat = readEngineEntry(kEngine, entry.dump());
    CAPTURE(entry.dump());
    REQUIRE_FALSE(isOk(beat));
    REQUIRE(errorOf(beat).kind == ErrorKind::kInvalidArgument);
    REQUIRE(errorOf(beat).message.find(name) != std::string::npos);
    REQUIRE(errorOf(beat).remedy.find(name) != std::string::npos);
  };
  for (const char* name : {"Service", "Address", "Zone", "Slots", "State", "Sequence"}) {
    nlohmann::json entry = soundEntry();
    entry.erase(name);
    refusal(entry, name);
  }
  for (const nlohmann::json& value : wrong) {
    for (const char* name : {"Address", "State", "Slots", "born"}) {
      nlohmann::json entry = soundEntry();
      entry[name] = value;
      refusal(entry, name);
    }
  }
  for (const char* address : {"nowhere", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", ":80", "host.example:80"}) {
    nlohmann::json entry = soundEntry();
    entry["Address"] = address;
    refusal(entry, "Address");
  }
}

TEST_CASE("whatever bytes come, an entry is read whole or refused", "[platform][entry][property]") {
  rc::check([](const std::string& bytes) {
    const Result<EngineHeartbeat> beat = readEngineEntry(kEngine, bytes);
    RC_ASSERT(!isOk(beat));
  });
  const std::string sound = soundEntry().dump();
  for (std::size_t length = 0; length < sound.size(); ++length) {
    REQUIRE_FALSE(isOk(readEngineEntry(kEngine, sound.substr(0, length))));
  }
  // Any byte in place of any other: what is read names an engine that can be used.
  for (std::size_t at = 0; at < sound.size(); ++at) {
    for (int byte = 0; byte < 256; byte += 3) {
      std::string changed = sound;
      changed[at] = static_cast<char>(byte);
      const Result<EngineHeartbeat> beat = readEngineEntry(kEngine, changed);
      if (!isOk(beat)) continue;
      const EngineRecord& engine = valueOf(beat).engine;
      REQUIRE(engine.slots > 0);
      REQUIRE_FALSE(engine.service.value.empty());
      REQUIRE(engine.born >= 0);
    }
  }
}
