#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "connection/asio.hpp"
#include "executor_fixture.hpp"
#include "process/store/job_executor.hpp"

// Items that can't start do not hold up those that can: of another service, in other zones, or behind them.
using namespace hatchfork;
using namespace hatchfork::store;

namespace {

/// More than a pass examines in vain.
constexpr std::size_t kMany = 100;
constexpr std::size_t kVeryMany = 20000;

std::string routeOf(const std::string& name, const std::string& more) {
  return fmt::format(R"({{"Name":"{0}","Host":"a.example","PathPrefix":"/{0}/","Type":"batch","TimeoutMs":1000,
      "TargetLatencyMs":100,"CompletionTargetMs":10000,"RetentionS":60,"Priority":1,"MaxAttempts":3,{1}}})",
                     name, more);
}

std::string documentOf(const std::vector<std::pair<std::string, std::string>>& routes) {
  std::string text;
  for (const auto& [name, more] : routes) text += (text.empty() ? "" : ",") + routeOf(name, more);
  return fmt::format(R"({{"Version":1,"Routes":[{}],"Services":[
      {{"Name":"lacking","HealthPath":"/h","MaxConnections":10,"Protocol":"h1","Tls":false}},
      {{"Name":"idle","HealthPath":"/h","MaxConnections":10,"Protocol":"h1","Tls":false}}],
      "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}})",
                     text);
}

const std::string kTwoServices = documentOf({{"lacking", R"("Service":"lacking")"}, {"idle", R"("Service":"idle")"}});

EngineRecord engineOf(const std::string& service, const std::string& zone = "z0", std::uint32_t slots = 8) {
  EngineRecord engine;
  engine.id = EngineId("e-" + service + "-" + zone);
  engine.service = ServiceId(service);
  engine.address = "10.0.1.1:80";
  engine.zone = ZoneId(zone);
  engine.slots = slots;
  return engine;
}

JobSubmission jobOn(const std::string& route, const std::string& id, std::size_t items, std::int64_t age_ms = 0) {
  JobSubmission job;
  job.id = JobId(id);
  job.host = "a.example";
  job.path = "/" + route + "/";
  job.submitted_at = connection::wallNow() - age_ms;
  for (std::size_t i = 0; i < items; ++i) {
    job.items.push_back(OpaqueItem{id + std::to_string(i), job.path + std::to_string(i), {}, "body", 10});
  }
  return job;
}

/// A leader whose jobs and engines the test sets.
class LanesFixture : public ExecutorFixture {
 public:
  explicit LanesFixture(const std::string& document, request::ZoneRegions regions = {}, request::LoadFeatures load = {})
      : ExecutorFixture(Duration::zero(), 0, load, 0, document, std::move(regions)) {
    executor().setLeading(true, 1);
    // Past the slow start of a new leader.
    waitUntil(connection::monotonicNow() + fromMillis(3100));
  }
  void submit(JobSubmission job) {
    const JobId id = job.id;
    apply(SubmitJob{std::move(job)});
    executor().noteChange(id);
  }
};

}  // namespace

// Guards against batch items left lying although their engines are idle, because a service without engines stands
// before them in the queue: 32 of 40 items were never offered to an engine.
TEST_CASE("items of a service that lacks engines do not hold up those of another service", "[store][executor][lanes]") {
  LanesFixture fixture(kTwoServices);
  SECTION("it never had any") {
    fixture.setEngines({engineOf("idle")});
  }
  SECTION("its only one is lost") {
    fixture.setEngines({engineOf("idle"), engineOf("lacking")});
    fixture.setEngines({engineOf("idle")});
  }
  SECTION("its only one is leaving") {
    EngineRecord leaving = engineOf("lacking");
    leaving.leaving = true;
    fixture.setEngines({engineOf("idle"), leaving});
  }
  SECTION("all its slots are taken") {
    fixture.setEngines({engineOf("idle"), engineOf("lacking", "z0", 1)});
    fixture.submit(jobOn("lacking", "long", 1, 2000));
    REQUIRE(fixture.ordersOf("long") == 1);
  }
  fixture.submit(jobOn("lacking", "first", kMany, 1000));
  fixture.submit(jobOn("idle", "second", 6));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.ordersOf("first") == 0);
  REQUIRE(fixture.ordersOf("second") == 6);
}

TEST_CASE("late items of a service that lacks engines do not hold up those of another service",
          "[store][executor][lanes]") {
  LanesFixture fixture(kTwoServices);
  fixture.setEngines({engineOf("idle")});
  fixture.submit(jobOn("lacking", "first", kMany, 30000));
  fixture.submit(jobOn("idle", "second", 6, 20000));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.ordersOf("second") == 6);
}

TEST_CASE("items wait for their service in order while it lacks engines, and run in order once it has some",
          "[store][executor][lanes]") {
  LanesFixture fixture(kTwoServices);
  fixture.setEngines({engineOf("idle")});
  fixture.submit(jobOn("lacking", "later", 4));
  fixture.submit(jobOn("lacking", "sooner", 4, 1000));
  fixture.submit(jobOn("idle", "other", 2, 500));
  REQUIRE(fixture.orders() == 2);
  fixture.setEngines({engineOf("idle"), engineOf("lacking", "z0", 4)});
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.ordersOf("sooner") == 4);
  REQUIRE(fixture.ordersOf("later") == 0);
}

TEST_CASE("items that may run in one zone only, which has no engines, do not hold up those that may run anywhere",
          "[store][executor][lanes]") {
  const std::string document =
      documentOf({{"bound", R"("Service":"idle","AllowedRegions":["r0"])"}, {"free", R"("Service":"idle")"}});
  LanesFixture fixture(document, {{ZoneId("z0"), RegionId("r0")}, {ZoneId("z1"), RegionId("r1")}});
  fixture.setEngines({engineOf("idle", "z1")});
  fixture.submit(jobOn("bound", "first", kMany, 1000));
  fixture.submit(jobOn("free", "second", 6));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.ordersOf("first") == 0);
  REQUIRE(fixture.ordersOf("second") == 6);
}

TEST_CASE("a route that is split between a service without engines and an idle one uses the idle one",
          "[store][executor][lanes]") {
  const std::string document =
      documentOf({{"split", R"("TrafficSplit":[{"Service":"lacking","Weight":3},{"Service":"idle","Weight":1}])"},
                  {"idle", R"("Service":"idle")"}});
  LanesFixture fixture(document);
  fixture.setEngines({engineOf("idle", "z0", 16)});
  fixture.submit(jobOn("split", "first", kMany, 1000));
  fixture.submit(jobOn("idle", "second", 4));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.orders() == 16);
}

TEST_CASE("items that wait for lasting capacity do not hold up those of another service", "[store][executor][lanes]") {
  request::LoadFeatures by_slack;
  by_slack.batch_by_slack = true;
  LanesFixture fixture(kTwoServices, {}, by_slack);
  fixture.setEngines({engineOf("idle"), engineOf("lacking")});
  request::EngineShare online;
  online.engine = EngineId("e-lacking-z0");
  online.in_flight = 8;
  fixture.executor().notePeerLoads(connection::monotonicNow(), {online});
  fixture.submit(jobOn("lacking", "first", kMany, 1000));
  fixture.submit(jobOn("idle", "second", 6));
  fixture.executor().tick(connection::monotonicNow());
  REQUIRE(fixture.ordersOf("first") == 0);
  REQUIRE(fixture.ordersOf("second") == 6);
}

// Guards against items behind many that an engine declines again and again, of which some always wait for a retry.
TEST_CASE("many items that wait for a retry do not hold up those behind them", "[store][executor][lanes]") {
  LanesFixture fixture(kTwoServices);
  fixture.setEngines({engineOf("idle", "z0", kMany)});
  fixture.submit(jobOn("idle", "declined", kMany, 1000));
  REQUIRE(fixture.ordersOf("declined") == kMany);
  RunReport report{kSelf, 1, {}, {}};
  for (std::uint64_t number = fixture.lastOrder().number - kMany + 1; number <= fixture.lastOrder().number; ++number) {
    RunNews news;
    news.number = number;
    news.sequence = 1;
    news.ended = true;
    news.end = fleet::RunEnd::kDeclined;
    report.news.push_back(news);
  }
  fixture.deliver(report);
  fixture.submit(jobOn("idle", "second", 6));
  REQUIRE(fixture.ordersOf("second") == 6);
}

// Guards against items that go to the end of the queue for what their tenant has waiting for a service without engines.
TEST_CASE("what a tenant has waiting for one service takes nothing from its share of another one",
          "[store][executor][lanes]") {
  std::string document = kTwoServices;
  document.insert(document.rfind("\"Limits\""), R"("Tenants":[{"Name":"a"},{"Name":"b"}],)");
  // Returns how many items of another tenant start before all of tenant a have started, in one pass.
  const auto startsBefore = [&](std::size_t items_that_lack_engines) {
    LanesFixture fixture(document);
    fixture.setEngines({});
    const auto submitFor = [&](const std::string& tenant, const std::string& route, std::size_t items, int age_ms) {
      if (items == 0) return;
      JobSubmission job = jobOn(route, tenant + "-" + route, items, age_ms);
      job.tenant = TenantId(tenant);
      fixture.submit(job);
    };
    submitFor("a", "lacking", items_that_lack_engines, 1000);
    submitFor("b", "idle", 20 * kMany, 100);
    submitFor("a", "idle", 4, 0);
    fixture.executor().notePeerLoads(connection::monotonicNow(), {});
    // Both the plan and the order are made anew, with the room that is short.
    for (int round = 0; round < 3; ++round) {
      ExecutorFixture::waitUntil(connection::monotonicNow() + fromMillis(120));
      fixture.executor().tick(connection::monotonicNow());
    }
    fixture.setEngines({engineOf("idle", "z0", 2 * kMany)});
    REQUIRE(fixture.orders() == 2 * kMany);
    return fixture.ordersUntilAllOf("a-idle", 4);
  };
  const std::size_t without = startsBefore(0);
  REQUIRE(without < kMany);
  REQUIRE(startsBefore(20 * kMany) == without);
}

// The time of a pass over very many items, for the page on capacity; no check.
TEST_CASE("time of a pass over very many items that lack engines", "[.][lanes-time]") {
  LanesFixture fixture(kTwoServices);
  fixture.setEngines({engineOf("idle")});
  fixture.submit(jobOn("lacking", "first", kVeryMany, 1000));
  constexpr int kPasses = 200;
  const Instant begin = connection::monotonicNow();
  for (int pass = 0; pass < kPasses; ++pass) fixture.executor().startWaiting();
  WARN("microseconds a pass: " << toSeconds(connection::monotonicNow() - begin) * 1e6 / kPasses);
}
