#include "platform/platform_dialect.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/base64.hpp"
#include "platform/route_document.hpp"

using namespace hatchfork;

namespace {

const std::string kDocument = R"({"Version":7,"Routes":[
  {"Name":"r1","Host":"a.example","PathPrefix":"/x/","Type":"streaming","TimeoutMs":5000,"TargetLatencyMs":500,
   "Priority":0,"Service":"llm","MaxAttempts":2,"SessionAffinity":true,"AllowResume":true,"GapAimMs":500},
  {"Name":"r2","Host":"a.example","PathPrefix":"/y/","Type":"safe","TimeoutMs":8000,"TargetLatencyMs":300,
   "TrafficSplit":[{"Service":"llm","Weight":90},{"Service":"app","Weight":10}],"MaxAttempts":1},
  {"Name":"r3","Host":"a.example","PathPrefix":"/z/","Type":"batch","TimeoutMs":8000,"TargetLatencyMs":300,
   "Service":"llm","CompletionTargetMs":20000,"RetentionS":60.5,"MaxQueuedTokens":1400000,
   "MaxAttempts":3}],
  "Services":[{"Name":"llm","HealthPath":"/healthz","MaxConnections":200,"Engine":{"Slots":12,"KvCacheTokens":147261}},
              {"Name":"app","HealthPath":"/healthz","MaxConnections":100}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

std::unique_ptr<const Dialect> dialect() {
  return platform::makePlatformDialect();
}

}  // namespace

TEST_CASE("a document of routes is read into the product's terms", "[platform]") {
  const auto parsed = dialect()->parseRoutes(kDocument);
  REQUIRE(isOk(parsed));
  const RouteTable& table = *valueOf(parsed);
  REQUIRE(table.version() == 7);
  const Route* stream = table.find("a.example", "/x/1");
  REQUIRE(stream->kind == RouteKind::kStream);
  REQUIRE(stream->isRepeatable());
  REQUIRE(stream->most_attempts == 2);
  REQUIRE(stream->prefix_affinity);
  REQUIRE(table.find("a.example", "/y/1")->split.size() == 2);
  const Route* batch = table.find("a.example", "/z/1");
  REQUIRE(batch->completion_target == std::chrono::seconds(20));
  REQUIRE(batch->retention == fromMillis(60500));
  REQUIRE(batch->most_waiting_tokens == 1400000);
  REQUIRE(stream->most_waiting_tokens == 0);
  REQUIRE(table.service(ServiceId("llm"))->slots == 12);
  REQUIRE(table.limits().idle_timeout == std::chrono::seconds(15));
}

TEST_CASE("a document that is cut short or malformed is refused", "[platform]") {
  for (std::size_t size = 0; size < kDocument.size(); size += 97) {
    REQUIRE_FALSE(isOk(dialect()->parseRoutes(std::string_view(kDocument).substr(0, size))));
  }
  for (const char* bad : {"[]", "{}", R"({"Version":"x","Routes":[],"Services":[]})",
                          R"({"Version":1,"Routes":[{"Host":1}],"Services":[]})", R"({"Version":1,"Routes":5})"}) {
    const auto parsed = dialect()->parseRoutes(bad);
    REQUIRE_FALSE(isOk(parsed));
    REQUIRE(errorOf(parsed).kind == ErrorKind::kInvalidArgument);
  }
}

TEST_CASE("control calls are told by method and path", "[platform]") {
  const auto call = [](const char* method, const char* target) { return dialect()->controlCall(method, target); };
  REQUIRE(std::holds_alternative<PutDocumentCall>(call("PUT", "/v1/config")));
  REQUIRE(std::holds_alternative<GetDocumentCall>(call("GET", "/v1/config?x=1")));
  REQUIRE(std::get<EngineHeartbeatCall>(call("PUT", "/v1/instances/i-1")).engine == EngineId("i-1"));
  REQUIRE(std::get<EngineGoneCall>(call("DELETE", "/v1/instances/i-1")).engine == EngineId("i-1"));
  REQUIRE(std::get<StartRetirementCall>(call("POST", "/v1/retire/n")).node == "n");
  REQUIRE(std::get<GetRetirementCall>(call("GET", "/v1/retire/n")).node == "n");
  REQUIRE(std::get<StartEvacuationCall>(call("POST", "/v1/evacuations/z1")).zone == ZoneId("z1"));
  REQUIRE(std::get<EndEvacuationCall>(call("DELETE", "/v1/evacuations/z1")).zone == ZoneId("z1"));
  for (const auto& [method, target] : std::vector<std::pair<const char*, const char*>>{
           {"POST", "/v1/config"}, {"PUT", "/v1/instances/"}, {"PUT", "/v1/instances/a/b"}, {"GET", "/"}}) {
    REQUIRE(std::holds_alternative<UnknownCall>(call(method, target)));
  }
}

TEST_CASE("beats are read whole or refused", "[platform]") {
  const auto beat = dialect()->parseHeartbeat(
      EngineId("i-1"),
      R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":12,"State":"draining","Sequence":4,"New":1})");
  REQUIRE(isOk(beat));
  REQUIRE(valueOf(beat).engine.leaving);
  REQUIRE(valueOf(beat).engine.slots == 12);
  REQUIRE(valueOf(beat).sequence == 4);
  const auto cold = dialect()->parseHeartbeat(
      EngineId("i-1"),
      R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":1,"State":"ready","Sequence":4,"ColdRemainingMs":850.5})");
  REQUIRE(valueOf(cold).engine.cold_ms == 850);
  REQUIRE_FALSE(isOk(dialect()->parseHeartbeat(EngineId("i-1"), R"({"Service":"s"})")));
  REQUIRE_FALSE(isOk(dialect()->parseHeartbeat(EngineId("i-1"), "{")));
}

TEST_CASE("job calls and documents are translated both ways", "[platform]") {
  const auto read = dialect()->jobCall("GET", "/v1/lots/j1?SinceRev=12");
  REQUIRE(std::get<ReadResultsCall>(read).from == 12);
  REQUIRE(std::get<ReadItemCall>(dialect()->jobCall("GET", "/v1/items/j1?Id=i9")).item == "i9");
  REQUIRE(std::get<EndJobCall>(dialect()->jobCall("DELETE", "/v1/lots/j1")).job == JobId("j1"));
  REQUIRE(std::holds_alternative<UnknownCall>(dialect()->jobCall("POST", "/v1/lots/j1")));
  const auto job = dialect()->parseJob(
      R"({"Requests":[{"Id":"a","Path":"/z/1","Headers":{"X-Model":"m"},"Body":"q83vEjRWeJA=","TokenCount":940}]})");
  REQUIRE(isOk(job));
  REQUIRE(valueOf(job).items[0].body == "\xab\xcd\xef\x12\x34\x56\x78\x90");
  REQUIRE(valueOf(job).items[0].headers[0].name == "X-Model");
  REQUIRE_FALSE(isOk(dialect()->parseJob(R"({"Requests":[{"Id":"a","Path":"/z/1","Body":"*"}]})")));
  REQUIRE_FALSE(isOk(dialect()->parseJob("{}")));
  ResultsPage page{3, 1, {{"a", ItemOutcome::kErrored, "x\ny"}}};
  const auto json = nlohmann::json::parse(dialect()->resultsAnswer(page));
  REQUIRE(json["Total"] == 3);
  REQUIRE(json["NextToken"] == 1);
  REQUIRE(json["Results"][0]["State"] == "errored");
  REQUIRE(json["Results"][0]["Text"] == "x\ny");
}

TEST_CASE("base64 is decoded exactly", "[platform]") {
  REQUIRE(platform::decodeBase64("") == std::string());
  REQUIRE(platform::decodeBase64("YQ==") == std::string("a"));
  REQUIRE(platform::decodeBase64("YWI=") == std::string("ab"));
  REQUIRE(platform::decodeBase64("YWJj") == std::string("abc"));
  REQUIRE_FALSE(platform::decodeBase64("YWJ"));
  REQUIRE_FALSE(platform::decodeBase64("Y?Jj"));
}

TEST_CASE("tenants are read with their limits, and keys are kept as hashes only", "[platform][tenants]") {
  std::string document = kDocument;
  document.insert(document.size() - 1,
                  R"(,"Tenants":[{"Name":"crew","ApiKeys":["k-1","k-2"],"Priority":1,"RatePerS":1.5,"Burst":3},)"
                  R"({"Name":"office"}])");
  const auto parsed = dialect()->parseRoutes(document);
  REQUIRE(isOk(parsed));
  const TenantTable& tenants = valueOf(parsed)->tenants();
  REQUIRE(tenants.size() == 2);
  const Tenant* crew = valueOf(tenantOfKey(tenants, "k-2"));
  REQUIRE(crew->id == TenantId("crew"));
  REQUIRE(crew->priority == 1);
  REQUIRE(crew->limits.online_requests_per_second == 1.5);
  REQUIRE(crew->limits.online_burst == 3);
  REQUIRE(nlohmann::json(*crew).dump().find("k-1") == std::string::npos);
  document.insert(document.size() - 2, R"(,{"Name":"other","ApiKeys":["k-1"]})");
  const auto shared = dialect()->parseRoutes(document);
  REQUIRE_FALSE(isOk(shared));
  REQUIRE(describe(errorOf(shared)).find("k-1") == std::string::npos);
}

TEST_CASE("regions and cold engines stand in the document of routes", "[platform]") {
  const auto parsed = dialect()->parseRoutes(R"({"Version":3,"Routes":[{"Host":"h","PathPrefix":"/a/","TimeoutMs":5,
      "Service":"s","AllowedRegions":["north"]}],"Services":[{"Name":"s","ColdStartS":3.0,"ColdPerS":9.2}],
      "Tenants":[{"Name":"t","ApiKeys":["k"],"AllowedRegions":["north","south"]}]})");
  REQUIRE(isOk(parsed));
  const RouteTable& routes = *valueOf(parsed);
  REQUIRE(routes.routes()[0].allowed_regions == std::set<RegionId>{RegionId("north")});
  REQUIRE(routes.service(ServiceId("s"))->cold_time == std::chrono::seconds(3));
  REQUIRE(routes.service(ServiceId("s"))->cold_requests_per_second == 9.2);
  REQUIRE(routes.tenants().find(TenantId("t"))->allowed_regions.size() == 2);
}
