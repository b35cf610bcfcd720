#include "request/exchange/answering_prompts.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

const ServiceId kService("llm");

}  // namespace

TEST_CASE("the last part of a prompt is not shared, and repeated parts count once", "[crash][parts]") {
  const std::vector<RequestFingerprint> shared = sharedPartsOf(kService, parsePromptShape("a:1,b:1,a:1,c:1", ""));
  REQUIRE(shared ==
          std::vector<RequestFingerprint>{fingerprintOfPart(kService, 0xa), fingerprintOfPart(kService, 0xb)});
  REQUIRE(sharedPartsOf(kService, parsePromptShape("a:1", "")).empty());
  REQUIRE(sharedPartsOf(kService, PromptShape{}).empty());
}

TEST_CASE("a prompt of many parts gives a bounded number of names", "[crash][parts]") {
  std::string parts;
  for (int part = 0; part < 1000; ++part) parts += std::to_string(part) + ":1,";
  REQUIRE(sharedPartsOf(kService, parsePromptShape(parts + "ffffff:1", "")).size() == kMaxSharedParts);
}

TEST_CASE("a part is answered for as long as a registration of its prompt lives", "[crash][parts]") {
  AnsweringPrompts prompts;
  const PromptShape prompt = parsePromptShape("a:1,b:1,c:1", "");
  std::optional<AnsweringPrompts::Registration> registration;
  registration.emplace(prompts, kService, prompt);
  REQUIRE(prompts.contains(fingerprintOfPart(kService, 0xb)));
  REQUIRE_FALSE(prompts.contains(fingerprintOfPart(kService, 0xc)));
  REQUIRE_FALSE(prompts.contains(fingerprintOfPart(ServiceId("other"), 0xb)));
  registration.reset();
  REQUIRE_FALSE(prompts.contains(fingerprintOfPart(kService, 0xb)));
  REQUIRE(prompts.size() == 0);
}
