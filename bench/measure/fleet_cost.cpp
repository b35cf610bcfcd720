#include "bench/measure/fleet_cost.hpp"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "request/exchange/engine_selector.hpp"
#include "request/exchange/load_digest.hpp"
#include "version/engine_changes.hpp"

namespace hatchfork::measure {
namespace {

using request::EngineQuery;
using request::EngineShare;

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr std::size_t kZones = 5;
constexpr std::uint32_t kSlots = 8;
/// What an engine tells that works slower than usual for a moment.
constexpr request::EngineLoad kSlowMoment{1, 0, kSlots, 150};
/// Of what takes microseconds, and of what takes milliseconds.
constexpr int kManyTimes = 2000;
constexpr int kFewTimes = 20;

EngineRecord engineAt(std::size_t number) {
  EngineRecord engine;
  engine.id = EngineId(fmt::format("i-{:010x}", number * 2654435761U));
  engine.service = ServiceId("service-1");
  engine.address = fmt::format("10.{}.{}.{}:8304", number % kZones, number / 250, number % 250);
  engine.zone = ZoneId(fmt::format("zone-{}-hall", number % kZones));
  engine.slots = kSlots;
  engine.born = 1'700'000'000'000 + static_cast<WallMillis>(number);
  return engine;
}

std::vector<EngineRecord> enginesOf(std::size_t count) {
  std::vector<EngineRecord> engines;
  for (std::size_t i = 0; i < count; ++i) engines.push_back(engineAt(i));
  return engines;
}

std::vector<EngineShare> sharesOf(std::size_t engines, std::size_t loaded) {
  std::vector<EngineShare> shares;
  for (std::size_t i = 0; i < loaded; ++i) {
    const std::size_t number = i * std::max<std::size_t>(1, engines / loaded) % engines;
    shares.push_back(EngineShare{engineAt(number).id, 1 + static_cast<std::uint32_t>(i % 3), 250, 0});
  }
  return shares;
}

template <class Action>
double microsecondsEach(int times, Action action) {
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < times; ++i) action(i);
  const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - began;
  return spent.count() / times;
}

EngineQuery onlineQuery() {
  EngineQuery query;
  query.service = ServiceId("service-1");
  query.zone = ZoneId("zone-1-hall");
  query.prompt.prompt_tokens = 450;
  return query;
}

nlohmann::json measureSelector(const std::vector<EngineRecord>& engines, const std::vector<EngineShare>& shares) {
  request::SelectorLimits limits;
  limits.places_zone = true;
  request::EngineSelector selector(1, limits);
  nlohmann::json figures;
  figures["all_engines_us"] = microsecondsEach(1, [&](int) { selector.takeEngines(kStart, wholeListOf(engines)); });
  figures["telling_us"] = microsecondsEach(kFewTimes, [&](int) { selector.notePeerLoads(kStart, shares); });
  figures["choice_us"] = microsecondsEach(kManyTimes, [&](int) { selector.choose(kStart, onlineQuery()); });
  EngineQuery background = onlineQuery();
  background.background = true;
  figures["batch_choice_us"] = microsecondsEach(kManyTimes, [&](int) { selector.choose(kStart, background); });
  for (const EngineRecord& engine : engines) selector.noteLoad(kStart, engine.id, kSlowMoment);
  const Instant later = kStart + fromMillis(50);
  figures["uneven_choice_us"] = microsecondsEach(kManyTimes, [&](int) { selector.choose(later, onlineQuery()); });
  figures["changed_engine_us"] = microsecondsEach(kManyTimes, [&](int i) {
    EngineRecord engine = engines[static_cast<std::size_t>(i) % engines.size()];
    engine.slots += 1;
    selector.takeEngines(kStart, EngineChanges{false, {engine}, {}});
  });
  return figures;
}

nlohmann::json measureDigests(const std::vector<EngineRecord>& engines, const std::vector<EngineShare>& shares) {
  request::EngineKeys keys;
  keys.take(wholeListOf(engines));
  const std::string digest = request::LoadDigestWriter().changes(shares);
  nlohmann::json figures;
  figures["totals_frame_us"] = microsecondsEach(kFewTimes, [&](int) {
    request::LoadDigestReader reader;
    reader.take(digest, /*is_whole=*/true);
    reader.others(keys, {});
  });
  return figures;
}

nlohmann::json measureWholeList(const std::vector<EngineRecord>& engines) {
  nlohmann::json figures;
  std::string bytes;
  figures["list_encode_us"] = microsecondsEach(3, [&](int) { bytes = encodeStruct(wholeListOf(engines)); });
  figures["list_decode_us"] = microsecondsEach(3, [&](int) { decodeStruct<EngineChanges>(bytes); });
  figures["list_bytes"] = bytes.size();
  return figures;
}

}  // namespace

nlohmann::json measureFleetKnowledge(std::size_t engines, std::size_t loaded) {
  const std::vector<EngineRecord> records = enginesOf(engines);
  const std::vector<EngineShare> shares = sharesOf(engines, loaded);
  nlohmann::json figures{{"engines", engines}, {"loaded", loaded}};
  figures.update(measureSelector(records, shares));
  figures.update(measureDigests(records, shares));
  figures.update(measureWholeList(records));
  return figures;
}

}  // namespace hatchfork::measure
